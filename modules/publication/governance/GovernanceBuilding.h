#pragma once

#include "foundation/outcomes/Outcome.h"
#include "model/documents/Document.h"
#include "model/governance/Governance.h"
#include "publication/documents/OperatorFiles.h"

namespace papayashelf {

/**
    Builds what a revision says, typed and indexed, with the same checks as the publishing step; a VM adopts no
    revision that fails here.

    Errors: UnknownSchemaVersion (a document of a version that this one does not know), Damaged (any other fault).
    Thread safety: any thread.
*/
Outcome<Governance> buildGovernance(const Revision& revision);

/** Indexes files that passed every check. Thread safety: any thread. */
Governance indexFiles(const OperatorFiles& files, RevisionNumber revision);

} // namespace papayashelf
