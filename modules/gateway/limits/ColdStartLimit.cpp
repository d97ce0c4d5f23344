#include "gateway/limits/ColdStartLimit.h"

#include "gateway/limits/VmSelection.h"
#include <algorithm>

namespace papayashelf {

namespace {

/** Minimum time between a VM's requests to one cold upstream; one second, as the limit is per second. */
constexpr Milliseconds requestSpacing { 1000 };

} // namespace

bool ColdStartLimit::mayUse(
    Milliseconds now, const UpstreamId& upstream, double perSecond, const std::vector<VmId>& vmsInRegion) const
{
    const auto last = this->lastUse.find(upstream);
    if (last != this->lastUse.end() && now - last->second < requestSpacing)
        return false;
    const auto maximumVms = static_cast<std::size_t>(std::max(1.0, perSecond));
    return isSelected(this->vm, upstream, vmsInRegion, maximumVms);
}

} // namespace papayashelf
