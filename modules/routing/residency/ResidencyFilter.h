#pragma once

#include "foundation/identity/Identifier.h"
#include "model/governance/Governance.h"
#include <vector>

namespace papayashelf {

/**
    The regions that may process one workspace's data.

    Only ResidencyFilter can create this set, and every query for upstreams and regions requires one, so that no code
    path can reach a region that the filter has not permitted.
*/
class PermittedRegions {
public:
    /** Returns whether the region may process the workspace's data. */
    bool contains(const RegionId& region) const;

    /** Returns the permitted regions, sorted by id. */
    const std::vector<RegionId>& list() const { return this->regions; }

    bool operator==(const PermittedRegions&) const = default;

private:
    friend class ResidencyFilter;
    explicit PermittedRegions(std::vector<RegionId> regions)
        : regions(std::move(regions))
    {
    }

    std::vector<RegionId> regions;
};

/** Applies the data residency rules; no other code evaluates them. */
class ResidencyFilter {
public:
    /**
        Returns the regions that may process a workspace's data.

        An empty workspace, as on public routes, permits every region; an unknown one permits none.
    */
    static PermittedRegions permit(const Governance& governance, const WorkspaceId& workspace);
};

} // namespace papayashelf
