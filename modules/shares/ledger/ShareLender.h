#pragma once

#include "shares/ledger/ShareOwnership.h"
#include "shares/messages/ShareMessages.h"
#include <map>
#include <set>
#include <utility>

namespace papayashelf {

/** The demand of this VM's own waiting reservations of a workspace. */
struct OwnDemand {
    std::int64_t tokens = 0; /**< 0 if no reservation waits. */
    Milliseconds waited; /**< How long the oldest reservation has waited. */
};

/** Lends tokens from this VM's buckets and accepts unused ones back. Thread safety: none; owned by one thread. */
class ShareLender {
public:
    /** @param ownership  must outlive the lender */
    explicit ShareLender(ShareOwnership& ownership)
        : ownership(ownership)
    {
    }

    /** Answers another VM's request for tokens. The granted tokens have left the bucket when this returns. */
    ShareGrant lend(Milliseconds now, const ShareRequest& message, const OwnDemand& own);

    /** Accepts unused tokens from a borrower; returns the workspaces whose buckets changed. */
    std::set<WorkspaceId> takeBack(Milliseconds now, const VmId& borrower, const ShareReturns& message);

private:
    static std::int64_t chooseStock(const TokenBucket& bucket, std::int64_t available, const ShareRequest& message);

    ShareOwnership& ownership;
    std::map<VmId, std::pair<Incarnation, std::uint64_t>> lastReturnNumbers;
};

} // namespace papayashelf
