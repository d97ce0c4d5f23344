#include "gateway/digest/LoadExchange.h"

#include <algorithm>

namespace papayashelf {

namespace {

constexpr Milliseconds replyTimeout { 1'400 }; /**< Allows for three reports, one of them lost. */
constexpr Milliseconds avoidanceTime { 3'000 }; /**< Time until a VM that did not answer receives reports again. */
constexpr Milliseconds figuresLifetime { 4'000 }; /**< Equals the lifetime of a lease that is not renewed. */

} // namespace

LoadExchange::LoadExchange(VmId vm, RegionId region)
    : vm(std::move(vm))
    , region(std::move(region))
{
}

std::vector<const VmAnnouncement*> LoadExchange::chooseReceivers(Milliseconds now, const VmRegistry& vms)
{
    std::vector<const VmAnnouncement*> receivers;
    const VmAnnouncement* collector = this->findCollector(now, vms, this->region);
    this->isCollectorVm = !collector || collector->vm == this->vm;
    if (!this->isCollectorVm) {
        receivers.push_back(collector);
    } else {
        std::set<RegionId> others = vms.getRegions();
        others.erase(this->region);
        for (const RegionId& other : others) {
            if (const VmAnnouncement* receiver = this->findCollector(now, vms, other))
                receivers.push_back(receiver);
        }
    }
    for (const VmAnnouncement* receiver : receivers)
        this->unansweredSince.try_emplace(receiver->vm, now);
    return receivers;
}

const VmAnnouncement* LoadExchange::findCollector(Milliseconds now, const VmRegistry& vms, const RegionId& targetRegion)
{
    for (const VmAnnouncement* candidate : vms.getReadyVms(targetRegion)) {
        if (candidate->vm == this->vm)
            return candidate;
        const auto unanswered = this->unansweredSince.find(candidate->vm);
        if (unanswered != this->unansweredSince.end() && now - unanswered->second > replyTimeout) {
            this->avoidedUntil[candidate->vm] = now + avoidanceTime;
            this->unansweredSince.erase(unanswered);
        }
        const auto avoided = this->avoidedUntil.find(candidate->vm);
        if (avoided == this->avoidedUntil.end() || avoided->second <= now)
            return candidate;
    }
    return nullptr;
}

DigestReport LoadExchange::makeReport(Milliseconds now, const RegionId& receiver) const
{
    if (receiver == this->region)
        return { this->vm, this->region, false, this->own, now.count() };
    DigestReport report { this->vm, this->region, true, this->sumRegion(now), now.count() };
    report.figures.upstreams.clear();
    return report;
}

LoadFigures LoadExchange::sumRegion(Milliseconds now) const
{
    LoadFigures sum = this->own;
    for (const auto& [id, received] : this->byVm) {
        if (now - received.receivedAt < figuresLifetime)
            sum.add(received.figures);
    }
    return sum;
}

void LoadExchange::replaceFigures(const VmId& from, ReceivedFigures figures)
{
    // The sum is kept up to date here, because it is needed for each upstream at each request.
    const auto known = this->byVm.find(from);
    if (known != this->byVm.end())
        this->removeFromSum(known->second.figures);
    for (const auto& [upstream, load] : figures.figures.upstreams)
        this->reportedSum.upstreams[upstream].add(load);
    this->byVm[from] = std::move(figures);
    std::erase_if(this->reportedSum.upstreams, [](const auto& entry) { return entry.second == UpstreamLoad {}; });
}

void LoadExchange::removeFromSum(const LoadFigures& figures)
{
    for (const auto& [upstream, load] : figures.upstreams)
        this->reportedSum.upstreams[upstream].add({ -load.running, -load.pendingPrefillTokens });
}

void LoadExchange::expire(Milliseconds now, const VmRegistry& vms)
{
    std::erase_if(this->byVm, [&](const auto& entry) {
        const bool isExpired = now - entry.second.receivedAt >= figuresLifetime;
        if (isExpired)
            this->removeFromSum(entry.second.figures);
        return isExpired;
    });
    std::erase_if(this->reportedSum.upstreams, [](const auto& entry) { return entry.second == UpstreamLoad {}; });
    const std::set<RegionId> regions = vms.getRegions();
    std::erase_if(this->byRegion, [&](const auto& entry) {
        const bool isRenewedByItsVms = entry.first != this->region && regions.contains(entry.first);
        return !isRenewedByItsVms && now - entry.second.receivedAt >= figuresLifetime;
    });
}

void LoadExchange::noteReport(Milliseconds now, const DigestReport& report)
{
    if (report.isWholeRegion)
        this->byRegion[report.region] = { report.figures, now };
    else if (report.region == this->region)
        this->replaceFigures(report.from, { report.figures, now });
}

DigestReply LoadExchange::makeReply(
    Milliseconds now, const DigestReport& report, Milliseconds confirmationAge, StorePosition knownRevision)
{
    DigestReply reply { this->vm, report.sentAt, -1, knownRevision, {} };
    if (confirmationAge < Milliseconds::fromSeconds(60))
        reply.confirmationAge = confirmationAge.count();
    for (const auto& [other, received] : this->byRegion) {
        if (other != this->region && now - received.receivedAt < figuresLifetime)
            reply.regions[other] = received.figures;
    }
    reply.regions[this->region] = this->sumRegion(now);
    // A collector of another region needs only this region; it receives the others from their own collectors.
    if (report.isWholeRegion) {
        std::erase_if(reply.regions, [this](const auto& entry) { return entry.first != this->region; });
        reply.regions[this->region].upstreams.clear();
    }
    return reply;
}

std::optional<FreshnessConfirmation> LoadExchange::noteReply(Milliseconds now, const DigestReply& reply)
{
    this->unansweredSince.erase(reply.from);
    this->avoidedUntil.erase(reply.from);
    for (const auto& [targetRegion, figures] : reply.regions) {
        if (targetRegion != this->region || !this->isCollectorVm)
            this->byRegion[targetRegion] = { figures, now };
    }
    if (reply.confirmationAge < 0)
        return std::nullopt;
    // The replier determined the age after the report was sent, so its confirmation is no older than this.
    return FreshnessConfirmation { Milliseconds(reply.sentAt - reply.confirmationAge), reply.knownRevision };
}

double LoadExchange::getRemoteDemand(const WorkspaceId& workspace) const
{
    const auto workspaceDemand = [&workspace](const LoadFigures& figures) {
        const auto found = figures.demand.find(workspace);
        return found == figures.demand.end() ? 0.0 : found->second;
    };
    double demand = 0;
    for (const auto& [other, received] : this->byRegion) {
        if (other != this->region)
            demand += workspaceDemand(received.figures);
    }
    if (this->isCollectorVm) {
        for (const auto& [id, received] : this->byVm)
            demand += workspaceDemand(received.figures);
        return demand;
    }
    const auto here = this->byRegion.find(this->region);
    return here == this->byRegion.end()
        ? demand
        : demand + std::max(0.0, workspaceDemand(here->second.figures) - workspaceDemand(this->own));
}

ServiceLoad LoadExchange::getLocalLoadOfOtherVms(const ServiceId& service) const
{
    ServiceLoad others = this->getLoad(this->region, service);
    const ServiceLoad here = this->own.getLoad(service);
    others.running = std::max(0, others.running - here.running);
    others.pendingPrefillTokens = std::max<std::int64_t>(0, others.pendingPrefillTokens - here.pendingPrefillTokens);
    others.requestedTokensPerSecond
        = std::max<std::int64_t>(0, others.requestedTokensPerSecond - here.requestedTokensPerSecond);
    return others;
}

std::optional<UpstreamLoad> LoadExchange::getLoadOfOtherVms(const UpstreamId& upstream) const
{
    const auto findLoad = [&upstream](const LoadFigures& figures) {
        const auto found = figures.upstreams.find(upstream);
        return found == figures.upstreams.end() ? UpstreamLoad {} : found->second;
    };
    if (this->isCollectorVm)
        return this->byVm.empty() ? std::nullopt : std::optional(findLoad(this->reportedSum));
    const auto here = this->byRegion.find(this->region);
    if (here == this->byRegion.end())
        return std::nullopt;
    const UpstreamLoad all = findLoad(here->second.figures);
    const UpstreamLoad mine = findLoad(this->own);
    return UpstreamLoad { std::max(0, all.running - mine.running),
        std::max<std::int64_t>(0, all.pendingPrefillTokens - mine.pendingPrefillTokens) };
}

ServiceLoad LoadExchange::getLoad(const RegionId& targetRegion, const ServiceId& service) const
{
    // This runs for each request, so it adds up the load of this service only.
    if (targetRegion == this->region && this->isCollectorVm) {
        ServiceLoad sum = this->own.getLoad(service);
        for (const auto& [id, received] : this->byVm)
            sum.add(received.figures.getLoad(service));
        return sum;
    }
    const auto found = this->byRegion.find(targetRegion);
    return found == this->byRegion.end() ? ServiceLoad {} : found->second.figures.getLoad(service);
}

} // namespace papayashelf
