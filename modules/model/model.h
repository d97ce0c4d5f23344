#pragma once

/**
    model holds the values that operators govern the gateway by: workspaces, keys, routes, services, upstreams,
    regions, and the revision that joins them. Values only: no parsing, no I/O, no decisions.

    A value is made once and then shared as const; all of them compare.
*/

#include "model/documents/Document.h"
#include "model/governance/Governance.h"
