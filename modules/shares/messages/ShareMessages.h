#pragma once

#include "foundation/identity/Identifier.h"
#include "foundation/time/Clock.h"
#include "shares/epochs/ShareEpoch.h"
#include <cstdint>
#include <variant>
#include <vector>

namespace papayashelf {

/** Asks another owner to lend tokens to the sender. */
struct ShareRequest {
    std::uint64_t call = 0; /**< Chosen by the sender and unique within its incarnation. */
    WorkspaceId workspace;
    std::int64_t tokens = 0; /**< How many tokens the sender's waiting reservations lack. */
    Milliseconds waited; /**< How long the sender's oldest reservation has waited. The longer wait has priority. */
    std::int64_t stockTokens = 0; /**< Additional tokens for the sender's bucket, if the receiver's bucket is fuller. */
    std::int64_t stockPermille = 0; /**< How full the sender's bucket would be with the stock tokens. */

    bool operator==(const ShareRequest&) const = default;
};

/**
    Answers a ShareRequest.

    The tokens have already left the lender's bucket, so a lost answer loses them but never exceeds a limit.
*/
struct ShareGrant {
    std::uint64_t call = 0;
    WorkspaceId workspace;
    std::int64_t tokens = 0; /**< From 0 up to the requested tokens, stock included. */
    Milliseconds waitHint; /**< Time until the rest may be available; 0 if unknown. */
    Milliseconds grantedAt; /**< On the lender's clock; copied into the ShareReturn. */
    std::uint64_t epoch = 0; /**< The lender's share epoch. Buckets created in later epochs ignore the return. */
    std::int64_t left = 0; /**< Tokens left in the lender's bucket, by which the borrower chooses whom to ask next. */

    bool operator==(const ShareGrant&) const = default;
};

/** Returns granted but unused tokens to the lender; a negative number charges tokens used beyond the grant. */
struct ShareReturn {
    WorkspaceId workspace;
    std::int64_t tokens = 0;
    Milliseconds grantedAt; /**< Copied from the ShareGrant. */
    std::uint64_t epoch = 0; /**< Copied from the ShareGrant. */

    bool operator==(const ShareReturn&) const = default;
};

/** Several returns in one message. The receiver discards duplicates and messages that arrive out of order. */
struct ShareReturns {
    Incarnation incarnation = 0; /**< Incarnation of the sender. */
    std::uint64_t sequence = 0; /**< Increases with each message from one sender to one receiver. */
    std::vector<ShareReturn> returns;

    bool operator==(const ShareReturns&) const = default;
};

/** Sends a share epoch that the receiver may not have. */
struct ShareEpochNews {
    ShareEpoch epoch;

    bool operator==(const ShareEpochNews&) const = default;
};

/** Reports that the sender has adopted an epoch of its region and dropped every bucket it no longer owns. */
struct ShareEpochAdopted {
    RegionId region;
    std::uint64_t epoch = 0; /**< releasedShareEpoch after the sender has released everything. */
    Incarnation incarnation = 0;
    std::vector<ShareHolder> others; /**< Other holders that have adopted at least this epoch; only set in replies. */

    bool operator==(const ShareEpochAdopted&) const = default;
};

/** Lists the newest epoch that the sender knows of each region. The receiver answers with newer ones. */
struct ShareEpochDigest {
    std::vector<ShareEpochNumber> epochs; /**< Sorted by region. */
    bool isReply = false; /**< A reply is not answered with another digest. */

    bool operator==(const ShareEpochDigest&) const = default;
};

/** Any message between the share ledgers of two VMs. */
using ShareMessage
    = std::variant<ShareRequest, ShareGrant, ShareReturns, ShareEpochNews, ShareEpochAdopted, ShareEpochDigest>;

} // namespace papayashelf
