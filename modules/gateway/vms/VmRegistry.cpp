#include "gateway/vms/VmRegistry.h"

#include "gateway/model/ServingConfiguration.h"
#include <algorithm>
#include <array>

namespace papayashelf {

namespace {

/** Longer than the store may be away plus the age of what it may return with. */
constexpr Milliseconds endedMemory { 120'000 };
constexpr std::size_t maximumEnded = 10'000; /**< Bounds the memory if processes start and end very often. */

} // namespace

std::optional<std::int64_t> VmRegistry::put(VmAnnouncement status)
{
    if (std::optional<std::int64_t> later = this->findLaterSequence(status))
        return later;
    const VmId vm = status.vm;
    const auto known = this->vms.find(vm);
    if (known != this->vms.end() && known->second.relayKey != status.relayKey)
        this->rememberEnded(this->checkedAt, known->second);
    this->ended.erase({ vm, status.relayKey });
    this->keptUntil.erase(vm);
    this->vms[vm] = std::move(status);
    return std::nullopt;
}

std::optional<std::int64_t> VmRegistry::findLaterSequence(const VmAnnouncement& status) const
{
    const auto hasOrder = [&status](std::int64_t sequence) { return sequence != 0 && status.sequence != 0; };
    const auto isBackFromStopping = [&status](bool wasReady) { return status.isReady && !wasReady; };
    const auto known = this->vms.find(status.vm);
    if (known != this->vms.end() && known->second.relayKey == status.relayKey) {
        const VmAnnouncement& last = known->second;
        const bool isOlder
            = hasOrder(last.sequence) ? status.sequence < last.sequence : isBackFromStopping(last.isReady);
        return isOlder ? std::optional(last.sequence) : std::nullopt;
    }
    const auto found = this->ended.find({ status.vm, status.relayKey });
    if (found == this->ended.end())
        return std::nullopt;
    const LastStatus& last = found->second;
    const bool isOlder = hasOrder(last.sequence) ? status.sequence <= last.sequence : isBackFromStopping(last.isReady);
    return isOlder ? std::optional(last.sequence) : std::nullopt;
}

void VmRegistry::rememberEnded(Milliseconds endedAt, const VmAnnouncement& status)
{
    if (this->ended.size() >= maximumEnded) {
        this->ended.erase(std::min_element(this->ended.begin(), this->ended.end(),
            [](const auto& left, const auto& right) { return left.second.endedAt < right.second.endedAt; }));
    }
    this->ended[{ status.vm, status.relayKey }] = { status.sequence, status.isReady, endedAt };
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
        const auto known = this->vms.find(vm);
        this->rememberEnded(now, known->second);
        this->vms.erase(known);
    }
    this->checkedAt = now;
    std::erase_if(this->ended, [now](const auto& entry) { return entry.second.endedAt + endedMemory <= now; });
    return gone;
}

std::vector<Endpoint> VmRegistry::chooseEntries(const CallerLocation& location, std::size_t maximumCount) const
{
    std::array<std::vector<Endpoint>, 5> byNearness;
    for (const auto& [vm, status] : this->vms) {
        const bool isAllowed = status.region == location.region || isHome(location.homes, status.region);
        if (!status.isReady && !(status.takesRequests && isAllowed))
            continue;
        const bool isServing = status.isReady && status.reachesUpstreams;
        const std::size_t nearness = !isServing && isAllowed ? 3
            : !isServing                                     ? 4
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

std::vector<const VmAnnouncement*> VmRegistry::getServingVms(const RegionId& region) const
{
    std::vector<const VmAnnouncement*> serving = this->getReadyVms(region);
    std::erase_if(serving, [](const VmAnnouncement* status) { return !status->reachesUpstreams; });
    return serving;
}

} // namespace papayashelf
