#pragma once

#include "shares/bucket/TokenBucket.h"
#include "shares/owners/OwnerMap.h"
#include "shares/owners/VotedShares.h"
#include "shares/settings/ShareSettings.h"
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace papayashelf {

/**
    The buckets that this VM owns, and how large they may be while revisions and epochs change.

    A bucket is limited to the lowest of what every revision and epoch that another VM may still act on would give it.
    A bucket that is new to this VM therefore stays empty until those that owned the workspace before have dropped it.

    Thread safety: none; owned by one thread.
*/
class ShareOwnership {
public:
    ShareOwnership(ShareHolder self, RegionId region, const ShareSettings& settings);

    /** Adopts a newer epoch of this VM's region: drops what it gives to others. */
    void adoptEpoch(Milliseconds now, const ShareEpoch& epoch, const VotedShares& voted);

    /** Learns that a holder has adopted an epoch of this region. */
    void setAdopted(Milliseconds now, const ShareHolder& holder, std::uint64_t epoch, const VotedShares& voted);

    /** Brings the buckets of these workspaces into line with the revisions. */
    void refresh(Milliseconds now, const std::vector<WorkspaceId>& workspaces, const VotedShares& voted);

    /** The same for every workspace. */
    void refreshAll(Milliseconds now, const VotedShares& voted);

    /** Lets buckets whose earlier owners are done start to fill. */
    void tick(Milliseconds now, const VotedShares& voted);

    /** Drops everything, for good. */
    void release();

    //==================================================================================================================
    /** The bucket of a workspace, or null if this VM owns none. Valid until the next change. */
    TokenBucket* find(const WorkspaceId& workspace);

    /** The same, if it has been owned without a break since this epoch; for tokens that come back. */
    TokenBucket* findOwnedSince(const WorkspaceId& workspace, std::uint64_t epoch);

    std::uint64_t getEpoch() const { return this->current.epoch; }

    /** Holders whose adoption of the present epoch is still waited for. */
    std::vector<ShareHolder> getAwaited() const;

    Milliseconds getNextDeadline() const;
    std::size_t getCount() const { return this->owned.size(); }
    std::size_t getBytes() const;

private:
    struct OwnedShare {
        TokenBucket bucket;
        std::uint64_t sinceEpoch = 0;
    };

    void refreshOne(Milliseconds now, const WorkspaceId& workspace, const VotedShares& voted);
    std::optional<ShareLimit> computeLimit(const WorkspaceId& workspace, const VotedShares& voted) const;
    ShareLimit limitUnder(const WorkspaceId& workspace, const VotedShare* share) const;
    bool isHandedOver(const WorkspaceId& workspace, const VotedShares& voted) const;
    void checkHandovers(Milliseconds now, const VotedShares& voted);

    ShareHolder self;
    RegionId region;
    ShareSettings settings;
    ShareEpoch current;
    OwnerRing ring;
    OwnerRing previousRing;
    bool isReleased = false;
    std::map<ShareHolder, std::uint64_t> adopted;
    std::map<WorkspaceId, OwnedShare> owned;
    std::set<WorkspaceId> unsettled; // Earlier owners may still spend.
    std::map<WorkspaceId, Milliseconds> settling; // Only their last loans may still be spent, until then.
};

} // namespace papayashelf
