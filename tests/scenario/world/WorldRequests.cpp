#include "scenario/world/World.h"

namespace papayashelf {

void World::obey(VirtualVm& vm, const StartAttempt& directive)
{
    VirtualExchange& exchange = vm.exchanges.at(directive.request);
    VirtualUpstream& upstream = this->upstreams.at(directive.upstream);
    const auto leaves = this->leaving.find(directive.upstream);
    if (leaves != this->leaving.end() && this->queue.now() >= leaves->second.listedAt)
        leaves->second.lastStart = this->queue.now();
    const WorldRequest& request = this->book->getRecord(exchange.world).request;
    const VmId id = vm.record.vm;
    const std::uint64_t life = vm.life;
    UpstreamJob job;
    job.world = exchange.world;
    job.promptTokens = request.promptTokens;
    job.answerTokens = request.answerTokens;
    job.resumeFrom = directive.resumeFromToken;
    job.onExecution
        = [this, world = exchange.world, region = upstream.getUpstream().region, workspace = directive.workspace] {
              this->book->noteExecution(this->queue.now(), world, region, workspace);
          };
    job.onBegan = [this, id, life, request = directive.request, attempt = directive.attempt] {
        this->noteBegan(id, life, request, attempt);
    };
    job.onEnded = [this, id, life, world = exchange.world, number = directive.request, attempt = directive.attempt](
                      AttemptResult result, std::int64_t delivered, std::int64_t processed) {
        this->book->noteProcessed(this->queue.now(), world, processed);
        AttemptEnded ended { number, attempt, result, result == AttemptResult::Completed ? 200 : 0, delivered, 0 };
        this->noteEnded(id, life, number, ended);
    };
    AttemptPlace& place = exchange.attempts[directive.attempt];
    place.upstream = directive.upstream;
    place.job = upstream.start(std::move(job));
    this->queue.after(
        directive.firstByteLimit, [this, id, life, directive] { this->watchSilence(id, life, directive); });
}

void World::watchSilence(const VmId& id, std::uint64_t life, const StartAttempt& directive)
{
    VirtualVm* vm = this->findLife(id, life);
    if (!vm)
        return;
    const auto exchange = vm->exchanges.find(directive.request);
    if (exchange == vm->exchanges.end())
        return;
    const AttemptPlace& place = exchange->second.attempts.at(directive.attempt);
    if (place.hasEnded)
        return;
    VirtualUpstream& upstream = this->upstreams.at(place.upstream);
    const bool isSilent = upstream.isSilenced() || !exchange->second.hasBegun;
    if (isSilent)
        upstream.stop(place.job, AttemptResult::TimedOut);
    else
        this->queue.after(
            directive.betweenBytesLimit, [this, id, life, directive] { this->watchSilence(id, life, directive); });
}

void World::obey(VirtualVm& vm, const StartRelay& directive)
{
    VirtualExchange& exchange = vm.exchanges.at(directive.request);
    exchange.attempts[directive.attempt].relayVm = directive.vm;
    const VirtualVm& target = this->vms.at(directive.vm);
    this->book->noteRelay(exchange.world, target.record.region, exchange.origin.has_value());
    const RelayOrigin origin { vm.record.vm, vm.life, directive.request, directive.attempt };
    AttemptEnded failed { directive.request, directive.attempt, AttemptResult::TimedOut, 0, directive.resumeFromToken,
        0 };
    const Milliseconds delay = this->network.delay(vm.record.region, target.record.region);
    if (this->network.isCut(vm.record.region, target.record.region)) {
        this->queue.after(directive.firstByteLimit,
            [this, origin, failed] { this->noteEnded(origin.vm, origin.life, origin.request, failed); });
        return;
    }
    if (!target.isRunning()) {
        failed.result = AttemptResult::NotSent;
        this->queue.after(
            delay + delay, [this, origin, failed] { this->noteEnded(origin.vm, origin.life, origin.request, failed); });
        return;
    }
    RequestArrival arrival = exchange.arrival;
    arrival.key = KeyDigest();
    arrival.idempotencyKey.clear();
    arrival.passedVms = { vm.record.vm };
    arrival.relayedFor = directive.workspace;
    arrival.resumeFromToken = directive.resumeFromToken;
    this->queue.after(delay, [this, directive, world = exchange.world, arrival, origin] {
        this->arriveRelayed(directive, world, arrival, origin);
    });
}

void World::arriveRelayed(
    const StartRelay& directive, std::uint64_t world, const RequestArrival& arrival, const RelayOrigin& origin)
{
    VirtualVm& vm = this->vms.at(directive.vm);
    VirtualVm* from = this->findLife(origin.vm, origin.life);
    if (!from || from->exchanges.count(origin.request) == 0)
        return;
    AttemptPlace& place = from->exchanges.at(origin.request).attempts.at(origin.attempt);
    if (place.hasEnded)
        return;
    if (!vm.isRunning())
        return this->endRelayed(origin, vm, AttemptResult::NoAnswer, arrival.resumeFromToken);
    const RequestId request = ++this->lastRequest;
    place.relayRequest = request;
    VirtualExchange exchange;
    exchange.world = world;
    exchange.arrival = arrival;
    exchange.arrival.request = request;
    exchange.origin = origin;
    exchange.delivered = arrival.resumeFromToken;
    const RequestArrival given = exchange.arrival;
    vm.exchanges.emplace(request, std::move(exchange));
    this->deliver(vm, RequestReport(given));
}

void World::obey(VirtualVm& vm, const CancelAttempt& directive)
{
    const auto exchange = vm.exchanges.find(directive.request);
    if (exchange == vm.exchanges.end())
        return;
    const auto place = exchange->second.attempts.find(directive.attempt);
    if (place == exchange->second.attempts.end() || place->second.hasEnded)
        return;
    if (!place->second.upstream.isEmpty()) {
        this->upstreams.at(place->second.upstream).stop(place->second.job, AttemptResult::Cancelled);
        return;
    }
    VirtualVm& target = this->vms.at(place->second.relayVm);
    const RequestId relayed = place->second.relayRequest;
    if (relayed != 0 && target.exchanges.count(relayed) > 0)
        this->queue.after(
            this->network.delay(vm.record.region, target.record.region), [this, id = target.record.vm, relayed] {
                this->deliver(this->vms.at(id), RequestReport(CallerDisconnected { relayed }));
            });
    AttemptEnded ended { directive.request, directive.attempt, AttemptResult::Cancelled, 0, exchange->second.delivered,
        0 };
    this->queue.after(Milliseconds(1),
        [this, id = vm.record.vm, life = vm.life, ended] { this->noteEnded(id, life, ended.request, ended); });
}

void World::obey(VirtualVm& vm, const RefuseRequest& directive)
{
    auto ended = vm.exchanges.extract(directive.request);
    if (ended.empty())
        return;
    const VirtualExchange& exchange = ended.mapped();
    if (exchange.origin) {
        AttemptResult result = directive.ran == Ran::No ? AttemptResult::RejectedBusy : AttemptResult::NoAnswer;
        if (exchange.hasBegun)
            result = AttemptResult::Truncated;
        return this->endRelayed(*exchange.origin, vm, result, exchange.delivered);
    }
    this->book->noteRefused(this->queue.now(), exchange.world, directive.code, directive.ran);
    this->finishCaller(exchange.world);
}

void World::obey(VirtualVm& vm, const FinishRequest& directive)
{
    auto ended = vm.exchanges.extract(directive.request);
    if (ended.empty())
        return;
    const VirtualExchange& exchange = ended.mapped();
    if (exchange.origin)
        return this->endRelayed(*exchange.origin, vm, AttemptResult::Completed, exchange.delivered);
    this->book->noteFinished(this->queue.now(), exchange.world, exchange.delivered);
    this->finishCaller(exchange.world);
}

void World::obey(VirtualVm& vm, const StoredAnswer& directive)
{
    auto ended = vm.exchanges.extract(directive.request);
    if (ended.empty())
        return;
    this->book->noteStoredAnswer(this->queue.now(), ended.mapped().world);
    this->finishCaller(ended.mapped().world);
}

void World::noteBegan(const VmId& id, std::uint64_t life, RequestId request, std::uint32_t attempt)
{
    VirtualVm* vm = this->findLife(id, life);
    if (!vm || vm->exchanges.count(request) == 0)
        return;
    VirtualExchange& exchange = vm->exchanges.at(request);
    if (exchange.attempts.at(attempt).hasEnded)
        return;
    const bool isFirst = !exchange.hasBegun;
    exchange.hasBegun = true;
    if (exchange.origin && isFirst) {
        const RelayOrigin origin = *exchange.origin;
        const RegionId there = this->vms.at(origin.vm).record.region;
        if (!this->network.isCut(vm->record.region, there))
            this->queue.after(this->network.delay(vm->record.region, there),
                [this, origin] { this->noteBegan(origin.vm, origin.life, origin.request, origin.attempt); });
    }
    this->deliver(*vm, RequestReport(AttemptBegan { request, attempt, 200 }));
}

void World::noteEnded(const VmId& id, std::uint64_t life, RequestId request, const AttemptEnded& ended)
{
    VirtualVm* vm = this->findLife(id, life);
    if (!vm || vm->exchanges.count(request) == 0)
        return;
    VirtualExchange& exchange = vm->exchanges.at(request);
    AttemptPlace& place = exchange.attempts.at(ended.attempt);
    if (place.hasEnded)
        return;
    place.hasEnded = true;
    exchange.delivered = std::max(exchange.delivered, ended.answerTokens);
    this->deliver(*vm, RequestReport(ended));
}

void World::endRelayed(const RelayOrigin& origin, const VirtualVm& from, AttemptResult result, std::int64_t delivered)
{
    const RegionId there = this->vms.at(origin.vm).record.region;
    if (this->network.isCut(from.record.region, there))
        return;
    const AttemptEnded ended { origin.request, origin.attempt, result, result == AttemptResult::Completed ? 200 : 0,
        delivered, 0 };
    this->queue.after(this->network.delay(from.record.region, there),
        [this, origin, ended] { this->noteEnded(origin.vm, origin.life, origin.request, ended); });
}

std::int64_t World::deliveredNow(const VirtualExchange& exchange) const
{
    std::int64_t delivered = exchange.delivered;
    for (const auto& [attempt, place] : exchange.attempts) {
        if (!place.hasEnded && !place.upstream.isEmpty())
            delivered = std::max(delivered, this->upstreams.at(place.upstream).getDelivered(place.job));
    }
    return delivered;
}

void World::cutRelays(const RegionId& left, const RegionId& right)
{
    // Both sides notice a link that has gone silent by unanswered pings.
    constexpr Milliseconds noticedAfter = Milliseconds::fromSeconds(14);
    for (auto& [id, vm] : this->vms) {
        for (auto& [request, exchange] : vm.exchanges) {
            if (!exchange.origin)
                continue;
            const RegionId there = this->vms.at(exchange.origin->vm).record.region;
            if (std::minmax(vm.record.region, there) != std::minmax(left, right))
                continue;
            const AttemptEnded ended { exchange.origin->request, exchange.origin->attempt, AttemptResult::TimedOut, 0,
                this->deliveredNow(exchange), 0 };
            const RelayOrigin origin = *exchange.origin;
            this->queue.after(Milliseconds::fromSeconds(5),
                [this, origin, ended] { this->noteEnded(origin.vm, origin.life, origin.request, ended); });
            this->queue.after(noticedAfter, [this, vmId = id, number = request] {
                this->deliver(this->vms.at(vmId), RequestReport(CallerDisconnected { number }));
            });
        }
    }
}

} // namespace papayashelf
