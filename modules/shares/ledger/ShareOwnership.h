#pragma once

#include "shares/bucket/TokenBucket.h"
#include "shares/owners/OwnerMap.h"
#include "shares/owners/WorkspaceShares.h"
#include "shares/settings/ShareSettings.h"
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace papayashelf {

/**
    Holds the buckets that this VM owns, and limits them while revisions and epochs change.

    The limit of a bucket is the lowest one under all revisions and epochs that another VM may still apply. A new bucket
    therefore stays empty until the previous owners have dropped theirs.

    Thread safety: none; owned by one thread.
*/
class ShareOwnership {
public:
    /** Creates an ownership without buckets and without an epoch. */
    ShareOwnership(ShareHolder self, RegionId region, const ShareSettings& settings);

    /** Adopts a newer epoch of this VM's region, and drops the buckets that other holders own by it. */
    void adoptEpoch(Milliseconds now, const ShareEpoch& epoch, const WorkspaceShares& workspaceShares);

    /** Records that a holder has adopted an epoch of this region. */
    void setAdopted(
        Milliseconds now, const ShareHolder& holder, std::uint64_t epoch, const WorkspaceShares& workspaceShares);

    /** Creates, limits or drops the buckets of these workspaces according to the current limits. */
    void refresh(Milliseconds now, const std::vector<WorkspaceId>& workspaces, const WorkspaceShares& workspaceShares);

    /** Does the same as refresh for every workspace. */
    void refreshAll(Milliseconds now, const WorkspaceShares& workspaceShares);

    /** Raises the limits of buckets for which the last loans of the previous owners have expired. */
    void tick(Milliseconds now, const WorkspaceShares& workspaceShares);

    /** Drops all buckets permanently. */
    void release();

    //==================================================================================================================
    /** Returns the bucket of a workspace, or null if this VM owns none. Valid until the next change. */
    TokenBucket* find(const WorkspaceId& workspace);

    /** Returns the bucket if this VM has owned it without interruption since this epoch, or null. */
    TokenBucket* findOwnedSince(const WorkspaceId& workspace, std::uint64_t epoch);

    /** Returns the number of the adopted epoch; 0 if there is none. */
    std::uint64_t getEpoch() const { return this->current.epoch; }

    /** Returns the holders that must still adopt the current epoch before buckets of this VM may fill. */
    std::vector<ShareHolder> getAwaitedHolders() const;

    /** Returns when tick must be called next; never() if nothing is pending. */
    Milliseconds getNextDeadline() const;

    /** Returns the number of owned buckets. */
    std::size_t getCount() const { return this->owned.size(); }

    /** Returns the approximate memory use of the owned buckets in bytes. */
    std::size_t getBytes() const;

private:
    struct OwnedShare {
        TokenBucket bucket;
        std::uint64_t sinceEpoch = 0;
    };

    void refreshWorkspace(Milliseconds now, const WorkspaceId& workspace, const WorkspaceShares& workspaceShares);
    std::optional<ShareLimit> computeLimit(const WorkspaceId& workspace, const WorkspaceShares& workspaceShares) const;
    ShareLimit computeLimitUnder(const WorkspaceId& workspace, const WorkspaceShare* share) const;
    bool isHandedOver(const WorkspaceId& workspace, const WorkspaceShares& workspaceShares) const;
    void checkHandovers(Milliseconds now, const WorkspaceShares& workspaceShares);

    ShareHolder self;
    RegionId region;
    ShareSettings settings;
    ShareEpoch current;
    OwnerSelector selector;
    OwnerSelector previousSelector;
    bool isReleased = false;
    std::map<ShareHolder, std::uint64_t> adoptedEpochs;
    std::map<WorkspaceId, OwnedShare> owned;
    std::set<WorkspaceId> awaitingHandover; // Previous owners may not have adopted the epoch.
    std::map<WorkspaceId, Milliseconds> drainingUntil; // When the last loans of the previous owners expire.
};

} // namespace papayashelf
