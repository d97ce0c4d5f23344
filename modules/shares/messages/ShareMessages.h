#pragma once

#include "foundation/identity/Identifier.h"
#include "foundation/time/Clock.h"
#include <cstdint>
#include <vector>

namespace papayashelf {

/** "Take this many tokens out of your bucket for me." */
struct ShareRequest {
    std::uint64_t call = 0; /**< Chosen by the asker; unique within its incarnation. */
    WorkspaceId workspace;
    std::int64_t tokens = 0; /**< What is missing. */

    bool operator==(const ShareRequest&) const = default;
};

/** The answer: the tokens have already left the giver's bucket, so a lost answer loses them and errs to safety. */
struct ShareGrant {
    std::uint64_t call = 0;
    WorkspaceId workspace;
    std::int64_t tokens = 0; /**< 0 up to what was asked. */
    Milliseconds waitHint; /**< When the rest could be there; 0 when unknown. */
    Milliseconds grantedAt; /**< The giver's clock; sent back with a return. */
    std::uint64_t epoch = 0; /**< The giver's share epoch; a return to a later one is ignored. */

    bool operator==(const ShareGrant&) const = default;
};

/** Tokens that were reserved but not used, given back to the bucket that they came from. */
struct ShareReturn {
    WorkspaceId workspace;
    std::int64_t tokens = 0;
    Milliseconds grantedAt; /**< As in the grant. */
    std::uint64_t epoch = 0; /**< As in the grant. */

    bool operator==(const ShareReturn&) const = default;
};

/** Several returns at once, to save messages. */
struct ShareReturns {
    std::vector<ShareReturn> returns;

    bool operator==(const ShareReturns&) const = default;
};

} // namespace papayashelf
