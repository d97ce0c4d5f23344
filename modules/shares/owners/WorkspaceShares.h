#pragma once

#include "model/governance/Governance.h"
#include "shares/bucket/TokenBucket.h"
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <vector>

namespace papayashelf {

/** A workspace's limits and their division over the regions that may serve it. */
struct WorkspaceShare {
    ShareLimit whole;
    std::map<RegionId, ShareLimit> parts; /**< They add up to the whole, unless no region has a weight. */

    bool operator==(const WorkspaceShare&) const = default;
};

/** Divides a workspace's limits over its allowed regions by their weights, or equally if it has no weights. */
WorkspaceShare divideOverRegions(const Workspace& workspace, const std::map<RegionId, Region>& regions);

/** Returns one of count nearly equal integer parts, which add up to the limit. Precondition: index < count. */
ShareLimit computeEqualPart(const ShareLimit& limit, std::size_t index, std::size_t count);

/**
    Holds the workspace limits of the revision in force, and those of earlier revisions that other VMs may still apply.

    Thread safety: none; owned by one thread.
*/
class WorkspaceShares {
public:
    /** Puts a later revision in force; returns the workspaces whose limits changed, sorted. Ignores other revisions. */
    std::vector<WorkspaceId> setGovernance(const std::shared_ptr<const Governance>& governance);

    /**
        Drops earlier limits once every VM has had exactly this revision in force at some time.

        Returns true if limits may change. The call is ignored if this VM has not had the revision in force.
    */
    bool setAdoptedEverywhere(RevisionNumber revision);

    //==================================================================================================================
    /** Returns the limits in force, or null for an unknown workspace. */
    const WorkspaceShare* find(const WorkspaceId& workspace) const;

    /** Returns the limits of earlier revisions that still apply, oldest first; null if the workspace had none. */
    std::vector<const WorkspaceShare*> getEarlier(const WorkspaceId& workspace) const;

    /** Returns false while other VMs may apply revisions that this VM never had. Its limits are then zero. */
    bool isBaseKnown() const { return this->baseKnown; }

    /** Returns the limits in force of every workspace. */
    const std::map<WorkspaceId, WorkspaceShare>& getAll() const { return this->current; }

    /** Returns the revision in force; 0 if there is none. */
    RevisionNumber getRevision() const { return this->revision; }

private:
    struct EarlierShare {
        RevisionNumber until = 0; /**< The revision that replaced these limits. */
        std::optional<WorkspaceShare> share;
    };

    bool isShareUnchanged(const WorkspaceId& id, const Workspace& workspace, bool haveRegionsChanged) const;

    std::shared_ptr<const Governance> governance;
    RevisionNumber revision = 0;
    bool baseKnown = false;
    std::set<RevisionNumber> heldRevisions;
    std::map<WorkspaceId, WorkspaceShare> current;
    std::map<WorkspaceId, std::vector<EarlierShare>> earlier;
};

} // namespace papayashelf
