#pragma once

#include "foundation/identity/Identifier.h"
#include <string>

namespace papayashelf {

/** Identifies an operation of a caller. Repeated requests for the same operation have equal values. */
struct ClaimedOperation {
    WorkspaceId workspace;
    std::string method;
    std::string path;
    std::string idempotencyKey;

    /** The store key of the operation's claim. */
    std::string storeKey() const;
};

} // namespace papayashelf
