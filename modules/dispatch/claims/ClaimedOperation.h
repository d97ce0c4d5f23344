#pragma once

#include "foundation/identity/Identifier.h"
#include <string>

namespace papayashelf {

/** What names one operation of a caller, however often it is sent. */
struct ClaimedOperation {
    WorkspaceId workspace;
    std::string method;
    std::string path;
    std::string idempotencyKey;

    /** The key under which the operation's claim stands in the store. */
    std::string storeKey() const;
};

} // namespace papayashelf
