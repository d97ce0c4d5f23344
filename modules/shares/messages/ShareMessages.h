#pragma once

#include "foundation/identity/Identifier.h"
#include "foundation/time/Clock.h"
#include "shares/epochs/ShareEpoch.h"
#include <cstdint>
#include <variant>
#include <vector>

namespace papayashelf {

/** "Take this many tokens out of your bucket for me." */
struct ShareRequest {
    std::uint64_t call = 0; /**< Chosen by the asker; unique within its incarnation. */
    WorkspaceId workspace;
    std::int64_t tokens = 0; /**< What is missing. */
    Milliseconds waited; /**< How long the oldest reservation that needs them has waited; the older one goes first. */
    std::int64_t stockTokens = 0; /**< More, for the asker's own bucket, if the giver's is the fuller one. */
    std::int64_t stockPermille = 0; /**< How full the asker's bucket would be with them. */

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
    std::int64_t left = 0; /**< What the giver has left, so that the asker knows whom to ask next. */

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

/** Several returns at once, to save messages. A repeat, or one overtaken by a later one, is discarded. */
struct ShareReturns {
    Incarnation incarnation = 0; /**< Of the sender. */
    std::uint64_t sequence = 0; /**< Larger in each message from one sender to one receiver. */
    std::vector<ShareReturn> returns;

    bool operator==(const ShareReturns&) const = default;
};

/** A share epoch that the receiver may not know. */
struct ShareEpochNews {
    ShareEpoch epoch;

    bool operator==(const ShareEpochNews&) const = default;
};

/** "In this life I have adopted this epoch of my region": what I do not own by it I have dropped. */
struct ShareEpochAdopted {
    RegionId region;
    std::uint64_t epoch = 0; /**< releasedShareEpoch when the sender owns nothing any more. */
    Incarnation incarnation = 0;
    std::vector<ShareHolder> others; /**< Others that are known to have adopted the same epoch; in replies only. */

    bool operator==(const ShareEpochAdopted&) const = default;
};

/** The newest epoch of each region that the sender knows; the receiver answers with what is newer. */
struct ShareEpochDigest {
    std::vector<ShareEpochNumber> epochs; /**< Sorted by region. */
    bool isReply = false; /**< Replies are not answered with another digest. */

    bool operator==(const ShareEpochDigest&) const = default;
};

/** Everything that the parts deciding on shares tell each other. */
using ShareMessage
    = std::variant<ShareRequest, ShareGrant, ShareReturns, ShareEpochNews, ShareEpochAdopted, ShareEpochDigest>;

} // namespace papayashelf
