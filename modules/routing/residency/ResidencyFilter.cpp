#include "routing/residency/ResidencyFilter.h"

#include <algorithm>

namespace papayashelf {

bool PermittedRegions::contains(const RegionId& region) const
{
    return std::binary_search(this->regions.begin(), this->regions.end(), region);
}

PermittedRegions ResidencyFilter::permit(const Governance& governance, const WorkspaceId& workspace)
{
    std::vector<RegionId> every;
    for (const auto& [id, region] : governance.regions)
        every.push_back(id);
    if (workspace.isEmpty())
        return PermittedRegions(std::move(every));

    const auto found = governance.workspaces.find(workspace);
    if (found == governance.workspaces.end())
        return PermittedRegions({});
    if (found->second.residency.empty())
        return PermittedRegions(std::move(every));

    std::vector<RegionId> permitted = found->second.residency;
    std::sort(permitted.begin(), permitted.end());
    return PermittedRegions(std::move(permitted));
}

} // namespace papayashelf
