#include "membership/detection/LinkMonitor.h"

#include <algorithm>

namespace papayashelf {

LinkMonitor::LinkMonitor(const MembershipSettings& settings)
    : settings(settings)
{
}

void LinkMonitor::setNeighbours(Milliseconds now, const std::vector<VmId>& neighbours)
{
    std::map<VmId, Link> kept;
    for (const VmId& vm : neighbours) {
        const auto found = this->links.find(vm);
        kept[vm] = found == this->links.end() ? Link { now, now, std::nullopt, {} } : std::move(found->second);
    }
    this->links = std::move(kept);
}

void LinkMonitor::noteHeard(Milliseconds now, const VmId& vm)
{
    const auto found = this->links.find(vm);
    if (found == this->links.end())
        return;
    found->second.heardAt = now;
    found->second.suspectSince.reset();
    found->second.missedBy.clear();
}

void LinkMonitor::noteVouch(Milliseconds now, const VmId& vm)
{
    const auto found = this->links.find(vm);
    if (found == this->links.end())
        return;
    found->second.vouchedAt = now;
    found->second.suspectSince.reset();
}

void LinkMonitor::noteMissedBy(Milliseconds now, const VmId& vm, const VmId& observer)
{
    const auto found = this->links.find(vm);
    if (found != this->links.end())
        found->second.missedBy[observer] = now;
}

void LinkMonitor::restart(Milliseconds now)
{
    for (auto& [vm, link] : this->links)
        link = Link { now, now, std::nullopt, {} };
}

LinkState LinkMonitor::assess(Milliseconds now, const VmId& vm)
{
    const auto found = this->links.find(vm);
    if (found == this->links.end())
        return LinkState::Heard;
    Link& link = found->second;
    const Milliseconds silence = now - std::max(link.heardAt, link.vouchedAt);
    if (silence < this->settings.suspectAfter) {
        link.suspectSince.reset();
        // Asking goes by this VM's own silence, so that a vouch is renewed before it runs out.
        return now - link.heardAt < this->settings.queryAfter ? LinkState::Heard : LinkState::Quiet;
    }
    if (!link.suspectSince)
        link.suspectSince = now;
    const bool isLost = now - *link.suspectSince >= this->settings.goneAfter - this->settings.refutationPeriod;
    return isLost ? LinkState::Lost : LinkState::Suspect;
}

bool LinkMonitor::isHeard(Milliseconds now, const VmId& vm) const
{
    const auto found = this->links.find(vm);
    return found != this->links.end() && now - found->second.heardAt < this->settings.queryAfter;
}

bool LinkMonitor::isAnyHeard(Milliseconds now) const
{
    return std::any_of(this->links.begin(), this->links.end(),
        [&](const auto& link) { return now - link.second.heardAt < this->settings.suspectAfter; });
}

bool LinkMonitor::isMissedByOthers(Milliseconds now, const VmId& vm) const
{
    const auto found = this->links.find(vm);
    if (found == this->links.end())
        return false;
    const auto& missedBy = found->second.missedBy;
    return std::any_of(missedBy.begin(), missedBy.end(),
        [&](const auto& report) { return now - report.second < this->settings.suspectAfter; });
}

} // namespace papayashelf
