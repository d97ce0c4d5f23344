#pragma once

#include "foundation/identity/Identifier.h"
#include "model/governance/Governance.h"
#include <vector>

namespace papayashelf {

/**
    The regions that may process one workspace's data.

    Only ResidencyFilter makes one, and upstreams and regions are only handed out against one, so that no path
    can reach a region that the filter has not passed.
*/
class PermittedRegions {
public:
    bool contains(const RegionId& region) const;

    /** Sorted. */
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

/** The one place where residency is applied. */
class ResidencyFilter {
public:
    /**
        The regions permitted for a workspace.

        An empty workspace, as on routes open to all, may go anywhere; an unknown one nowhere.
    */
    static PermittedRegions permit(const Governance& governance, const WorkspaceId& workspace);
};

} // namespace papayashelf
