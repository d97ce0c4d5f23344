#pragma once

#include "shares/bucket/TokenBucket.h"
#include "shares/owners/OwnerMap.h"
#include "shares/owners/VotedShares.h"
#include <set>
#include <vector>

namespace papayashelf {

/** What a VM believes of another VM's bucket, from that owner's last answer and the owner's known rate. */
struct OwnerView {
    VmId vm;
    ShareLimit limit;
    bool isLocal = false; /**< In this VM's region. */
    std::int64_t left = 0; /**< What it had left when it last answered. */
    Milliseconds seenAt; /**< When that answer came. */
    std::uint64_t call = 0; /**< The call that it has not answered yet; 0 for none. */
    Milliseconds askedAt;
    std::int64_t asked = 0;
    Milliseconds silentUntil; /**< Not asked before, since it did not answer. */
    std::int64_t silences = 0; /**< Calls in a row that it did not answer. */

    /** Tokens that it is believed to have now; 0 while it is being asked or silent. */
    std::int64_t estimate(Milliseconds now) const;

    /** What it is believed to have in all, asked or not. */
    std::int64_t estimateContent(Milliseconds now) const;
};

/** The owners of one workspace, without this VM; local ones first. Thread safety: none; owned by one thread. */
class OwnerViews {
public:
    /** Looks the owners up; what was known of those that stay is kept. */
    void rebuild(const WorkspaceId& workspace, const VotedShare& share, const OwnerMap& owners,
        const ShareSettings& settings, const VmId& self, const RegionId& region);

    OwnerView* find(const VmId& vm);
    std::vector<OwnerView>& getAll() { return this->views; }
    const std::vector<OwnerView>& getAll() const { return this->views; }

    /** Those that can be asked now: local ones first, then by what they are believed to have, most first. */
    std::vector<OwnerView*> getAskable(Milliseconds now, const std::set<VmId>& liveVms);

    /** Tokens that were asked for and have not been answered yet. */
    std::int64_t getAsked() const;

    /** Holds owners for silent whose answer would come too late now. */
    void giveUpCalls(Milliseconds now, const ShareSettings& settings);

    /** When the owners, of whom something is known, will have brought in this many tokens; never() if not at all. */
    Milliseconds whenAvailable(Milliseconds now, const std::set<VmId>& liveVms, std::int64_t missing) const;

private:
    std::vector<OwnerView> views;
};

} // namespace papayashelf
