#pragma once

/**
    publication holds the operators' files: their collection from a tree, every check of each and across all, what a
    revision says as typed values, the difference to what is in force, and the step that commits a new revision.

    Depends on foundation, model, settings (the reader of tables), platform (calls of the store) and configuration
    (how a revision is stored). Everything but collection and commands is decision code without I/O.
*/

#include "publication/collection/TreeCollection.h"
#include "publication/difference/RevisionDifference.h"
#include "publication/documents/OperatorFiles.h"
#include "publication/governance/GovernanceBuilding.h"
#include "publication/publishing/Publisher.h"
