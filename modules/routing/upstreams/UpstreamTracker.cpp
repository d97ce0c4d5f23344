#include "routing/upstreams/UpstreamTracker.h"

#include "foundation/hashing/StableHash.h"
#include <cassert>
#include <cmath>

namespace papayashelf {

namespace {

constexpr double coldSlotFraction = 0.25;
constexpr double warmCacheUseThreshold = 0.25;
constexpr double loadPenaltyPerFailure = 0.5;
constexpr int maximumCountedFailures = 8;

} // namespace

UpstreamTracker::UpstreamTracker(const RoutingSettings& settings, RegionId self, VmId vm)
    : settings(settings)
    , self(std::move(self))
    , vm(std::move(vm))
{
}

void UpstreamTracker::setGovernance(const Governance& governance)
{
    std::map<UpstreamId, UpstreamState> kept;
    this->services.clear();
    for (const auto& [id, service] : governance.services) {
        std::vector<UpstreamId> members;
        for (const Upstream& upstream : service.upstreams) {
            if (upstream.region != this->self)
                continue;
            auto previous = this->states.find(upstream.id);
            UpstreamState state = previous == this->states.end() ? UpstreamState() : std::move(previous->second);
            state.upstream = upstream;
            state.service = id;
            state.kind = service.kind;
            state.isWatched = false;
            kept[upstream.id] = std::move(state);
            members.push_back(upstream.id);
        }
        if (!members.empty())
            this->services[id] = std::move(members);
    }
    this->states = std::move(kept);
    for (auto& [id, members] : this->services)
        this->chooseSubset(members);
}

void UpstreamTracker::chooseSubset(std::vector<UpstreamId>& members)
{
    std::vector<std::uint64_t> hashes;
    for (const UpstreamId& member : members)
        hashes.push_back(stableHash(member.string()));
    const std::uint64_t key = stableHash(this->vm.string());
    for (const std::size_t index : rendezvousOrder(key, hashes, this->settings.subsetSize))
        this->states.at(members[index]).isWatched = true;
}

void UpstreamTracker::setVmList(const VmList& list)
{
    std::set<std::string> listedNow;
    this->leavingAddresses.clear();
    for (const VmRecord& record : list) {
        listedNow.insert(record.address);
        if (record.isLeaving)
            this->leavingAddresses.insert(record.address);
    }
    for (const std::string& address : this->listedAddresses) {
        if (!listedNow.contains(address))
            this->removedAddresses.insert(address);
    }
    for (const std::string& address : listedNow)
        this->removedAddresses.erase(address);
    this->listedAddresses = std::move(listedNow);
}

bool UpstreamTracker::handleLoad(
    Milliseconds now, const UpstreamId& upstream, std::int64_t running, std::int64_t waiting, double cacheUse)
{
    UpstreamState* const state = this->find(upstream);
    if (!state)
        return false;
    const bool hasRecovered
        = state->load.hasBeenReported() && now - state->load.getReportedAt() > this->settings.summaryLifetime;
    if (hasRecovered && state->kind == ServiceKind::ModelEngine && cacheUse < warmCacheUseThreshold)
        state->warmUpEndsAt = now + this->settings.warmUp;
    state->load.noteReport(now, running, waiting);
    state->cacheUse = cacheUse;
    return true;
}

void UpstreamTracker::markLeaving(const UpstreamId& upstream)
{
    if (UpstreamState* const state = this->find(upstream))
        state->hasReportedLeaving = true;
}

std::vector<LocalCandidate> UpstreamTracker::findCandidates(
    Milliseconds now, const PermittedRegions& permitted, const ServiceId& service)
{
    std::vector<LocalCandidate> candidates;
    const auto members = this->services.find(service);
    if (!permitted.contains(this->self) || members == this->services.end())
        return candidates;
    for (const UpstreamId& member : members->second) {
        UpstreamState& state = this->states.at(member);
        if (!state.isWatched || !this->acceptsNewWork(state) || state.breaker.isOpen(now))
            continue;
        const double slots = this->estimateUsableSlots(now, state);
        const auto total = static_cast<double>(state.load.total(now, this->settings.loadReportLifetime));
        const double limit = std::max(1.0, std::floor(slots * this->settings.concurrencyFactor));
        const double penalty
            = loadPenaltyPerFailure * std::min(maximumCountedFailures, state.breaker.getRecentFailures(now));
        candidates.push_back({ &state, total / slots + penalty, total < limit && now >= state.busyUntil });
    }
    return candidates;
}

void UpstreamTracker::noteStarted(Milliseconds now, const UpstreamId& upstream)
{
    if (UpstreamState* const state = this->find(upstream)) {
        state->load.noteStarted();
        state->breaker.noteStarted(now);
    }
}

void UpstreamTracker::noteAnswered(Milliseconds now, const UpstreamId& upstream)
{
    UpstreamState* const state = this->find(upstream);
    if (!state)
        return;
    state->load.noteEnded();
    if (state->breaker.noteAnswered() && state->kind == ServiceKind::ModelEngine)
        state->warmUpEndsAt = now + this->settings.warmUp;
}

void UpstreamTracker::noteBusy(Milliseconds now, const UpstreamId& upstream)
{
    UpstreamState* const state = this->find(upstream);
    if (!state)
        return;
    state->load.noteEnded();
    state->breaker.noteInconclusive();
    state->busyUntil = now + this->settings.busyBackoff;
}

void UpstreamTracker::noteFailed(Milliseconds now, const UpstreamId& upstream, std::mt19937_64& generator)
{
    UpstreamState* const state = this->find(upstream);
    if (!state)
        return;
    state->load.noteEnded();
    state->breaker.noteFailed(now, this->settings, this->mayEjectAnother(state->service), generator);
}

void UpstreamTracker::noteSilent(Milliseconds now, const UpstreamId& upstream, std::mt19937_64& generator)
{
    if (UpstreamState* const state = this->find(upstream))
        state->breaker.noteFailed(now, this->settings, this->mayEjectAnother(state->service), generator);
}

void UpstreamTracker::noteCancelled(const UpstreamId& upstream)
{
    if (UpstreamState* const state = this->find(upstream)) {
        state->load.noteEnded();
        state->breaker.noteInconclusive();
    }
}

bool UpstreamTracker::hasUsable(Milliseconds now, const ServiceId& service) const
{
    const auto members = this->services.find(service);
    if (members == this->services.end())
        return false;
    return std::any_of(members->second.begin(), members->second.end(), [&](const UpstreamId& member) {
        const UpstreamState& state = this->states.at(member);
        return state.isWatched && this->acceptsNewWork(state) && !state.breaker.isOpen(now);
    });
}

std::vector<ServiceId> UpstreamTracker::listServices() const
{
    std::vector<ServiceId> listed;
    for (const auto& [id, members] : this->services)
        listed.push_back(id);
    return listed;
}

ServiceLoad UpstreamTracker::sumLoad(Milliseconds now, const ServiceId& service) const
{
    const auto members = this->services.find(service);
    if (members == this->services.end())
        return {};
    double watchedCount = 0;
    double totalCount = 0;
    ServiceLoad sum;
    for (const UpstreamId& member : members->second) {
        const UpstreamState& state = this->states.at(member);
        totalCount += 1;
        if (!state.isWatched)
            continue;
        watchedCount += 1;
        const auto waiting
            = state.load.isFresh(now, this->settings.loadReportLifetime) ? state.load.getReportedWaiting() : 0;
        const std::int64_t total = state.load.total(now, this->settings.loadReportLifetime);
        sum.waiting += waiting;
        sum.running += std::max<std::int64_t>(0, total - waiting);
        if (this->acceptsNewWork(state) && !state.breaker.isEjected())
            sum.slots += static_cast<std::int64_t>(this->estimateUsableSlots(now, state));
    }
    if (watchedCount == 0)
        return {};
    const auto scale = [&](std::int64_t value) {
        return static_cast<std::int64_t>(std::llround(static_cast<double>(value) * totalCount / watchedCount));
    };
    return { scale(sum.slots), scale(sum.running), scale(sum.waiting) };
}

std::vector<Upstream> UpstreamTracker::listWatched() const
{
    std::vector<Upstream> watched;
    for (const auto& [id, state] : this->states) {
        if (state.isWatched)
            watched.push_back(state.upstream);
    }
    return watched;
}

std::vector<UpstreamId> UpstreamTracker::listEjected(Milliseconds now) const
{
    std::vector<UpstreamId> ejected;
    for (const auto& [id, state] : this->states) {
        if (state.breaker.isOpen(now))
            ejected.push_back(id);
    }
    return ejected;
}

bool UpstreamTracker::acceptsNewWork(const UpstreamState& state) const
{
    const std::string& address = state.upstream.endpoint.address;
    return !state.hasReportedLeaving && !this->leavingAddresses.contains(address)
        && !this->removedAddresses.contains(address);
}

double UpstreamTracker::estimateUsableSlots(Milliseconds now, const UpstreamState& state) const
{
    const double slots = std::max(1, state.upstream.slots);
    if (now >= state.warmUpEndsAt)
        return slots;
    const double warmFractionByCacheUse = std::min(1.0, state.cacheUse / warmCacheUseThreshold);
    const double remainingFraction = (state.warmUpEndsAt - now).seconds() / this->settings.warmUp.seconds();
    const double warmFraction = std::max(warmFractionByCacheUse, 1.0 - remainingFraction);
    return std::max(1.0, slots * (coldSlotFraction + (1.0 - coldSlotFraction) * warmFraction));
}

bool UpstreamTracker::mayEjectAnother(const ServiceId& service) const
{
    constexpr std::size_t upstreamsPerEjection = 3;
    const auto& members = this->services.at(service);
    std::size_t watched = 0;
    std::size_t ejected = 0;
    for (const UpstreamId& member : members) {
        const UpstreamState& state = this->states.at(member);
        watched += state.isWatched ? 1 : 0;
        ejected += state.isWatched && state.breaker.isEjected() ? 1 : 0;
    }
    return (ejected + 1) * upstreamsPerEjection <= watched;
}

UpstreamState* UpstreamTracker::find(const UpstreamId& upstream)
{
    const auto found = this->states.find(upstream);
    return found == this->states.end() ? nullptr : &found->second;
}

} // namespace papayashelf
