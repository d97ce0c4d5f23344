#include "gateway/placement/Placement.h"

#include "foundation/hashing/StableHash.h"
#include <algorithm>
#include <array>
#include <limits>

namespace papayashelf {

namespace {

constexpr double fullLoad = 1.0; /**< Requests per slot; further requests queue inside the engine. */
constexpr double fullLoadCost = 200; /**< Milliseconds by which a full upstream is slower than an idle one. */
/** Weights the prefill time of a missing shared part, as repeating it also evicts cached parts of other prompts. */
constexpr double cacheMissFactor = 6;
/** By the upstream's position in the rendezvous order of a shared part. */
constexpr std::array<double, 3> cacheHitProbability { 1, 0.6, 0.3 };
constexpr std::int64_t minimumFetchTokens = 512; /**< Reading fewer takes about as long as setting up a fetch. */
/** Milliseconds for two long-distance trips, there and back, and another VM's work. */
constexpr double relayCost = 220;
/** Share of an engine's time. With three quarters of it spent on prefill, responses take four times as long. */
constexpr double maximumPrefillShare = 0.75;
constexpr double maximumRelayLoad = 0.9; /**< Share of a region's prefill capacity above which it gets no relays. */
/** Time after a rejection in which a rising part of the requests may use the upstream; covers a few load reports. */
constexpr Milliseconds returnTime = LoadExchange::reportInterval * 4;
constexpr double minimumAcceptedShare = 0.001; /**< Keeps estimates finite while all upstreams state limits near 0. */
/** Milliseconds; costs that differ by less count as equal, and the VM chooses among them at random. */
constexpr double costTolerance = 2;

} // namespace

Placement::Placement(VmId vm, RegionId region, const UpstreamTable& table, const VmRegistry& vms,
    const LoadExchange& loadExchange, std::uint64_t seed)
    : vm(vm)
    , region(std::move(region))
    , table(table)
    , vms(vms)
    , loadExchange(loadExchange)
    , random(seed)
    , coldLimit(vm)
    , statedLimit(vm)
    , slotShare(std::move(vm))
{
}

PlacementDecision Placement::choose(Milliseconds now, const PlacementQuery& query, const ServingService& service)
{
    PlacementFailureCause cause = PlacementFailureCause::NoUpstream;
    std::vector<Candidate> candidates;
    if (!query.mayUseOwnUpstreams) {
        if (const auto handOver = this->findHandOver(now, query))
            return *handOver;
        cause = PlacementFailureCause::Unreachable;
    } else if (isHome(query.homes, this->region)) {
        candidates = this->findCandidates(now, query, service, cause);
    }
    if (!query.hasPrefillCapacity && query.mayUseOwnUpstreams)
        cause = PlacementFailureCause::AllFull;
    this->estimateCosts(query, candidates);
    const Candidate* best = this->chooseCheapest(candidates);
    this->inputs = {};
    this->inputs.candidates = candidates.size();
    if (best) {
        this->inputs.load = best->load;
        this->inputs.cost = best->cost;
        this->inputs.loadAge = now - best->upstream->reportedAt;
    }
    if (query.mayRelay) {
        const double ownCost = best ? best->cost : std::numeric_limits<double>::infinity();
        const bool hasOwnUpstreams = query.mayUseOwnUpstreams && (best || cause != PlacementFailureCause::NoUpstream);
        if (const auto relay = this->findRelay(now, query, ownCost, hasOwnUpstreams))
            return *relay;
    }
    if (!best && cause == PlacementFailureCause::Unreachable)
        return PlacementFailure { cause, Milliseconds(0) };
    if (!best && query.version && !this->isVersionListed(query))
        return PlacementFailure { PlacementFailureCause::NoUpstreamOfVersion, Milliseconds(0) };
    if (!best && cause == PlacementFailureCause::AllRejecting)
        return PlacementFailure { cause, this->getRejectionTime(now, query.service) };
    if (!best)
        return PlacementFailure { cause, Milliseconds(0) };
    return UseUpstream { best->upstream->record, best->upstream->health.isSuspect(now),
        this->findCacheSource(now, query, *best->upstream) };
}

std::optional<Endpoint> Placement::findCacheSource(
    Milliseconds now, const PlacementQuery& query, const KnownUpstream& chosen) const
{
    if (query.cacheKey == 0 || query.sharedTokens < minimumFetchTokens)
        return std::nullopt;
    std::vector<const KnownUpstream*> holders = this->table.getUsableUpstreams(query.service, this->region);
    std::erase_if(holders, [now](const KnownUpstream* upstream) {
        return upstream->isCold(now) || upstream->health.isSuspect(now) || upstream->isRejecting(now);
    });
    std::vector<std::uint64_t> hashes;
    hashes.reserve(holders.size());
    for (const KnownUpstream* upstream : holders)
        hashes.push_back(stableHash(upstream->record.id.string()));
    const std::vector<std::size_t> order = rendezvousOrder(query.cacheKey, hashes, 1);
    if (order.empty() || holders[order.front()] == &chosen)
        return std::nullopt;
    return holders[order.front()]->record.endpoint;
}

std::vector<Placement::Candidate> Placement::findCandidates(
    Milliseconds now, const PlacementQuery& query, const ServingService& service, PlacementFailureCause& cause)
{
    const std::vector<VmId> regionVms = this->getOwnRegionVms();
    std::vector<Candidate> healthyCandidates;
    std::vector<Candidate> suspectCandidates;
    for (const KnownUpstream* upstream : this->table.getUsableUpstreams(query.service, this->region)) {
        if (query.tried.contains(upstream->record.id) || !mayUseVersion(query, *upstream))
            continue;
        if (upstream->isRejecting(now) || !this->mayReturnTo(now, *upstream, regionVms.size())) {
            cause = cause == PlacementFailureCause::NoUpstream ? PlacementFailureCause::AllRejecting : cause;
            continue;
        }
        if (!query.hasPrefillCapacity && !this->isBoundByRequests(*upstream))
            continue;
        const double slots = std::max(1, upstream->record.slots);
        // Without figures of the other VMs, all VMs of the region are taken to send the upstream as much as this one.
        const std::optional<UpstreamLoad> others = this->loadExchange.getLoadOfOtherVms(upstream->record.id);
        const double running
            = others ? upstream->running + others->running : upstream->running * static_cast<double>(regionVms.size());
        const Candidate candidate { upstream, estimateLoad(*upstream, running, now) / slots,
            upstream->pendingPrefillTokens + (others ? others->pendingPrefillTokens : 0), 0 };
        const bool isColdBound = upstream->isCold(now) && service.coldRequestsPerSecond > 0;
        const bool isAtStatedLimit = upstream->requestsPerSecond
            && !this->statedLimit.mayUse(now, upstream->record.id, *upstream->requestsPerSecond, regionVms);
        if (candidate.load >= fullLoad || isAtStatedLimit || this->isSlotShareUsed(now, *upstream, regionVms)) {
            cause = PlacementFailureCause::AllFull;
        } else if (isColdBound
            && (now < this->vmsKnownAt
                || !this->coldLimit.mayUse(now, upstream->record.id, service.coldRequestsPerSecond, regionVms))) {
            cause = cause == PlacementFailureCause::AllFull ? cause : PlacementFailureCause::AllCold;
        } else if (!upstream->health.isSuspect(now)) {
            healthyCandidates.push_back(candidate);
        } else if (query.mayTrySuspects) {
            suspectCandidates.push_back(candidate);
        }
    }
    // Streams that few upstreams can continue would otherwise all go to the ones that may just have restarted.
    const bool mayUseAnySuspect = healthyCandidates.empty() && !query.version;
    for (const Candidate& candidate : suspectCandidates) {
        if (mayUseAnySuspect || candidate.upstream->health.isTrialDue(now))
            return { candidate };
    }
    if (!suspectCandidates.empty() && cause == PlacementFailureCause::NoUpstream)
        cause = PlacementFailureCause::AllFull;
    return healthyCandidates;
}

bool Placement::mayUseVersion(const PlacementQuery& query, const KnownUpstream& upstream)
{
    return !query.version || (upstream.record.version == *query.version && upstream.isEntryOfProcess());
}

bool Placement::isVersionListed(const PlacementQuery& query) const
{
    const auto isListedIn = [&](const RegionId& where) {
        const std::vector<const KnownUpstream*> upstreams = this->table.getUsableUpstreams(query.service, where);
        return isHome(query.homes, where) && std::any_of(upstreams.begin(), upstreams.end(), [&](const auto* upstream) {
            return upstream->record.version == *query.version;
        });
    };
    if (isListedIn(this->region))
        return true;
    const std::set<RegionId> regions = query.mayRelay ? this->vms.getRegions() : std::set<RegionId>();
    return std::any_of(regions.begin(), regions.end(), isListedIn);
}

bool Placement::isSlotShareUsed(Milliseconds now, const KnownUpstream& upstream, const std::vector<VmId>& regionVms)
{
    if (!upstream.rejectionLimit)
        return false;
    // A VM that has just started may not know all others, and would take their shares.
    return now < this->vmsKnownAt
        || upstream.running >= this->slotShare.get(now, upstream.record.id, upstream.record.slots, regionVms);
}

bool Placement::mayReturnTo(Milliseconds now, const KnownUpstream& upstream, std::size_t regionVms)
{
    const Milliseconds elapsed = now - upstream.rejectsUntil;
    // A VM that is alone knows all requests of the upstream at once.
    if (upstream.rejectsUntil == Milliseconds(0) || elapsed >= returnTime || regionVms <= 1)
        return true;
    return std::bernoulli_distribution(elapsed.seconds() / returnTime.seconds())(this->random);
}

Milliseconds Placement::getRejectionTime(Milliseconds now, const ServiceId& service) const
{
    std::optional<Milliseconds> earliest;
    for (const KnownUpstream* upstream : this->table.getUsableUpstreams(service, this->region)) {
        if (upstream->isRejecting(now))
            earliest = std::min(earliest.value_or(upstream->rejectsUntil), upstream->rejectsUntil);
    }
    return earliest ? *earliest - now : Milliseconds(0);
}

void Placement::estimateCosts(const PlacementQuery& query, std::vector<Candidate>& candidates)
{
    if (candidates.empty())
        return;
    std::int64_t attributed = 0;
    std::vector<std::uint64_t> hashes;
    hashes.reserve(candidates.size());
    for (const Candidate& candidate : candidates) {
        attributed += candidate.pendingTokens;
        hashes.push_back(stableHash(candidate.upstream->record.id.string()));
    }
    const std::int64_t all = this->loadExchange.getLoad(this->region, query.service).pendingPrefillTokens;
    // A VM of an earlier version reports no load by upstream; its load is taken to be spread evenly.
    // Upstreams of other versions, which are no candidates then, have a part of it, too.
    const double unattributed = query.version
        ? 0
        : static_cast<double>(std::max<std::int64_t>(0, all - attributed)) / static_cast<double>(hashes.size());
    const double prefillSpeed = this->prefillSpeed.get(query.service);
    const double cacheMissCost
        = query.cacheKey == 0 ? 0 : static_cast<double>(query.sharedTokens) * cacheMissFactor / prefillSpeed;
    for (Candidate& candidate : candidates) {
        const double pendingTokens = static_cast<double>(candidate.pendingTokens) + unattributed;
        candidate.cost = pendingTokens / prefillSpeed + candidate.load * fullLoadCost + cacheMissCost;
    }
    if (query.cacheKey == 0)
        return;
    // Overflow from the first upstream goes to the same second and third ones, so it is likely to be cached there.
    const std::vector<std::size_t> order = rendezvousOrder(query.cacheKey, hashes, cacheHitProbability.size());
    for (std::size_t place = 0; place < order.size(); ++place)
        candidates[order[place]].cost -= cacheMissCost * cacheHitProbability[place];
}

const Placement::Candidate* Placement::chooseCheapest(const std::vector<Candidate>& candidates)
{
    if (candidates.empty())
        return nullptr;
    double least = candidates.front().cost;
    for (const Candidate& candidate : candidates)
        least = std::min(least, candidate.cost);
    std::vector<const Candidate*> equalCandidates;
    for (const Candidate& candidate : candidates) {
        if (candidate.cost <= least + costTolerance)
            equalCandidates.push_back(&candidate);
    }
    return equalCandidates[std::uniform_int_distribution<std::size_t>(0, equalCandidates.size() - 1)(this->random)];
}

std::optional<UseRelay> Placement::findRelay(
    Milliseconds now, const PlacementQuery& query, double ownCost, bool hasOwnUpstreams)
{
    const VmAnnouncement* chosen = nullptr;
    double lowestCost = ownCost;
    for (const RegionId& other : this->vms.getRegions()) {
        if (other == this->region || query.triedRegions.contains(other) || !isHome(query.homes, other))
            continue;
        const double cost = this->estimateRegionCost(query, other, hasOwnUpstreams);
        const VmAnnouncement* vm = cost < lowestCost ? this->chooseRelayVm(now, query, other) : nullptr;
        if (vm) {
            chosen = vm;
            lowestCost = cost;
        }
    }
    if (!chosen)
        return std::nullopt;
    return UseRelay { chosen->vm, chosen->region, chosen->relays, chosen->relayKey };
}

double Placement::getFullPrefillCapacity(const ServiceId& service) const
{
    constexpr double perSecond = 1000;
    return this->prefillSpeed.get(service) * perSecond * maximumPrefillShare;
}

double Placement::getStatedPrefillCapacity(const KnownUpstream& upstream) const
{
    const double full = this->getFullPrefillCapacity(upstream.record.service);
    const std::optional<double> length = this->promptLength.get(upstream.record.service);
    if (!upstream.requestsPerSecond || !length)
        return full;
    return std::min(full, StatedRateLimit::getAcceptedRate(*upstream.requestsPerSecond) * *length);
}

bool Placement::isBoundByRequests(const KnownUpstream& upstream) const
{
    return this->getStatedPrefillCapacity(upstream) < this->getFullPrefillCapacity(upstream.record.service);
}

double Placement::getUsedPrefill(const UpstreamId& id, double tokens) const
{
    const KnownUpstream* upstream = this->table.find(id);
    if (!upstream || !this->isBoundByRequests(*upstream))
        return tokens;
    return std::min(tokens, this->promptLength.get(upstream->record.service).value_or(tokens));
}

double Placement::getPrefillCapacity(Milliseconds now, const ServiceId& service) const
{
    double capacity = 0;
    for (const KnownUpstream* upstream : this->table.getUsableUpstreams(service, this->region))
        capacity += upstream->isRejecting(now) ? 0 : this->getStatedPrefillCapacity(*upstream);
    return capacity;
}

double Placement::getAcceptedShare(const ServiceId& service) const
{
    const std::vector<const KnownUpstream*> upstreams = this->table.getUsableUpstreams(service, this->region);
    double accepted = 0;
    for (const KnownUpstream* upstream : upstreams)
        accepted += this->getStatedPrefillCapacity(*upstream);
    const double full = this->getFullPrefillCapacity(service) * static_cast<double>(upstreams.size());
    return full > 0 ? accepted / full : 1;
}

double Placement::estimateRegionCost(const PlacementQuery& query, const RegionId& other, bool needsFreeCapacity) const
{
    const std::vector<const KnownUpstream*> upstreams = this->table.getUsableUpstreams(query.service, other);
    const int slots = this->table.countSlots(query.service, other);
    const bool hasUsable = std::any_of(upstreams.begin(), upstreams.end(),
        [&query](const KnownUpstream* upstream) { return mayUseVersion(query, *upstream); });
    if (slots == 0 || !hasUsable)
        return std::numeric_limits<double>::infinity();
    const ServiceLoad load = this->loadExchange.getLoad(other, query.service);
    const double acceptedShare = std::max(load.acceptedShare, minimumAcceptedShare);
    const double acceptingUpstreams = static_cast<double>(upstreams.size()) * acceptedShare;
    const double regionLoad = static_cast<double>(load.running) / (slots * acceptedShare);
    if (needsFreeCapacity && regionLoad >= fullLoad)
        return std::numeric_limits<double>::infinity();
    const double prefillCapacity = this->getFullPrefillCapacity(query.service) * acceptingUpstreams;
    if (needsFreeCapacity && query.promptTokens > 0
        && static_cast<double>(load.requestedTokensPerSecond) > prefillCapacity * maximumRelayLoad)
        return std::numeric_limits<double>::infinity();
    // The other VMs of this region receive the same figures and relay as much as this one.
    const auto relayed = this->pendingRelayedTokens.find(other);
    const std::int64_t relayedPending = relayed == this->pendingRelayedTokens.end() ? 0 : relayed->second;
    const double pendingTokens = static_cast<double>(load.pendingPrefillTokens)
        + static_cast<double>(relayedPending) * static_cast<double>(this->getOwnRegionVms().size());
    const double cacheMissCost
        = query.cacheKey == 0 ? 0 : static_cast<double>(query.sharedTokens) / this->prefillSpeed.get(query.service);
    return relayCost + cacheMissCost + regionLoad * fullLoadCost
        + pendingTokens / acceptingUpstreams / this->prefillSpeed.get(query.service);
}

std::optional<UseRelay> Placement::findHandOver(Milliseconds now, const PlacementQuery& query)
{
    // What this VM has observed of the upstreams themselves may come from the loss of its own links.
    const std::vector<const KnownUpstream*> upstreams = this->table.getUsableUpstreams(query.service, this->region);
    const bool hasUsable = std::any_of(upstreams.begin(), upstreams.end(), [&query](const KnownUpstream* upstream) {
        return !query.version || upstream->record.version == *query.version;
    });
    const bool mayHandOver = query.mayRelay && hasUsable && isHome(query.homes, this->region)
        && !query.triedRegions.contains(this->region);
    const VmAnnouncement* chosen = mayHandOver ? this->chooseRelayVm(now, query, this->region) : nullptr;
    if (!chosen)
        return std::nullopt;
    return UseRelay { chosen->vm, chosen->region, chosen->relays, chosen->relayKey };
}

const VmAnnouncement* Placement::chooseRelayVm(Milliseconds now, const PlacementQuery& query, const RegionId& other)
{
    std::vector<const VmAnnouncement*> usable = this->vms.getServingVms(other);
    std::erase_if(usable, [&](const VmAnnouncement* status) {
        const auto avoided = this->avoidedVmsUntil.find(status->vm);
        const bool isAvoided = avoided != this->avoidedVmsUntil.end() && now < avoided->second;
        return isAvoided || status->vm == this->vm || query.triedVms.contains(status->vm);
    });
    if (usable.empty())
        return nullptr;
    return usable[std::uniform_int_distribution<std::size_t>(0, usable.size() - 1)(this->random)];
}

std::vector<VmId> Placement::getOwnRegionVms() const
{
    std::vector<VmId> found;
    for (const auto& [id, status] : this->vms.getAll()) {
        if (status.region == this->region)
            found.push_back(id);
    }
    if (std::find(found.begin(), found.end(), this->vm) == found.end())
        found.push_back(this->vm);
    return found;
}

void Placement::noteUse(Milliseconds now, const UpstreamId& upstream)
{
    const KnownUpstream* found = this->table.find(upstream);
    if (found && found->isCold(now))
        this->coldLimit.noteUse(now, upstream);
    if (found && found->requestsPerSecond)
        this->statedLimit.noteUse(upstream);
    else
        this->statedLimit.forget(upstream);
    if (!found || !found->rejectionLimit)
        this->slotShare.forget(upstream);
}

} // namespace papayashelf
