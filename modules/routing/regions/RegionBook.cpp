#include "routing/regions/RegionBook.h"

#include <algorithm>
#include <cmath>

namespace papayashelf {

namespace {

constexpr Milliseconds byteDecay { 2000 };
constexpr Milliseconds failedVmPause { 5000 };
constexpr double highestLinkUse = 0.95;
constexpr double loadPerLifetimeOfAge = 0.5;
constexpr double firstRampShare = 0.05;

} // namespace

RegionBook::RegionBook(const RoutingSettings& settings, RegionId self)
    : settings(settings)
    , self(std::move(self))
{
}

void RegionBook::setGovernance(const Governance& governance)
{
    const auto own = governance.regions.find(this->self);
    for (const auto& [id, region] : governance.regions) {
        if (id == this->self)
            continue;
        LinkRecord& link = this->links[id];
        link.megabitsPerSecond = 0;
        if (own == governance.regions.end())
            continue;
        const auto speed = own->second.linkMegabitsPerSecond.find(id);
        if (speed != own->second.linkMegabitsPerSecond.end())
            link.megabitsPerSecond = speed->second;
    }
    std::erase_if(this->links, [&](const auto& entry) { return !governance.regions.contains(entry.first); });
    std::erase_if(this->services, [&](const auto& entry) {
        return !governance.services.contains(entry.first.second) || !governance.regions.contains(entry.first.first);
    });
}

void RegionBook::setMembers(const std::vector<Member>& members)
{
    this->targets.clear();
    this->ownRegionVms = 0;
    std::map<VmId, VmRelays> kept;
    for (const Member& member : members) {
        if (member.region == this->self) {
            this->ownRegionVms += member.state == MemberState::Live ? 1 : 0;
            continue;
        }
        kept[member.vm] = this->relays[member.vm];
        if (member.state == MemberState::Live)
            this->targets[member.region].push_back({ member.vm, member.peerEndpoint });
    }
    this->relays = std::move(kept);
    this->ownRegionVms = std::max<std::int64_t>(1, this->ownRegionVms);
}

void RegionBook::handleSummary(Milliseconds now, const RegionSummary& summary)
{
    const auto found = this->links.find(summary.region);
    if (found == this->links.end() || summary.slots < 0 || summary.running < 0 || summary.waiting < 0)
        return;
    LinkRecord& link = found->second;
    if (link.wasHeard && now - link.lastHeard > this->settings.summaryLifetime) {
        link.isRamping = true;
        link.rampFrom = now;
    }
    link.wasHeard = true;
    link.lastHeard = now;

    ServiceRecord& record = this->services[{ summary.region, summary.service }];
    record.summary = summary;
    record.receivedAt = now;
    record.ownRelaysAtSummary = record.ownRelays;
    record.hasSummary = true;
}

std::vector<RegionId> RegionBook::findUsable(
    Milliseconds now, const PermittedRegions& permitted, const ServiceId& service) const
{
    std::vector<RegionId> usable;
    for (const RegionId& region : permitted.list()) {
        const auto record = this->services.find({ region, service });
        if (region == this->self || record == this->services.end() || !this->targets.contains(region))
            continue;
        const bool isFresh
            = record->second.hasSummary && now - record->second.receivedAt <= this->settings.summaryLifetime;
        if (isFresh && record->second.summary.slots > 0)
            usable.push_back(region);
    }
    return usable;
}

double RegionBook::estimateLoad(Milliseconds now, const RegionId& region, const ServiceId& service) const
{
    const ServiceRecord& record = this->services.at({ region, service });
    // The other VMs of this region see the same summary and act alike.
    const std::int64_t since = (record.ownRelays - record.ownRelaysAtSummary) * this->ownRegionVms;
    const std::int64_t requests = std::max<std::int64_t>(0, record.summary.running + record.summary.waiting + since);
    const double age = (now - record.receivedAt).seconds() / this->settings.summaryLifetime.seconds();
    return static_cast<double>(requests) / record.summary.slots + loadPerLifetimeOfAge * std::max(0.0, age);
}

Milliseconds RegionBook::estimateLinkTime(Milliseconds now, const RegionId& region, std::int64_t bytes) const
{
    const auto link = this->links.find(region);
    if (link == this->links.end() || link->second.megabitsPerSecond <= 0)
        return this->settings.regionRoundTrip;
    const double bytesPerSecond = link->second.megabitsPerSecond * 1e6 / 8;
    const double used
        = this->recentBytesAt(now, link->second) / byteDecay.seconds() * static_cast<double>(this->ownRegionVms);
    const double free = 1.0 - std::min(highestLinkUse, used / bytesPerSecond);
    const double transfer = static_cast<double>(bytes) / bytesPerSecond / free;
    return this->settings.regionRoundTrip + Milliseconds(std::llround(transfer * 1000));
}

bool RegionBook::allowsRelay(Milliseconds now, const RegionId& region, const ServiceId& service) const
{
    const auto link = this->links.find(region);
    const auto record = this->services.find({ region, service });
    if (link == this->links.end() || record == this->services.end())
        return false;
    const double ramp = this->getRamp(now, link->second);
    if (ramp >= 1)
        return true;
    const double slots = record->second.summary.slots * ramp / static_cast<double>(this->ownRegionVms);
    return static_cast<double>(record->second.ownRelays) < std::max(1.0, slots);
}

double RegionBook::getRamp(Milliseconds now, const LinkRecord& link) const
{
    if (!link.isRamping)
        return 1;
    const double passed = (now - link.rampFrom).seconds() / this->settings.warmUp.seconds();
    return std::clamp(passed, firstRampShare, 1.0);
}

std::optional<RelayTarget> RegionBook::pickVm(
    Milliseconds now, const RegionId& region, std::mt19937_64& generator) const
{
    const auto known = this->targets.find(region);
    if (known == this->targets.end())
        return std::nullopt;
    std::vector<const RelayTarget*> usable;
    for (const RelayTarget& target : known->second) {
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

void RegionBook::noteStarted(
    Milliseconds now, const RegionId& region, const ServiceId& service, const VmId& vm, std::int64_t bytes)
{
    ++this->services[{ region, service }].ownRelays;
    ++this->relays[vm].count;
    LinkRecord& link = this->links[region];
    link.recentBytes = this->recentBytesAt(now, link) + static_cast<double>(bytes);
    link.decayedAt = now;
}

void RegionBook::noteEnded(
    Milliseconds now, const RegionId& region, const ServiceId& service, const VmId& vm, bool failed)
{
    const auto record = this->services.find({ region, service });
    if (record != this->services.end())
        record->second.ownRelays = std::max<std::int64_t>(0, record->second.ownRelays - 1);
    const auto relay = this->relays.find(vm);
    if (relay == this->relays.end())
        return;
    relay->second.count = std::max<std::int64_t>(0, relay->second.count - 1);
    if (failed)
        relay->second.avoidedUntil = now + failedVmPause;
}

double RegionBook::recentBytesAt(Milliseconds now, const LinkRecord& link) const
{
    return link.recentBytes * std::exp(-(now - link.decayedAt).seconds() / byteDecay.seconds());
}

} // namespace papayashelf
