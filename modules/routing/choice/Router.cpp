#include "routing/choice/Router.h"

#include "foundation/hashing/StableHash.h"
#include <algorithm>
#include <cmath>

namespace papayashelf {

namespace {

constexpr double serviceTimeSmoothing = 0.05;
constexpr double batchDelayExponent = 8;

} // namespace

Router::Router(RoutingSettings settings, RegionId self, VmId vm)
    : settings(settings)
    , self(std::move(self))
    , vm(std::move(vm))
    , upstreams(this->settings, this->self, this->vm)
    , regions(this->settings, this->self)
    , prefixes(this->settings.prefixIndexEntries)
    , picker(this->settings)
{
}

void Router::setGovernance(std::shared_ptr<const Governance> newGovernance)
{
    this->governance = std::move(newGovernance);
    this->upstreams.setGovernance(*this->governance);
    this->regions.setGovernance(*this->governance);
}

void Router::setVmList(const VmList& list)
{
    this->upstreams.setVmList(list);
}

void Router::setMembers(const std::vector<Member>& members)
{
    this->regions.setMembers(members);
}

void Router::handleLoad(Milliseconds now, const UpstreamLoadReport& load)
{
    if (!this->upstreams.handleLoad(now, load.upstream, load.running, load.waiting, load.cacheUse))
        return;
    this->prefixes.add(load.upstream, load.prefixesAdded);
    this->prefixes.remove(load.upstream, load.prefixesEvicted);
    if (load.isLeaving)
        this->upstreams.markLeaving(load.upstream);
}

void Router::handleRegionSummary(Milliseconds now, const RegionSummary& summary)
{
    this->regions.handleSummary(now, summary);
}

void Router::markLeaving(const UpstreamId& upstream)
{
    this->upstreams.markLeaving(upstream);
}

RoutingChoice Router::choose(Milliseconds now, const RoutingQuery& query, std::mt19937_64& generator)
{
    const PermittedRegions permitted = ResidencyFilter::permit(*this->governance, query.workspace);
    if (!permitted.contains(this->self))
        return NoChoice { NoChoiceReason::OutsideResidency };
    const LocalOption local = this->findLocalOption(now, permitted, query, generator);
    if (const auto relay = this->chooseRelay(now, permitted, query, local, generator))
        return *relay;
    if (local.choice)
        return *local.choice;
    return NoChoice { local.hasUsableUpstream ? NoChoiceReason::Busy : NoChoiceReason::NoUpstream };
}

RelayedChoice Router::choose(Milliseconds now, const RelayedQuery& query, std::mt19937_64& generator)
{
    const PermittedRegions permitted = ResidencyFilter::permit(*this->governance, query.query.workspace);
    if (!permitted.contains(this->self))
        return NoChoice { NoChoiceReason::OutsideResidency };
    const LocalOption local = this->findLocalOption(now, permitted, query.query, generator);
    if (local.choice)
        return *local.choice;
    return NoChoice { local.hasUsableUpstream ? NoChoiceReason::Busy : NoChoiceReason::NoUpstream };
}

Router::LocalOption Router::findLocalOption(
    Milliseconds now, const PermittedRegions& permitted, const RoutingQuery& query, std::mt19937_64& generator)
{
    std::vector<LocalCandidate> candidates = this->upstreams.findCandidates(now, permitted, query.service);
    LocalOption option;
    option.hasUsableUpstream = !candidates.empty();
    if (candidates.empty())
        return option;
    for (const LocalCandidate& candidate : candidates) {
        option.load += candidate.load / static_cast<double>(candidates.size());
        option.running += candidate.load * std::max(1, candidate.state->upstream.slots);
    }
    std::erase_if(candidates, [](const LocalCandidate& candidate) { return !candidate.hasCapacity; });
    const auto wasTried = [&](const LocalCandidate& candidate) {
        const auto& tried = query.triedUpstreams;
        return std::find(tried.begin(), tried.end(), candidate.state->upstream.id) != tried.end();
    };
    if (!std::all_of(candidates.begin(), candidates.end(), wasTried))
        std::erase_if(candidates, wasTried);
    if (!candidates.empty())
        option.choice = this->pickUpstream(candidates, query, option, generator);
    return option;
}

UpstreamChoice Router::pickUpstream(const std::vector<LocalCandidate>& candidates, const RoutingQuery& query,
    LocalOption& option, std::mt19937_64& generator)
{
    std::vector<PolicyCandidate> policyCandidates;
    for (const LocalCandidate& candidate : candidates) {
        const UpstreamId& id = candidate.state->upstream.id;
        policyCandidates.push_back(
            { stableHash(id.string()), candidate.load, this->prefixes.matchLength(id, query.prefixHashes) });
    }
    const PolicyRequest request { query.prefixHashes.empty() ? 0 : query.prefixHashes.front() };
    const std::size_t picked = this->picker.pick(policyCandidates, request, generator);
    const UpstreamState& state = *candidates[picked].state;
    option.load = policyCandidates[picked].load;
    if (!query.prefixHashes.empty())
        option.matchedPromptFraction = static_cast<double>(policyCandidates[picked].matchedPrefixes)
            / static_cast<double>(query.prefixHashes.size());
    return { state.upstream.id, state.service, state.upstream.endpoint, state.kind };
}

std::optional<RegionChoice> Router::chooseRelay(Milliseconds now, const PermittedRegions& permitted,
    const RoutingQuery& query, const LocalOption& local, std::mt19937_64& generator) const
{
    const auto service = this->governance->services.find(query.service);
    const bool isRelayDisabled = this->settings.spillPolicy == SpillPolicy::Never && local.hasUsableUpstream;
    if (isRelayDisabled || service == this->governance->services.end())
        return std::nullopt;
    const std::int64_t bytes = (query.promptTokens + query.maximumTokens) * this->settings.bytesPerToken;
    std::optional<RegionId> best;
    double bestCost = 0;
    for (const RegionId& region : this->regions.findUsable(now, permitted, query.service)) {
        const bool wasTried
            = std::find(query.triedRegions.begin(), query.triedRegions.end(), region) != query.triedRegions.end();
        if (wasTried || (local.hasUsableUpstream && !this->regions.allowsRelay(now, region, query.service)))
            continue;
        const double load = this->regions.estimateLoad(now, region, query.service);
        const Milliseconds linkTime = this->regions.estimateLinkTime(now, region, bytes);
        if (local.hasUsableUpstream && !this->isRelayWorthwhile(query, local, load, linkTime))
            continue;
        const double cost = this->estimateWait(load, query.service) + static_cast<double>(linkTime.count());
        if (!best || cost < bestCost) {
            best = region;
            bestCost = cost;
        }
    }
    if (!best)
        return std::nullopt;
    const auto target = this->regions.pickVm(now, *best, generator);
    if (!target)
        return std::nullopt;
    return RegionChoice { *best, query.service, target->vm, target->endpoint, service->second.kind, bytes };
}

bool Router::isRelayWorthwhile(
    const RoutingQuery& query, const LocalOption& local, double load, Milliseconds linkTime) const
{
    if (this->settings.spillPolicy == SpillPolicy::ByLoadOnly)
        return load < local.load;
    const double lostPrefix = local.matchedPromptFraction * static_cast<double>(query.promptTokens)
        * this->settings.prefillMillisecondsPerToken;
    const double relayCost = this->estimateWait(load, query.service) + static_cast<double>(linkTime.count())
        + lostPrefix + static_cast<double>(this->settings.spillMargin.count());
    return relayCost < this->estimateLocalWait(query, local);
}

double Router::estimateLocalWait(const RoutingQuery& query, const LocalOption& local) const
{
    const auto queueDelay = static_cast<double>(query.queueWait.count());
    if (local.choice)
        return queueDelay + this->estimateWait(local.load, query.service);
    // No upstream has capacity, so the request waits at least until one of the running requests ends.
    const double timeToFreeSlot = this->getServiceTime(query.service) / std::max(1.0, local.running);
    return std::max(queueDelay, timeToFreeSlot) + this->estimateWait(local.load, query.service);
}

double Router::estimateWait(double load, const ServiceId& service) const
{
    // An engine slows down little until its batch is nearly full.
    const double batchUtilization = std::pow(std::min(1.0, load), batchDelayExponent);
    const double batchDelay = static_cast<double>(this->settings.fullBatchDelay.count()) * batchUtilization;
    return batchDelay + std::max(0.0, load - 1.0) * this->getServiceTime(service);
}

double Router::getServiceTime(const ServiceId& service) const
{
    const auto measured = this->serviceTimes.find(service);
    if (measured != this->serviceTimes.end())
        return measured->second;
    return static_cast<double>(this->settings.defaultServiceTime.count());
}

void Router::noteStarted(Milliseconds now, const UpstreamChoice& choice, const std::vector<std::uint64_t>& prefixHashes)
{
    this->upstreams.noteStarted(now, choice.upstream);
    this->prefixes.add(choice.upstream, prefixHashes);
}

void Router::noteStarted(Milliseconds now, const RegionChoice& choice)
{
    this->regions.noteStarted(now, choice.region, choice.service, choice.vm, choice.bytes);
}

void Router::noteSilent(Milliseconds now, const UpstreamChoice& choice, std::mt19937_64& generator)
{
    this->upstreams.noteSilent(now, choice.upstream, generator);
}

void Router::noteSilent(Milliseconds now, const RegionChoice& choice)
{
    this->regions.noteSilent(now, choice.vm);
}

void Router::noteEnded(Milliseconds now, const UpstreamChoice& choice, AttemptSignal signal, Milliseconds duration,
    std::mt19937_64& generator)
{
    switch (signal) {
    case AttemptSignal::Answered: {
        this->upstreams.noteAnswered(now, choice.upstream);
        double& meanDuration = this->serviceTimes.try_emplace(choice.service, duration.count()).first->second;
        meanDuration += serviceTimeSmoothing * (static_cast<double>(duration.count()) - meanDuration);
        break;
    }
    case AttemptSignal::Failed:
        this->upstreams.noteFailed(now, choice.upstream, generator);
        break;
    case AttemptSignal::Busy:
        this->upstreams.noteBusy(now, choice.upstream);
        break;
    case AttemptSignal::Cancelled:
        this->upstreams.noteCancelled(choice.upstream);
        break;
    }
}

void Router::noteEnded(Milliseconds now, const RegionChoice& choice, AttemptSignal signal)
{
    const bool hasFailed = signal == AttemptSignal::Failed;
    this->regions.noteEnded(now, choice.region, choice.service, choice.vm, hasFailed);
}

std::vector<Upstream> Router::getWatchedUpstreams() const
{
    return this->upstreams.listWatched();
}

std::vector<RegionSummary> Router::summariseOwnRegion(
    Milliseconds now, const std::map<ServiceId, std::int64_t>& queued) const
{
    std::vector<RegionSummary> summaries;
    for (const ServiceId& service : this->upstreams.listServices()) {
        const ServiceLoad load = this->upstreams.sumLoad(now, service);
        const auto queuedEntry = queued.find(service);
        const std::int64_t queuedHere = queuedEntry == queued.end() ? 0 : queuedEntry->second;
        const std::int64_t waiting = load.waiting + queuedHere * this->regions.countOwnRegionVms();
        summaries.push_back({ this->self, service, static_cast<std::int32_t>(load.slots),
            static_cast<std::int32_t>(load.running), static_cast<std::int32_t>(waiting) });
    }
    return summaries;
}

std::vector<UpstreamId> Router::getEjected(Milliseconds now) const
{
    return this->upstreams.listEjected(now);
}

} // namespace papayashelf
