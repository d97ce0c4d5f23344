#include "scenario/world/World.h"

#include "configuration/configuration.h"
#include "foundation/hashing/StableHash.h"
#include "publication/publication.h"
#include <cassert>

namespace papayashelf {

namespace {

constexpr Milliseconds listPeriod = Milliseconds::fromSeconds(5);
constexpr Milliseconds loadPeriod = Milliseconds::fromSeconds(1);
constexpr Milliseconds unreachableStoreDelay { 1000 };
constexpr std::uint16_t peerPort = 7000;
constexpr std::size_t heldEventsLimit = 20'000;

std::shared_ptr<const Governance> build(const std::map<std::string, std::string>& documents, RevisionNumber number)
{
    Revision revision;
    revision.number = number;
    revision.documents = documents;
    Outcome<Governance> built = buildGovernance(revision);
    assert(built.has_value());
    return std::make_shared<const Governance>(std::move(built).value());
}

} // namespace

World::World(const ScenarioPlan& scenario, Sabotage broken, std::map<std::string, std::string> published)
    : plan(scenario)
    , sabotage(broken)
    , random(scenario.seed)
    , network(scenario.regionDelay, scenario.seed + 1)
    , documents(std::move(published))
    , truth(build(this->documents, 1))
    , book(std::make_unique<PromiseBook>(this->truth))
{
    Revision first;
    first.number = 1;
    first.documents = this->sabotageDocuments(this->documents);
    first.digest = digestOf(first.documents);
    this->commit(first, 0);
    this->makeUpstreams();
    this->makeVms();
}

void World::run()
{
    for (auto& [id, vm] : this->vms)
        this->startVm(vm);
    this->queue.at(warmUp, [this] {
        this->store.saveState();
        this->startLoads();
        this->startFaults();
    });
    // What is under way at the end of the load gets the time to finish.
    constexpr Milliseconds coolDown = Milliseconds::fromSeconds(180);
    this->queue.runUntil(warmUp + this->plan.duration + coolDown);
    this->book->close(this->queue.now());
}

void World::makeUpstreams()
{
    for (const auto& [serviceId, service] : this->truth->services) {
        for (const Upstream& upstream : service.upstreams)
            this->upstreams.emplace(upstream.id, VirtualUpstream(upstream, service.kind, this->queue));
    }
}

void World::makeVms()
{
    int number = 0;
    for (const auto& [region, count] : this->plan.vms) {
        const std::vector<FailureDomainId>& domains = this->truth->regions.at(region).domains;
        for (std::int64_t index = 0; index < count; ++index) {
            VirtualVm vm;
            vm.record.vm = VmId(region.string() + "-" + std::to_string(index + 1));
            vm.record.region = region;
            vm.record.domain = domains[static_cast<std::size_t>(index) % domains.size()];
            vm.record.address = "10.0.0." + std::to_string(++number);
            const VmId id = vm.record.vm;
            this->vms.emplace(id, std::move(vm));
        }
    }
    this->listVms();
}

void World::startVm(VirtualVm& vm)
{
    ++vm.life;
    vm.clockOffset = Milliseconds(static_cast<std::int64_t>(this->random() % 1'000'000));
    vm.isPaused = false;
    vm.isStopping = false;
    vm.seenEvents = 0;
    vm.wakeAt = Milliseconds::never();
    NodeSettings settings;
    settings.self.vm = vm.record.vm;
    settings.self.incarnation = static_cast<Incarnation>(this->queue.now().count()) + vm.life + 1;
    settings.self.region = vm.record.region;
    settings.self.domain = vm.record.domain;
    settings.self.peerEndpoint = Endpoint { vm.record.address, peerPort };
    settings.self.entryEndpoint = Endpoint { vm.record.address, 8080 };
    settings.seed = stableHash(vm.record.vm.string(), this->plan.seed + vm.life);
    settings.wallClockAtZero = Milliseconds(1'700'000'000'000) - vm.clockOffset;
    vm.node = std::make_unique<Node>(settings);
    const VmId id = vm.record.vm;
    const std::uint64_t life = vm.life;
    this->queue.after(Milliseconds(static_cast<std::int64_t>(this->random() % 200)), [this, id, life] {
        if (this->findLife(id, life))
            this->poll(id);
    });
    this->schedule(vm);
}

void World::endVm(VirtualVm& vm, bool byStop)
{
    auto exchanges = std::move(vm.exchanges);
    vm.exchanges.clear();
    vm.node.reset();
    vm.heldEvents.clear();
    for (auto& [request, exchange] : exchanges) {
        for (auto& [attempt, place] : exchange.attempts) {
            if (place.hasEnded)
                continue;
            if (!place.upstream.isEmpty())
                this->upstreams.at(place.upstream).stop(place.job, AttemptResult::Cancelled);
            else if (place.relayRequest != 0 && this->vms.at(place.relayVm).isRunning())
                this->deliver(this->vms.at(place.relayVm), RequestReport(CallerDisconnected { place.relayRequest }));
        }
        if (exchange.origin)
            this->endRelayed(*exchange.origin, vm,
                exchange.hasBegun ? AttemptResult::Truncated : AttemptResult::NoAnswer, exchange.delivered);
        else {
            this->book->noteLost(this->queue.now(), exchange.world, byStop);
            this->finishCaller(exchange.world);
        }
    }
}

void World::deliver(VirtualVm& vm, const NodeEvent& event)
{
    if (!vm.isRunning())
        return;
    if (vm.isPaused) {
        if (vm.heldEvents.size() < heldEventsLimit)
            vm.heldEvents.push_back(event);
        return;
    }
    const std::uint64_t life = vm.life;
    this->carryOut(vm, vm.node->handle(this->localTime(vm), event));
    if (vm.life == life && vm.isRunning()) {
        this->observe(vm);
        this->schedule(vm);
    }
}

void World::carryOut(VirtualVm& vm, NodeOutput&& output)
{
    // Tokens are reserved before anything is sent for a request, so what the time line says of it is noted first.
    for (const TimelineEvent& event : vm.node->getTimeline().getEventsAfter(vm.seenEvents)) {
        const bool isAdmission
            = event.kind == "queued" || event.kind == "started" || event.kind == "relayed" || event.kind == "claimed";
        if (!isAdmission)
            continue;
        const auto exchange = vm.exchanges.find(std::stoull(event.details.front().second));
        if (exchange != vm.exchanges.end() && !exchange->second.origin)
            this->book->noteAdmitted(this->queue.now(), exchange->second.world);
    }
    vm.seenEvents = vm.node->getTimeline().getLastSequence();
    for (const Addressed<PeerMessage>& message : output.sends)
        this->sendMessage(vm, message);
    for (const StoreCall& call : output.storeCalls)
        this->callStore(vm, call);
    for (const RequestDirective& directive : output.directives)
        std::visit([&](const auto& known) { this->obey(vm, known); }, directive);
}

void World::schedule(VirtualVm& vm)
{
    const Milliseconds due = vm.node->getNextDeadline() - vm.clockOffset;
    if (due >= vm.wakeAt)
        return;
    vm.wakeAt = std::max(due, this->queue.now() + Milliseconds(1));
    this->queue.at(vm.wakeAt, [this, id = vm.record.vm, life = vm.life] { this->wake(id, life); });
}

void World::wake(const VmId& id, std::uint64_t life)
{
    VirtualVm* vm = this->findLife(id, life);
    if (!vm || vm->isPaused || this->queue.now() < vm->wakeAt)
        return;
    vm->wakeAt = Milliseconds::never();
    this->carryOut(*vm, vm->node->tick(this->localTime(*vm)));
    if (vm->life != life || !vm->isRunning())
        return;
    this->observe(*vm);
    if (vm->node->isStopped(this->localTime(*vm)) || vm->node->isReplaced()) {
        this->endVm(*vm, vm->isStopping);
        return;
    }
    this->schedule(*vm);
}

void World::observe(VirtualVm& vm)
{
    const RevisionNumber revision = vm.node->getRevisionNumber();
    this->book->noteRevision(vm.record.vm, vm.life, revision);
    for (PublicationRecord& publication : this->publications) {
        if (revision >= publication.number && publication.waitingFor.erase(vm.record.vm) > 0)
            publication.lastAt = this->queue.now();
    }
}

void World::sendMessage(const VirtualVm& from, const Addressed<PeerMessage>& message)
{
    const auto target = this->vms.find(message.to);
    if (target == this->vms.end() || this->isSabotaged(message.message))
        return;
    const RegionId fromRegion = from.record.region;
    const RegionId toRegion = target->second.record.region;
    if (!this->network.passes(fromRegion, toRegion))
        return;
    const PeerMessageArrived arrived { from.record.vm, from.node->getTimeline().getLogicalTime(), message.message };
    this->queue.after(this->network.delay(fromRegion, toRegion),
        [this, to = message.to, arrived] { this->deliver(this->vms.at(to), arrived); });
}

bool World::isSabotaged(const PeerMessage& message) const
{
    const auto* configuration = std::get_if<ConfigurationMessage>(&message);
    if (configuration && std::holds_alternative<WithdrawalNotice>(*configuration))
        return this->sabotage == Sabotage::DropWithdrawals;
    if (configuration)
        return this->sabotage == Sabotage::DropRevisions;
    const auto* share = std::get_if<ShareMessage>(&message);
    return share && std::holds_alternative<ShareGrant>(*share) && this->sabotage == Sabotage::DropGrants;
}

void World::callStore(const VirtualVm& vm, const StoreCall& call)
{
    const VmId id = vm.record.vm;
    const std::uint64_t life = vm.life;
    const RegionId region = vm.record.region;
    const RegionId home = this->plan.storeRegion;
    const bool isWrite
        = call.request.operation == StoreOperation::CompareAndSwap || call.request.operation == StoreOperation::Remove;
    const auto answer = [this, id, life, number = call.call](const StoreReply& reply) {
        if (VirtualVm* alive = this->findLife(id, life))
            this->deliver(*alive, StoreReplyArrived { number, reply });
    };
    const bool isBroken = this->sabotage == Sabotage::DropWithdrawals && call.request.key == withdrawalsKey;
    if (this->network.isCut(region, home) || isBroken) {
        this->queue.after(unreachableStoreDelay, [answer] { answer(Error { ErrorCode::Unavailable, "cut off" }); });
        return;
    }
    this->queue.after(this->network.delay(region, home), [this, call, region, home, isWrite, answer] {
        const std::uint64_t ticket = ++this->lastTicket;
        this->storeWaiters.emplace(ticket, [this, region, home, isWrite, answer](const FakeStoreAnswer& given) {
            const bool isLost = given.isLost || this->network.isCut(region, home);
            StoreReply reply = given.reply;
            if (isLost)
                reply = Error { isWrite ? ErrorCode::OutcomeUnknown : ErrorCode::Unavailable, "answer lost" };
            const Milliseconds delay = isLost ? unreachableStoreDelay : this->network.delay(region, home);
            this->queue.after(delay, [answer, reply] { answer(reply); });
        });
        this->serveStore();
        this->store.submit(ticket, call.request);
        this->serveStore();
    });
}

void World::serveStore()
{
    for (const FakeStoreAnswer& answer : this->store.advanceTo(this->queue.now())) {
        auto waiter = this->storeWaiters.extract(answer.ticket);
        if (!waiter.empty())
            waiter.mapped()(answer);
    }
    if (const std::optional<Milliseconds> due = this->store.nextDue())
        this->queue.at(std::max(*due, this->queue.now() + Milliseconds(1)), [this] { this->serveStore(); });
}

void World::poll(const VmId& id)
{
    VirtualVm& vm = this->vms.at(id);
    const std::uint64_t life = vm.life;
    if (!vm.isPaused) {
        this->deliver(vm, VmListArrived { this->shownList });
        if (!this->findLife(id, life))
            return;
        for (const Upstream& upstream : vm.node->takeSnapshot(this->localTime(vm)).watchedUpstreams)
            this->deliver(vm, RequestReport(this->upstreams.at(upstream.id).report()));
    }
    const Milliseconds period = vm.node && vm.node->getGovernance() ? loadPeriod : listPeriod;
    this->queue.after(std::min(period, listPeriod), [this, id, life] {
        if (this->findLife(id, life))
            this->poll(id);
    });
}

std::vector<TimelineEvent> World::getTimeline() const
{
    std::vector<std::vector<TimelineEvent>> timelines;
    for (const auto& [id, vm] : this->vms) {
        if (vm.isRunning())
            timelines.push_back(vm.node->getTimeline().getEventsAfter(0));
    }
    return mergeTimelines(timelines);
}

VirtualVm* World::findLife(const VmId& id, std::uint64_t life)
{
    VirtualVm& vm = this->vms.at(id);
    return vm.isRunning() && vm.life == life ? &vm : nullptr;
}

} // namespace papayashelf
