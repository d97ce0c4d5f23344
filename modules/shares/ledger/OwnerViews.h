#pragma once

#include "shares/bucket/TokenBucket.h"
#include "shares/owners/OwnerMap.h"
#include "shares/owners/WorkspaceShares.h"
#include <set>
#include <vector>

namespace papayashelf {

/** An estimate of another VM's bucket, based on that owner's last answer and its rate and burst. */
struct OwnerView {
    VmId vm;
    ShareLimit limit;
    bool isLocal = false; /**< The owner is in this VM's region. */
    std::int64_t left = 0; /**< Tokens in its bucket at its last answer. */
    Milliseconds answeredAt; /**< When the last answer arrived. */
    std::uint64_t call = 0; /**< The pending call; 0 if there is none. */
    Milliseconds askedAt;
    std::int64_t requestedTokensPerSecond = 0;
    Milliseconds pausedUntil; /**< No request is sent before this time, because a call was not answered. */
    std::int64_t unansweredCalls = 0; /**< Consecutive calls without an answer. */

    /** Estimates the tokens that can be requested now; 0 while a call is pending or requests are paused. */
    std::int64_t estimateAvailable(Milliseconds now) const;

    /** Estimates the tokens in the owner's bucket, regardless of pending calls and pauses. */
    std::int64_t estimateTokens(Milliseconds now) const;
};

/** Views of one workspace's owners except this VM, local ones first. Thread safety: none; owned by one thread. */
class OwnerViews {
public:
    /** Computes the owners again. Owners that remain keep their last answer and pending call. */
    void rebuild(const WorkspaceId& workspace, const WorkspaceShare& share, const OwnerMap& owners,
        const ShareSettings& settings, const VmId& self, const RegionId& region);

    /** Returns the view of an owner, or null if the VM is not one. Valid until the next rebuild. */
    OwnerView* find(const VmId& vm);

    /** Returns the views of all owners, local ones first. */
    std::vector<OwnerView>& getAll() { return this->views; }

    /** Returns the views of all owners, local ones first. */
    const std::vector<OwnerView>& getAll() const { return this->views; }

    /** Returns the live owners that can be asked now: local ones first, then those with the most estimated tokens. */
    std::vector<OwnerView*> getAskable(Milliseconds now, const std::set<VmId>& liveVms);

    /** Returns the sum of the tokens requested by pending calls. */
    std::int64_t countAskedTokens() const;

    /** Drops pending calls whose grant would have expired, and pauses requests to these owners with backoff. */
    void expireCalls(Milliseconds now, const ShareSettings& settings);

    /** Estimates when the live owners that are not paused will have the missing tokens; never() if they cannot. */
    Milliseconds estimateAvailabilityTime(Milliseconds now, const std::set<VmId>& liveVms, std::int64_t missing) const;

private:
    std::vector<OwnerView> views;
};

} // namespace papayashelf
