#include "scenario/world/World.h"

#include "foundation/hashing/StableHash.h"
#include <algorithm>
#include <cassert>

namespace papayashelf {

namespace {

constexpr Milliseconds entriesValidity = Milliseconds::fromSeconds(5);
constexpr Milliseconds repeatDelay { 200 };
constexpr int mostTries = 4;

} // namespace

void World::startLoads()
{
    for (const LoadPlan& load : this->plan.loads)
        this->queue.after(load.from, [this, &load] { this->arrive(load); });
}

void World::arrive(const LoadPlan& load)
{
    const Milliseconds end = warmUp + load.until;
    if (this->queue.now() >= end)
        return;
    std::uniform_int_distribution<std::int64_t> spread(
        load.answerTokens / 2, load.answerTokens + load.answerTokens / 2);
    this->send(Operation { &load, ++this->lastOperation, spread(this->random), 0 });
    const double gapSeconds = std::exponential_distribution<double>(load.requestsPerSecond)(this->random);
    const auto gap = std::max<std::int64_t>(1, static_cast<std::int64_t>(gapSeconds * 1000));
    this->queue.after(Milliseconds(gap), [this, &load] { this->arrive(load); });
}

void World::send(const Operation& operation)
{
    const LoadPlan& load = *operation.load;
    const std::vector<VmId> entries = this->askForEntries(load);
    const Route* route = findRoute(*this->truth, load.path);
    assert(route);
    const Service& service = this->truth->services.at(route->service);
    const bool isModel = service.kind == ServiceKind::ModelEngine;
    WorldRequest request;
    request.id = ++this->lastRequest;
    request.operation = operation.number;
    request.workspace = route->isOpenToAll ? WorkspaceId() : load.workspace;
    request.key = this->keyOf(load.workspace);
    request.callerRegion = load.region;
    request.path = load.path;
    request.method = load.method;
    const auto& methods = route->idempotentMethods;
    request.isIdempotent = isModel || std::find(methods.begin(), methods.end(), load.method) != methods.end();
    request.isKeyed = load.isKeyed;
    request.promptTokens = isModel ? load.promptTokens : route->tokensPerRequest;
    request.answerTokens = isModel ? operation.answerTokens : 0;
    request.arrivedAt = this->queue.now();
    const auto running
        = std::find_if(entries.begin(), entries.end(), [this](const VmId& vm) { return this->vms.at(vm).isRunning(); });
    const VmId entry = running == entries.end() ? VmId() : *running;
    this->book->noteArrival(request, entry);
    this->operations[request.id] = operation;
    if (entry.isEmpty()) {
        this->book->noteLost(this->queue.now(), request.id, false);
        return this->finishCaller(request.id);
    }
    VirtualVm& vm = this->vms.at(entry);
    VirtualExchange exchange;
    exchange.world = request.id;
    exchange.arrival = this->describe(request);
    const RequestArrival arrival = exchange.arrival;
    vm.exchanges.emplace(request.id, std::move(exchange));
    this->deliver(vm, RequestReport(arrival));
}

RequestArrival World::describe(const WorldRequest& request) const
{
    RequestArrival arrival;
    arrival.request = request.id;
    arrival.key = request.key;
    arrival.method = request.method;
    arrival.path = request.path;
    const Service& service = this->truth->services.at(findRoute(*this->truth, request.path)->service);
    if (service.kind == ServiceKind::ModelEngine) {
        arrival.model = service.models.front();
        arrival.promptTokens = request.promptTokens;
        arrival.maximumTokens = this->operations.at(request.id).load->answerTokens * 3 / 2;
        arrival.isStreamed = true;
    }
    if (request.isKeyed)
        arrival.idempotencyKey = "operation-" + std::to_string(request.operation);
    return arrival;
}

std::vector<VmId> World::askForEntries(const LoadPlan& load)
{
    auto& [validUntil, entries] = this->entryCache[{ load.region, load.workspace }];
    const bool isFirstRunning = !entries.empty() && this->vms.at(entries.front()).isRunning();
    if (this->queue.now() < validUntil && isFirstRunning)
        return entries;
    // Callers know a few VMs by their addresses and ask the first that answers, nearest region first.
    std::vector<const VirtualVm*> known;
    for (const auto& [id, vm] : this->vms) {
        if (vm.isRunning() && !vm.isPaused && vm.node->getGovernance())
            known.push_back(&vm);
    }
    if (known.empty())
        return entries;
    std::stable_partition(
        known.begin(), known.end(), [&](const VirtualVm* vm) { return vm->record.region == load.region; });
    const VirtualVm& asked = *known.front();
    EntryListQuery question;
    question.nearestRegion = load.region;
    question.workspace = load.workspace;
    question.callerHash = stableHash(load.workspace.string(), this->lastOperation);
    entries.clear();
    const NodeSnapshot snapshot = this->vms.at(asked.record.vm).node->takeSnapshot(this->localTime(asked));
    for (const Entry& entry : listEntries(snapshot, question))
        entries.push_back(entry.vm);
    validUntil = this->queue.now() + entriesValidity;
    return entries;
}

void World::finishCaller(std::uint64_t world)
{
    auto found = this->operations.extract(world);
    if (found.empty())
        return;
    const WorldRecord& record = this->book->getRecord(world);
    const bool saysElsewhere = record.code == RefusalCode::Leaving || record.code == RefusalCode::NotReady;
    const bool mayRepeat = record.request.isIdempotent || record.request.isKeyed;
    const bool isWorthRepeating = record.outcome == WorldOutcome::Refused
        ? record.ran == Ran::No && (saysElsewhere || record.code == RefusalCode::ClaimUnavailable)
        : record.outcome == WorldOutcome::Lost && mayRepeat;
    Operation again = found.mapped();
    if (isWorthRepeating && ++again.tries < mostTries)
        this->retry(again);
}

void World::retry(const Operation& operation)
{
    this->entryCache.erase({ operation.load->region, operation.load->workspace });
    this->queue.after(repeatDelay, [this, operation] { this->send(operation); });
}

const KeyDigest& World::keyOf(const WorkspaceId& workspace) const
{
    for (const auto& [digest, key] : this->truth->keys) {
        if (key.workspace == workspace)
            return digest;
    }
    static const KeyDigest none;
    return none;
}

} // namespace papayashelf
