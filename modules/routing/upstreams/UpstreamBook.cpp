#include "routing/upstreams/UpstreamBook.h"

#include "foundation/hashing/StableHash.h"
#include <cassert>
#include <cmath>

namespace papayashelf {

namespace {

constexpr double coldShareOfSlots = 0.25;
constexpr double warmCacheUse = 0.25;
constexpr double loadPerFailure = 0.5;
constexpr int mostCountedFailures = 8;

} // namespace

UpstreamBook::UpstreamBook(const RoutingSettings& settings, RegionId self, VmId vm)
    : settings(settings)
    , self(std::move(self))
    , vm(std::move(vm))
{
}

void UpstreamBook::setGovernance(const Governance& governance)
{
    std::map<UpstreamId, UpstreamState> kept;
    this->services.clear();
    for (const auto& [id, service] : governance.services) {
        std::vector<UpstreamId> members;
        for (const Upstream& upstream : service.upstreams) {
            if (upstream.region != this->self)
                continue;
            auto old = this->states.find(upstream.id);
            UpstreamState state = old == this->states.end() ? UpstreamState() : std::move(old->second);
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

void UpstreamBook::chooseSubset(std::vector<UpstreamId>& members)
{
    std::vector<std::uint64_t> hashes;
    for (const UpstreamId& member : members)
        hashes.push_back(stableHash(member.string()));
    const std::uint64_t key = stableHash(this->vm.string());
    for (const std::size_t index : rendezvousOrder(key, hashes, this->settings.subsetSize))
        this->states.at(members[index]).isWatched = true;
}

void UpstreamBook::setVmList(const VmList& list)
{
    std::set<std::string> present;
    this->leavingAddresses.clear();
    for (const VmRecord& record : list) {
        present.insert(record.address);
        if (record.isLeaving)
            this->leavingAddresses.insert(record.address);
    }
    for (const std::string& address : this->listedAddresses) {
        if (!present.contains(address))
            this->goneAddresses.insert(address);
    }
    for (const std::string& address : present)
        this->goneAddresses.erase(address);
    this->listedAddresses = std::move(present);
}

bool UpstreamBook::handleLoad(
    Milliseconds now, const UpstreamId& upstream, std::int64_t running, std::int64_t waiting, double cacheUse)
{
    UpstreamState* const state = this->find(upstream);
    if (!state)
        return false;
    const bool cameBack
        = state->load.wasReported() && now - state->load.getReportedAt() > this->settings.summaryLifetime;
    if (cameBack && state->kind == ServiceKind::ModelEngine && cacheUse < warmCacheUse)
        state->coldUntil = now + this->settings.warmUp;
    state->load.noteReport(now, running, waiting);
    state->cacheUse = cacheUse;
    return true;
}

void UpstreamBook::markLeaving(const UpstreamId& upstream)
{
    if (UpstreamState* const state = this->find(upstream))
        state->saidLeaving = true;
}

std::vector<LocalCandidate> UpstreamBook::findCandidates(
    Milliseconds now, const PermittedRegions& permitted, const ServiceId& service)
{
    std::vector<LocalCandidate> candidates;
    const auto members = this->services.find(service);
    if (!permitted.contains(this->self) || members == this->services.end())
        return candidates;
    for (const UpstreamId& member : members->second) {
        UpstreamState& state = this->states.at(member);
        if (!state.isWatched || !this->takesWork(state) || state.breaker.isOpen(now))
            continue;
        const double slots = this->usableSlots(now, state);
        const auto total = static_cast<double>(state.load.total(now, this->settings.loadReportLifetime));
        const double limit = std::max(1.0, std::floor(slots * this->settings.concurrencyFactor));
        const double penalty = loadPerFailure * std::min(mostCountedFailures, state.breaker.getRecentFailures(now));
        candidates.push_back({ &state, total / slots + penalty, total < limit && now >= state.busyUntil });
    }
    return candidates;
}

void UpstreamBook::noteStarted(Milliseconds now, const UpstreamId& upstream)
{
    if (UpstreamState* const state = this->find(upstream)) {
        state->load.noteStarted();
        state->breaker.noteStarted(now);
    }
}

void UpstreamBook::noteAnswered(Milliseconds now, const UpstreamId& upstream)
{
    UpstreamState* const state = this->find(upstream);
    if (!state)
        return;
    state->load.noteEnded();
    if (state->breaker.noteAnswered() && state->kind == ServiceKind::ModelEngine)
        state->coldUntil = now + this->settings.warmUp;
}

void UpstreamBook::noteBusy(Milliseconds now, const UpstreamId& upstream)
{
    UpstreamState* const state = this->find(upstream);
    if (!state)
        return;
    state->load.noteEnded();
    state->breaker.noteInconclusive();
    state->busyUntil = now + this->settings.busyPause;
}

void UpstreamBook::noteFailed(Milliseconds now, const UpstreamId& upstream, std::mt19937_64& generator)
{
    UpstreamState* const state = this->find(upstream);
    if (!state)
        return;
    state->load.noteEnded();
    state->breaker.noteFailed(now, this->settings, this->mayEjectOneMore(state->service), generator);
}

void UpstreamBook::noteCancelled(const UpstreamId& upstream)
{
    if (UpstreamState* const state = this->find(upstream)) {
        state->load.noteEnded();
        state->breaker.noteInconclusive();
    }
}

bool UpstreamBook::hasUsable(Milliseconds now, const ServiceId& service) const
{
    const auto members = this->services.find(service);
    if (members == this->services.end())
        return false;
    return std::any_of(members->second.begin(), members->second.end(), [&](const UpstreamId& member) {
        const UpstreamState& state = this->states.at(member);
        return state.isWatched && this->takesWork(state) && !state.breaker.isOpen(now);
    });
}

std::vector<ServiceId> UpstreamBook::listServices() const
{
    std::vector<ServiceId> listed;
    for (const auto& [id, members] : this->services)
        listed.push_back(id);
    return listed;
}

ServiceLoad UpstreamBook::sumLoad(Milliseconds now, const ServiceId& service) const
{
    const auto members = this->services.find(service);
    if (members == this->services.end())
        return {};
    double watched = 0;
    double all = 0;
    ServiceLoad sum;
    for (const UpstreamId& member : members->second) {
        const UpstreamState& state = this->states.at(member);
        all += 1;
        if (!state.isWatched)
            continue;
        watched += 1;
        const auto waiting
            = state.load.isFresh(now, this->settings.loadReportLifetime) ? state.load.getReportedWaiting() : 0;
        const std::int64_t total = state.load.total(now, this->settings.loadReportLifetime);
        sum.waiting += waiting;
        sum.running += std::max<std::int64_t>(0, total - waiting);
        if (this->takesWork(state) && !state.breaker.isEjected())
            sum.slots += static_cast<std::int64_t>(this->usableSlots(now, state));
    }
    if (watched == 0)
        return {};
    const auto scale = [&](std::int64_t value) {
        return static_cast<std::int64_t>(std::llround(static_cast<double>(value) * all / watched));
    };
    return { scale(sum.slots), scale(sum.running), scale(sum.waiting) };
}

std::vector<Upstream> UpstreamBook::listWatched() const
{
    std::vector<Upstream> watched;
    for (const auto& [id, state] : this->states) {
        if (state.isWatched)
            watched.push_back(state.upstream);
    }
    return watched;
}

std::vector<UpstreamId> UpstreamBook::listEjected(Milliseconds now) const
{
    std::vector<UpstreamId> ejected;
    for (const auto& [id, state] : this->states) {
        if (state.breaker.isOpen(now))
            ejected.push_back(id);
    }
    return ejected;
}

bool UpstreamBook::takesWork(const UpstreamState& state) const
{
    const std::string& address = state.upstream.endpoint.address;
    return !state.saidLeaving && !this->leavingAddresses.contains(address) && !this->goneAddresses.contains(address);
}

double UpstreamBook::usableSlots(Milliseconds now, const UpstreamState& state) const
{
    const double slots = std::max(1, state.upstream.slots);
    if (now >= state.coldUntil)
        return slots;
    const double byCache = std::min(1.0, state.cacheUse / warmCacheUse);
    const double left = (state.coldUntil - now).seconds() / this->settings.warmUp.seconds();
    const double warmth = std::max(byCache, 1.0 - left);
    return std::max(1.0, slots * (coldShareOfSlots + (1.0 - coldShareOfSlots) * warmth));
}

bool UpstreamBook::mayEjectOneMore(const ServiceId& service) const
{
    constexpr std::size_t ejectedOneIn = 3;
    const auto& members = this->services.at(service);
    std::size_t used = 0;
    std::size_t ejected = 0;
    for (const UpstreamId& member : members) {
        const UpstreamState& state = this->states.at(member);
        used += state.isWatched ? 1 : 0;
        ejected += state.isWatched && state.breaker.isEjected() ? 1 : 0;
    }
    return (ejected + 1) * ejectedOneIn <= used;
}

UpstreamState* UpstreamBook::find(const UpstreamId& upstream)
{
    const auto found = this->states.find(upstream);
    return found == this->states.end() ? nullptr : &found->second;
}

} // namespace papayashelf
