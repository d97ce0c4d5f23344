#pragma once

#include "model/governance/Governance.h"
#include "shares/bucket/TokenBucket.h"
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <vector>

namespace papayashelf {

/** A workspace's limits, divided over the regions that may serve it. */
struct VotedShare {
    ShareLimit whole;
    std::map<RegionId, ShareLimit> parts; /**< Add up to the whole. */

    bool operator==(const VotedShare&) const = default;
};

/** Divides a workspace's limits over the regions of its residency by its weights; without weights equally. */
VotedShare divideOverRegions(const Workspace& workspace, const std::map<RegionId, Region>& regions);

/** One of several near-equal integer parts of a limit; all of them add up to it. Precondition: index < count. */
ShareLimit computeEqualPart(const ShareLimit& limit, std::size_t index, std::size_t count);

/**
    The limits of the revision in force, and those of earlier revisions that other VMs may still act on.

    Thread safety: none; owned by one thread.
*/
class VotedShares {
public:
    /** Puts a later revision in force; returns the workspaces whose limits changed, sorted. */
    std::vector<WorkspaceId> setGovernance(const std::shared_ptr<const Governance>& governance);

    /**
        Says that every VM has had exactly this revision in force at some time; returns whether that changes a limit.

        Ignored when this VM has not had it.
    */
    bool setAdoptedEverywhere(RevisionNumber revision);

    //==================================================================================================================
    /** The limits in force, or null for an unknown workspace. */
    const VotedShare* find(const WorkspaceId& workspace) const;

    /** Limits of earlier revisions that still bind, oldest first; null stands for none at all. */
    std::vector<const VotedShare*> getEarlier(const WorkspaceId& workspace) const;

    /** False while other VMs may act on revisions that this VM has never had; it may then own nothing. */
    bool isBaseKnown() const { return this->baseKnown; }

    const std::map<WorkspaceId, VotedShare>& getAll() const { return this->current; }
    RevisionNumber getRevision() const { return this->revision; }

private:
    struct EarlierShare {
        RevisionNumber until = 0; /**< The first revision that has it no longer. */
        std::optional<VotedShare> share;
    };

    bool isShareUnchanged(const WorkspaceId& id, const Workspace& workspace, bool haveRegionsChanged) const;

    std::shared_ptr<const Governance> governance;
    RevisionNumber revision = 0;
    bool baseKnown = false;
    std::set<RevisionNumber> heldRevisions;
    std::map<WorkspaceId, VotedShare> current;
    std::map<WorkspaceId, std::vector<EarlierShare>> earlier;
};

} // namespace papayashelf
