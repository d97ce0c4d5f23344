#include "routing/choice/Router.h"

#include "foundation/hashing/StableHash.h"
#include <algorithm>
#include <cmath>

namespace papayashelf {

namespace {

constexpr double serviceTimeBlend = 0.05;
constexpr double fullBatchSteepness = 8;

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
    const LocalOffer local = this->offerLocally(now, permitted, query, generator);
    if (const auto elsewhere = this->offerElsewhere(now, permitted, query, local, generator))
        return *elsewhere;
    if (local.choice)
        return *local.choice;
    return NoChoice { local.isUsable ? NoChoiceReason::Busy : NoChoiceReason::NoUpstream };
}

RelayedChoice Router::choose(Milliseconds now, const RelayedQuery& query, std::mt19937_64& generator)
{
    const PermittedRegions permitted = ResidencyFilter::permit(*this->governance, query.query.workspace);
    if (!permitted.contains(this->self))
        return NoChoice { NoChoiceReason::OutsideResidency };
    const LocalOffer local = this->offerLocally(now, permitted, query.query, generator);
    if (local.choice)
        return *local.choice;
    return NoChoice { local.isUsable ? NoChoiceReason::Busy : NoChoiceReason::NoUpstream };
}

Router::LocalOffer Router::offerLocally(
    Milliseconds now, const PermittedRegions& permitted, const RoutingQuery& query, std::mt19937_64& generator)
{
    std::vector<LocalCandidate> candidates = this->upstreams.findCandidates(now, permitted, query.service);
    LocalOffer offer;
    offer.isUsable = !candidates.empty();
    if (candidates.empty())
        return offer;
    for (const LocalCandidate& candidate : candidates) {
        offer.load += candidate.load / static_cast<double>(candidates.size());
        offer.running += candidate.load * std::max(1, candidate.state->upstream.slots);
    }
    std::erase_if(candidates, [](const LocalCandidate& candidate) { return !candidate.hasRoom; });
    const auto wasTried = [&](const LocalCandidate& candidate) {
        const auto& tried = query.triedUpstreams;
        return std::find(tried.begin(), tried.end(), candidate.state->upstream.id) != tried.end();
    };
    if (!std::all_of(candidates.begin(), candidates.end(), wasTried))
        std::erase_if(candidates, wasTried);
    if (!candidates.empty())
        offer.choice = this->pickLocally(candidates, query, offer, generator);
    return offer;
}

UpstreamChoice Router::pickLocally(const std::vector<LocalCandidate>& candidates, const RoutingQuery& query,
    LocalOffer& offer, std::mt19937_64& generator)
{
    std::vector<PolicyCandidate> seen;
    for (const LocalCandidate& candidate : candidates) {
        const UpstreamId& id = candidate.state->upstream.id;
        seen.push_back({ stableHash(id.string()), candidate.load, this->prefixes.matchLength(id, query.prefixHashes) });
    }
    const PolicyRequest request { query.prefixHashes.empty() ? 0 : query.prefixHashes.front() };
    const std::size_t picked = this->picker.pick(seen, request, generator);
    const UpstreamState& state = *candidates[picked].state;
    offer.load = seen[picked].load;
    if (!query.prefixHashes.empty())
        offer.matchedShare
            = static_cast<double>(seen[picked].matchedPrefixes) / static_cast<double>(query.prefixHashes.size());
    return { state.upstream.id, state.service, state.upstream.endpoint, state.kind };
}

std::optional<RegionChoice> Router::offerElsewhere(Milliseconds now, const PermittedRegions& permitted,
    const RoutingQuery& query, const LocalOffer& local, std::mt19937_64& generator) const
{
    const auto service = this->governance->services.find(query.service);
    const bool isBarred = this->settings.spillPolicy == SpillPolicy::Never && local.isUsable;
    if (isBarred || service == this->governance->services.end())
        return std::nullopt;
    const std::int64_t bytes = (query.promptTokens + query.maximumTokens) * this->settings.bytesPerToken;
    std::optional<RegionId> best;
    double bestCost = 0;
    for (const RegionId& region : this->regions.findUsable(now, permitted, query.service)) {
        const bool wasTried
            = std::find(query.triedRegions.begin(), query.triedRegions.end(), region) != query.triedRegions.end();
        if (wasTried || (local.isUsable && !this->regions.allowsRelay(now, region, query.service)))
            continue;
        const double load = this->regions.estimateLoad(now, region, query.service);
        const Milliseconds link = this->regions.estimateLinkTime(now, region, bytes);
        if (local.isUsable && !this->isWorthLeaving(query, local, load, link))
            continue;
        const double cost = this->waitFor(load, query.service) + static_cast<double>(link.count());
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

bool Router::isWorthLeaving(const RoutingQuery& query, const LocalOffer& local, double load, Milliseconds link) const
{
    if (this->settings.spillPolicy == SpillPolicy::ByLoadOnly)
        return load < local.load;
    const double lostPrefix
        = local.matchedShare * static_cast<double>(query.promptTokens) * this->settings.prefillMillisecondsPerToken;
    const double elsewhere = this->waitFor(load, query.service) + static_cast<double>(link.count()) + lostPrefix
        + static_cast<double>(this->settings.spillMargin.count());
    return elsewhere < this->localWait(query, local);
}

double Router::localWait(const RoutingQuery& query, const LocalOffer& local) const
{
    const auto queued = static_cast<double>(query.queueWait.count());
    if (local.choice)
        return queued + this->waitFor(local.load, query.service);
    // Nothing has room: at the soonest one of the running requests ends.
    const double nextFree = this->getServiceTime(query.service) / std::max(1.0, local.running);
    return std::max(queued, nextFree) + this->waitFor(local.load, query.service);
}

double Router::waitFor(double load, const ServiceId& service) const
{
    // An engine slows down little until its batch is nearly full.
    const double fullness = std::pow(std::min(1.0, load), fullBatchSteepness);
    const double batch = static_cast<double>(this->settings.fullBatchDelay.count()) * fullness;
    return batch + std::max(0.0, load - 1.0) * this->getServiceTime(service);
}

double Router::getServiceTime(const ServiceId& service) const
{
    const auto known = this->serviceTimes.find(service);
    if (known != this->serviceTimes.end())
        return known->second;
    return static_cast<double>(this->settings.expectedServiceTime.count());
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

void Router::noteEnded(Milliseconds now, const UpstreamChoice& choice, AttemptSignal signal, Milliseconds duration,
    std::mt19937_64& generator)
{
    switch (signal) {
    case AttemptSignal::Answered: {
        this->upstreams.noteAnswered(now, choice.upstream);
        double& mean = this->serviceTimes.try_emplace(choice.service, duration.count()).first->second;
        mean += serviceTimeBlend * (static_cast<double>(duration.count()) - mean);
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
    const bool failed = signal == AttemptSignal::Failed;
    this->regions.noteEnded(now, choice.region, choice.service, choice.vm, failed);
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
        const auto here = queued.find(service);
        const std::int64_t waitingHere = here == queued.end() ? 0 : here->second;
        const std::int64_t waiting = load.waiting + waitingHere * this->regions.countOwnRegionVms();
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
