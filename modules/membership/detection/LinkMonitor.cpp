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

void LinkMonitor::recordHeartbeat(Milliseconds now, const VmId& vm)
{
    const auto found = this->links.find(vm);
    if (found == this->links.end())
        return;
    found->second.lastHeartbeatAt = now;
    found->second.suspectSince.reset();
    found->second.silenceReports.clear();
}

void LinkMonitor::recordConfirmation(Milliseconds now, const VmId& vm)
{
    const auto found = this->links.find(vm);
    if (found == this->links.end())
        return;
    found->second.confirmedAt = now;
    found->second.suspectSince.reset();
}

void LinkMonitor::recordSilenceReport(Milliseconds now, const VmId& vm, const VmId& observer)
{
    const auto found = this->links.find(vm);
    if (found != this->links.end())
        found->second.silenceReports[observer] = now;
}

void LinkMonitor::resetSilence(Milliseconds now)
{
    for (auto& [vm, link] : this->links)
        link = Link { now, now, std::nullopt, {} };
}

LinkState LinkMonitor::assess(Milliseconds now, const VmId& vm)
{
    const auto found = this->links.find(vm);
    if (found == this->links.end())
        return LinkState::Reachable;
    Link& link = found->second;
    const Milliseconds silence = now - std::max(link.lastHeartbeatAt, link.confirmedAt);
    if (silence < this->settings.suspectAfter) {
        link.suspectSince.reset();
        // Confirmations do not count here, so that the queries go on and renew a confirmation before it expires.
        return now - link.lastHeartbeatAt < this->settings.queryAfter ? LinkState::Reachable : LinkState::Silent;
    }
    if (!link.suspectSince)
        link.suspectSince = now;
    const bool isLost = now - *link.suspectSince >= this->settings.goneAfter - this->settings.refutationPeriod;
    return isLost ? LinkState::Failed : LinkState::Suspect;
}

bool LinkMonitor::hasRecentHeartbeat(Milliseconds now, const VmId& vm) const
{
    const auto found = this->links.find(vm);
    return found != this->links.end() && now - found->second.lastHeartbeatAt < this->settings.queryAfter;
}

bool LinkMonitor::hasAnyRecentHeartbeat(Milliseconds now) const
{
    return std::any_of(this->links.begin(), this->links.end(),
        [&](const auto& link) { return now - link.second.lastHeartbeatAt < this->settings.suspectAfter; });
}

bool LinkMonitor::isReportedSilent(Milliseconds now, const VmId& vm) const
{
    const auto found = this->links.find(vm);
    if (found == this->links.end())
        return false;
    const auto& silenceReports = found->second.silenceReports;
    return std::any_of(silenceReports.begin(), silenceReports.end(),
        [&](const auto& report) { return now - report.second < this->settings.suspectAfter; });
}

} // namespace papayashelf
