#pragma once

/**
    The model module defines the configuration values of the gateway: workspaces, keys, routes, services, upstreams,
    regions, and the revision that contains them. It has no parsing, no I/O and no decision logic.

    A value is created once and then shared as const. All values are comparable.
*/

#include "model/documents/Document.h"
#include "model/governance/Governance.h"
