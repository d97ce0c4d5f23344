#include "routing/regions/RegionTracker.h"

#include <algorithm>
#include <cmath>

namespace papayashelf {

namespace {

constexpr Milliseconds trafficDecayTime { 2000 };
constexpr Milliseconds failedVmBackoff { 5000 };
constexpr double maximumLinkUtilization = 0.95;
constexpr double loadPenaltyPerSummaryLifetime = 0.5;
constexpr double initialRampFraction = 0.05;

} // namespace

RegionTracker::RegionTracker(const RoutingSettings& settings, RegionId self)
    : settings(settings)
    , self(std::move(self))
{
}

void RegionTracker::setGovernance(const Governance& governance)
{
    const auto ownRegion = governance.regions.find(this->self);
    for (const auto& [id, region] : governance.regions) {
        if (id == this->self)
            continue;
        LinkRecord& link = this->links[id];
        link.megabitsPerSecond = 0;
        if (ownRegion == governance.regions.end())
            continue;
        const auto speed = ownRegion->second.linkMegabitsPerSecond.find(id);
        if (speed != ownRegion->second.linkMegabitsPerSecond.end())
            link.megabitsPerSecond = speed->second;
    }
    std::erase_if(this->links, [&](const auto& entry) { return !governance.regions.contains(entry.first); });
    std::erase_if(this->services, [&](const auto& entry) {
        return !governance.services.contains(entry.first.second) || !governance.regions.contains(entry.first.first);
    });
}

void RegionTracker::setMembers(const std::vector<Member>& members)
{
    this->relayTargets.clear();
    this->ownRegionVms = 0;
    std::map<VmId, VmRelays> kept;
    for (const Member& member : members) {
        if (member.region == this->self) {
            this->ownRegionVms += member.state == MemberState::Live ? 1 : 0;
            continue;
        }
        kept[member.vm] = this->relays[member.vm];
        if (member.state == MemberState::Live)
            this->relayTargets[member.region].push_back({ member.vm, member.peerEndpoint });
    }
    this->relays = std::move(kept);
    this->ownRegionVms = std::max<std::int64_t>(1, this->ownRegionVms);
}

void RegionTracker::handleSummary(Milliseconds now, const RegionSummary& summary)
{
    const auto found = this->links.find(summary.region);
    if (found == this->links.end() || summary.slots < 0 || summary.running < 0 || summary.waiting < 0)
        return;
    LinkRecord& link = found->second;
    if (link.hasReported && now - link.lastReportedAt > this->settings.summaryLifetime) {
        link.isRamping = true;
        link.rampStartedAt = now;
    }
    link.hasReported = true;
    link.lastReportedAt = now;

    ServiceRecord& record = this->services[{ summary.region, summary.service }];
    record.summary = summary;
    record.receivedAt = now;
    record.ownRelaysAtSummary = record.ownRelays;
    record.hasSummary = true;
}

std::vector<RegionId> RegionTracker::findUsable(
    Milliseconds now, const PermittedRegions& permitted, const ServiceId& service) const
{
    std::vector<RegionId> usable;
    for (const RegionId& region : permitted.list()) {
        const auto record = this->services.find({ region, service });
        if (region == this->self || record == this->services.end() || !this->relayTargets.contains(region))
            continue;
        const bool isFresh
            = record->second.hasSummary && now - record->second.receivedAt <= this->settings.summaryLifetime;
        if (isFresh && record->second.summary.slots > 0)
            usable.push_back(region);
    }
    return usable;
}

double RegionTracker::estimateLoad(Milliseconds now, const RegionId& region, const ServiceId& service) const
{
    const ServiceRecord& record = this->services.at({ region, service });
    // The other VMs of this region see the same summary, so they are assumed to relay as many requests as this VM.
    const std::int64_t relaysSinceSummary = (record.ownRelays - record.ownRelaysAtSummary) * this->ownRegionVms;
    const std::int64_t requests
        = std::max<std::int64_t>(0, record.summary.running + record.summary.waiting + relaysSinceSummary);
    const double ageInLifetimes = (now - record.receivedAt).seconds() / this->settings.summaryLifetime.seconds();
    return static_cast<double>(requests) / record.summary.slots
        + loadPenaltyPerSummaryLifetime * std::max(0.0, ageInLifetimes);
}

Milliseconds RegionTracker::estimateLinkTime(Milliseconds now, const RegionId& region, std::int64_t bytes) const
{
    const auto link = this->links.find(region);
    if (link == this->links.end() || link->second.megabitsPerSecond <= 0)
        return this->settings.regionRoundTrip;
    const double bytesPerSecond = link->second.megabitsPerSecond * 1e6 / 8;
    const double usedBytesPerSecond = this->estimateRecentBytes(now, link->second) / trafficDecayTime.seconds()
        * static_cast<double>(this->ownRegionVms);
    const double freeFraction = 1.0 - std::min(maximumLinkUtilization, usedBytesPerSecond / bytesPerSecond);
    const double transferSeconds = static_cast<double>(bytes) / bytesPerSecond / freeFraction;
    return this->settings.regionRoundTrip + Milliseconds(std::llround(transferSeconds * 1000));
}

bool RegionTracker::allowsRelay(Milliseconds now, const RegionId& region, const ServiceId& service) const
{
    const auto link = this->links.find(region);
    const auto record = this->services.find({ region, service });
    if (link == this->links.end() || record == this->services.end())
        return false;
    const double rampFraction = this->getRampFraction(now, link->second);
    if (rampFraction >= 1)
        return true;
    const double slots = record->second.summary.slots * rampFraction / static_cast<double>(this->ownRegionVms);
    return static_cast<double>(record->second.ownRelays) < std::max(1.0, slots);
}

double RegionTracker::getRampFraction(Milliseconds now, const LinkRecord& link) const
{
    if (!link.isRamping)
        return 1;
    const double elapsedFraction = (now - link.rampStartedAt).seconds() / this->settings.warmUp.seconds();
    return std::clamp(elapsedFraction, initialRampFraction, 1.0);
}

std::optional<RelayTarget> RegionTracker::pickVm(
    Milliseconds now, const RegionId& region, std::mt19937_64& generator) const
{
    const auto regionTargets = this->relayTargets.find(region);
    if (regionTargets == this->relayTargets.end())
        return std::nullopt;
    std::vector<const RelayTarget*> usable;
    for (const RelayTarget& target : regionTargets->second) {
        if (now >= this->relays.at(target.vm).avoidedUntil)
            usable.push_back(&target);
    }
    if (usable.empty())
        return std::nullopt;
    std::uniform_int_distribution<std::size_t> draw(0, usable.size() - 1);
    const RelayTarget* const first = usable[draw(generator)];
    const RelayTarget* const second = usable[draw(generator)];
    return this->relays.at(second->vm).count < this->relays.at(first->vm).count ? *second : *first;
}

void RegionTracker::noteStarted(
    Milliseconds now, const RegionId& region, const ServiceId& service, const VmId& vm, std::int64_t bytes)
{
    ++this->services[{ region, service }].ownRelays;
    ++this->relays[vm].count;
    LinkRecord& link = this->links[region];
    link.recentBytes = this->estimateRecentBytes(now, link) + static_cast<double>(bytes);
    link.decayedAt = now;
}

void RegionTracker::noteSilent(Milliseconds now, const VmId& vm)
{
    const auto relay = this->relays.find(vm);
    if (relay != this->relays.end())
        relay->second.avoidedUntil = now + failedVmBackoff;
}

void RegionTracker::noteEnded(
    Milliseconds now, const RegionId& region, const ServiceId& service, const VmId& vm, bool hasFailed)
{
    const auto record = this->services.find({ region, service });
    if (record != this->services.end())
        record->second.ownRelays = std::max<std::int64_t>(0, record->second.ownRelays - 1);
    const auto relay = this->relays.find(vm);
    if (relay == this->relays.end())
        return;
    relay->second.count = std::max<std::int64_t>(0, relay->second.count - 1);
    if (hasFailed)
        relay->second.avoidedUntil = now + failedVmBackoff;
}

double RegionTracker::estimateRecentBytes(Milliseconds now, const LinkRecord& link) const
{
    return link.recentBytes * std::exp(-(now - link.decayedAt).seconds() / trafficDecayTime.seconds());
}

} // namespace papayashelf
