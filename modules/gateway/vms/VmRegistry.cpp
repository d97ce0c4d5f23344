#include "gateway/vms/VmRegistry.h"

#include "gateway/model/ServingConfiguration.h"
#include <algorithm>
#include <array>

namespace papayashelf {

void VmRegistry::put(VmAnnouncement status)
{
    this->keptUntil.erase(status.vm);
    const VmId vm = status.vm;
    this->vms[vm] = std::move(status);
}

void VmRegistry::remove(const VmId& vm, Milliseconds keepUntil)
{
    if (this->vms.contains(vm))
        this->keptUntil.try_emplace(vm, keepUntil);
}

std::vector<VmId> VmRegistry::expire(Milliseconds now)
{
    std::vector<VmId> gone;
    for (const auto& [vm, until] : this->keptUntil) {
        if (until <= now)
            gone.push_back(vm);
    }
    for (const VmId& vm : gone) {
        this->keptUntil.erase(vm);
        this->vms.erase(vm);
    }
    return gone;
}

std::vector<Endpoint> VmRegistry::chooseEntries(const CallerLocation& location, std::size_t maximumCount) const
{
    std::array<std::vector<Endpoint>, 5> byNearness;
    for (const auto& [vm, status] : this->vms) {
        const bool isAllowed = status.region == location.region || isHome(location.homes, status.region);
        if (!status.isReady && !(status.takesRequests && isAllowed))
            continue;
        const std::size_t nearness = !status.isReady         ? 3
            : status.failureDomain == location.failureDomain ? 0
            : status.region == location.region               ? 1
            : isAllowed                                      ? 2
                                                             : 4;
        byNearness[nearness].push_back(status.callers);
    }
    for (std::vector<Endpoint>& entries : byNearness) {
        if (entries.empty())
            continue;
        entries.resize(std::min(entries.size(), maximumCount));
        return entries;
    }
    return {};
}

std::set<RegionId> VmRegistry::getRegions() const
{
    std::set<RegionId> regions;
    for (const auto& [vm, status] : this->vms)
        regions.insert(status.region);
    return regions;
}

std::vector<const VmAnnouncement*> VmRegistry::getReadyVms(const RegionId& region) const
{
    std::vector<const VmAnnouncement*> ready;
    for (const auto& [vm, status] : this->vms) {
        if (status.isReady && status.region == region)
            ready.push_back(&status);
    }
    return ready;
}

} // namespace papayashelf
