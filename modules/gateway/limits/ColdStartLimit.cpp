#include "gateway/limits/ColdStartLimit.h"

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
    std::vector<std::uint64_t> candidates;
    candidates.reserve(vmsInRegion.size());
    for (const VmId& candidate : vmsInRegion)
        candidates.push_back(stableHash(candidate.string()));
    const auto maximumVms = static_cast<std::size_t>(std::max(1.0, perSecond));
    const std::vector<std::size_t> chosen = rendezvousOrder(stableHash(upstream.string()), candidates, maximumVms);
    return std::any_of(chosen.begin(), chosen.end(), [&](std::size_t index) { return vmsInRegion[index] == this->vm; });
}

} // namespace papayashelf
