#pragma once

#include "shares/ledger/ShareOwnership.h"
#include "shares/messages/ShareMessages.h"
#include <map>
#include <set>
#include <utility>

namespace papayashelf {

/** What this VM's own reservations of a workspace wait for. */
struct OwnDemand {
    std::int64_t tokens = 0; /**< 0 when none waits. */
    Milliseconds waited; /**< How long the oldest has waited. */
};

/** Lends out of this VM's buckets and takes back what was not used. Thread safety: none; owned by one thread. */
class ShareLender {
public:
    /** @param ownership  must outlive the lender */
    explicit ShareLender(ShareOwnership& ownership)
        : ownership(ownership)
    {
    }

    /** Answers another VM that asks for tokens; they have left the bucket when this returns. */
    ShareGrant lend(Milliseconds now, const ShareRequest& message, const OwnDemand& own);

    /** Takes back what another VM did not use; returns the workspaces whose buckets it changed. */
    std::set<WorkspaceId> takeBack(Milliseconds now, const VmId& borrower, const ShareReturns& message);

private:
    static std::int64_t chooseStock(const TokenBucket& bucket, std::int64_t available, const ShareRequest& message);

    ShareOwnership& ownership;
    std::map<VmId, std::pair<Incarnation, std::uint64_t>> returnsSeen;
};

} // namespace papayashelf
