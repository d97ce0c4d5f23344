#pragma once

#include "FleetModel.h"

namespace papayashelf::measure {

constexpr std::size_t vmsPerRegion = 2;
constexpr double engineLatency = 1;
constexpr double linkLatency = 25;
constexpr double reportPeriod = 1000;
constexpr double reportLag = 500;
constexpr double summaryPeriod = 2000;
constexpr double tickPeriod = 25;
constexpr std::int64_t bytesPerToken = 6;
constexpr std::uint64_t gapOneIn = 5; /**< One cache event in so many is lost. */
constexpr std::size_t lostRegion = 1;
constexpr double lossFrom = 350'000;
constexpr double lossTo = 410'000;
constexpr double cutFrom = 460'000;
constexpr double cutTo = 520'000;

inline FleetModel::FleetModel(
    const Deployment& deployment, const Variant& variant, const Trace& trace, std::uint64_t seed, bool hasFaults)
    : results(trace.calls.size())
    , deployment(deployment)
    , trace(trace)
    , hasFaults(hasFaults)
    , random(seed)
{
    this->build(variant, seed);
}

inline void FleetModel::build(const Variant& variant, std::uint64_t seed)
{
    auto governance = std::make_shared<Governance>();
    Service assistant;
    assistant.id = ServiceId("assistant");
    assistant.kind = ServiceKind::ModelEngine;
    Service plain;
    plain.id = ServiceId("entries");
    std::vector<Member> members;
    for (std::size_t region = 0; region < this->deployment.regions.size(); ++region) {
        const RegionId id(this->deployment.regions[region]);
        governance->regions[id].id = id;
        for (const std::string& other : this->deployment.regions) {
            if (other != id.string())
                governance->regions[id].linkMegabitsPerSecond[RegionId(other)] = this->deployment.linkMegabits;
        }
        for (int number = 0; number <= this->deployment.engines[region]; ++number) {
            const bool isPlain = number == this->deployment.engines[region];
            Upstream upstream;
            upstream.id = UpstreamId(id.string() + (isPlain ? "-plain" : "-engine" + std::to_string(number)));
            upstream.region = id;
            upstream.endpoint = { "10.0." + std::to_string(region) + "." + std::to_string(number), 80 };
            upstream.slots = isPlain ? 8 : 16;
            (isPlain ? plain : assistant).upstreams.push_back(upstream);
            Engine engine;
            engine.id = upstream.id;
            engine.region = region;
            engine.isPlain = isPlain;
            engine.slots = static_cast<std::size_t>(upstream.slots);
            this->engineNames[upstream.id] = this->engines.size();
            this->engines.push_back(std::move(engine));
        }
        for (std::size_t number = 0; number < vmsPerRegion; ++number) {
            Vm vm;
            vm.region = region;
            vm.id = VmId(id.string() + "-vm" + std::to_string(number));
            vm.router = std::make_unique<Router>(variant.routing, id, vm.id);
            vm.dispatcher = std::make_unique<Dispatcher>(
                variant.dispatch, vm.id, 1, Milliseconds(), seed * 100 + this->vms.size());
            Member member;
            member.vm = vm.id;
            member.region = id;
            members.push_back(member);
            this->vmNames[vm.id] = this->vms.size();
            this->vms.push_back(std::move(vm));
        }
    }
    for (std::size_t workspace = 0; workspace < workspaceParts.size(); ++workspace) {
        Workspace& voted = governance->workspaces[WorkspaceId(std::to_string(workspace))];
        voted.id = WorkspaceId(std::to_string(workspace));
        voted.tokensPerSecond = std::llround(workspaceParts[workspace] * 10'000);
    }
    governance->services[assistant.id] = assistant;
    governance->services[plain.id] = plain;
    for (Vm& vm : this->vms) {
        vm.router->setGovernance(governance);
        vm.router->setMembers(members);
    }
}

inline void FleetModel::after(double milliseconds, std::function<void()> act)
{
    this->queue.push({ this->time + milliseconds, this->events++, std::move(act) });
}

inline void FleetModel::run()
{
    for (std::size_t call = 0; call < this->trace.calls.size(); ++call)
        this->queue.push({ static_cast<double>(this->trace.calls[call].at.count()), this->events++,
            [this, call] { this->arrive(call); } });
    this->reportLoads();
    this->spreadSummaries();
    this->tickVms();
    this->scheduleFaults();
    const double end = static_cast<double>((dayLength + requestTimeout * 2).count());
    while (!this->queue.empty() && this->queue.top().at <= end) {
        const Event event = this->queue.top();
        this->queue.pop();
        this->time = event.at;
        event.act();
    }
}

inline void FleetModel::scheduleFaults()
{
    if (!this->hasFaults)
        return;
    this->after(lossFrom, [this] { this->setUp(lostRegion, false); });
    this->after(lossTo, [this] { this->setUp(lostRegion, true); });
    this->after(cutFrom, [this] { this->cuts = { { 0, 1 }, { 1, 0 } }; });
    this->after(cutTo, [this] { this->cuts.clear(); });
}

inline AdmittedRequest FleetModel::admit(std::size_t index, RequestId id, bool isRelayed) const
{
    const Call& call = this->trace.calls[index];
    AdmittedRequest request;
    request.arrival.request = id;
    request.arrival.method = "POST";
    request.arrival.promptTokens = call.promptTokens;
    request.arrival.maximumTokens = call.answerTokens;
    request.arrival.isStreamed = true;
    request.arrival.prefixHashes = call.blocks;
    request.workspace = WorkspaceId(std::to_string(call.workspace));
    request.shareWeight = std::llround(workspaceParts[call.workspace] * 10'000);
    request.service = ServiceId(call.isPlain ? "entries" : "assistant");
    request.kind = call.isPlain ? ServiceKind::PlainService : ServiceKind::ModelEngine;
    request.costTokens = call.promptTokens + call.answerTokens;
    request.deadline = call.at + requestTimeout;
    request.isIdempotent = !call.isPlain;
    request.isRelayed = isRelayed;
    return request;
}

inline void FleetModel::arrive(std::size_t index)
{
    const Call& call = this->trace.calls[index];
    const std::size_t vm = call.region * vmsPerRegion + this->random() % vmsPerRegion;
    const auto id = static_cast<RequestId>(index);
    this->apply(
        vm, this->vms[vm].dispatcher->submit(this->now(), this->admit(index, id, false), *this->vms[vm].router));
}

inline void FleetModel::apply(std::size_t vm, const DispatchOutput& output)
{
    for (const RequestDirective& directive : output.directives) {
        if (const auto* const start = std::get_if<StartAttempt>(&directive))
            this->apply(vm, *start);
        else if (const auto* const relay = std::get_if<StartRelay>(&directive))
            this->apply(vm, *relay);
        else if (const auto* const cancel = std::get_if<CancelAttempt>(&directive))
            this->apply(vm, *cancel);
        else if (const auto* const refused = std::get_if<RefuseRequest>(&directive))
            this->refuse(vm, *refused);
        else if (const auto* const finished = std::get_if<FinishRequest>(&directive))
            this->finish(vm, finished->request);
    }
}

inline void FleetModel::report(std::size_t vm, AttemptEnded ended)
{
    ended.answerTokens = this->delivered[callOf(ended.request)];
    this->apply(vm, this->vms[vm].dispatcher->handle(this->now(), ended, *this->vms[vm].router));
}

inline void FleetModel::apply(std::size_t vm, const StartAttempt& start)
{
    const std::size_t index = callOf(start.request);
    this->results[index].isStarted = true;
    Job job;
    job.vm = vm;
    job.request = start.request;
    job.attempt = start.attempt;
    job.call = index;
    job.produced = start.resumeFromToken;
    job.wanted = this->trace.calls[index].answerTokens;
    this->after(engineLatency, [this, job, engine = this->engineNames.at(start.upstream)] {
        Engine& target = this->engines[engine];
        if (!target.isUp) {
            this->report(job.vm, { job.request, job.attempt, AttemptResult::NotSent, 0, 0, 0 });
            return;
        }
        const Call& call = this->trace.calls[job.call];
        target.accept(job, call.blocks, call.promptTokens + job.produced);
        this->kick(target);
    });
}

inline void FleetModel::apply(std::size_t vm, const StartRelay& start)
{
    const std::size_t index = callOf(start.request);
    const std::size_t target = this->vmNames.at(start.vm);
    this->results[index].isAway = true;
    if (this->isCut(this->vms[vm].region, this->vms[target].region)) {
        this->after(linkLatency, [this, vm, start] {
            this->report(vm, { start.request, start.attempt, AttemptResult::NotSent, 0, 0, 0 });
        });
        return;
    }
    const RequestId relayed = ++this->relayCount * relayStride + index;
    this->relays[relayed] = { vm, start.request, start.attempt, index, target };
    const double bytes = static_cast<double>(this->trace.calls[index].promptTokens * bytesPerToken);
    const double delay = this->crossLink(this->vms[vm].region, this->vms[target].region, bytes);
    this->after(delay, [this, relayed, target, index, resume = start.resumeFromToken] {
        AdmittedRequest request = this->admit(index, relayed, true);
        request.resumeFromToken = resume;
        if (!this->relays.contains(relayed) || request.deadline <= this->now())
            return;
        Vm& remote = this->vms[target];
        this->apply(target, remote.dispatcher->submit(this->now(), request, *remote.router));
    });
}

inline void FleetModel::apply(std::size_t vm, const CancelAttempt& cancel)
{
    for (auto& [id, relay] : this->relays) {
        if (relay.origin == vm && relay.request == cancel.request && relay.attempt == cancel.attempt) {
            const Relay gone = relay;
            const RequestId relayed = id;
            this->relays.erase(relayed);
            Vm& remote = this->vms[gone.target];
            this->apply(
                gone.target, remote.dispatcher->handle(this->now(), CallerDisconnected { relayed }, *remote.router));
            return;
        }
    }
    for (Engine& engine : this->engines) {
        const auto isIt = [&](const Job& job) {
            return job.vm == vm && job.request == cancel.request && job.attempt == cancel.attempt;
        };
        std::erase_if(engine.running, isIt);
        std::erase_if(engine.waiting, isIt);
    }
}

inline void FleetModel::finish(std::size_t /*vm*/, RequestId request)
{
    const auto relay = this->relays.find(request);
    if (relay != this->relays.end())
        this->endRelay(relay->second, AttemptResult::Completed);
    else
        this->results[callOf(request)].isDone = true;
    this->relays.erase(request);
}

inline void FleetModel::refuse(std::size_t /*vm*/, const RefuseRequest& refused)
{
    const auto relay = this->relays.find(refused.request);
    if (relay != this->relays.end())
        this->endRelay(relay->second, refused.ran == Ran::No ? AttemptResult::RejectedBusy : AttemptResult::Truncated);
    else if (refused.request < relayStride)
        this->results[callOf(refused.request)].isRefused = true;
    this->relays.erase(refused.request);
}

inline void FleetModel::endRelay(const Relay& relay, AttemptResult result)
{
    this->after(linkLatency, [this, relay, result] {
        this->report(relay.origin, { relay.request, relay.attempt, result, 200, 0, 0 });
    });
}

inline void FleetModel::noteFirstToken(const Job& job)
{
    const auto relay = this->relays.find(job.request);
    const bool isRelayed = relay != this->relays.end();
    CallResult& result = this->results[job.call];
    if (result.firstToken == 0)
        result.firstToken = this->time + engineLatency + (isRelayed ? linkLatency : 0)
            - static_cast<double>(this->trace.calls[job.call].at.count());
    if (isRelayed) {
        const Relay& known = relay->second;
        Vm& origin = this->vms[known.origin];
        origin.dispatcher->handle(this->now(), AttemptBegan { known.request, known.attempt, 200 }, *origin.router);
    }
    Vm& own = this->vms[job.vm];
    own.dispatcher->handle(this->now(), AttemptBegan { job.request, job.attempt, 200 }, *own.router);
}

inline void FleetModel::kick(Engine& engine)
{
    engine.fillBatch();
    if (engine.isStepping || engine.running.empty() || !engine.isUp)
        return;
    engine.isStepping = true;
    const double length = engine.step();
    engine.busySeconds += engine.isPlain ? 0 : length / 1000;
    const std::size_t index = this->engineNames.at(engine.id);
    this->after(length, [this, index, life = engine.life] {
        if (this->engines[index].life == life)
            this->endStep(this->engines[index]);
    });
}

inline void FleetModel::endStep(Engine& engine)
{
    engine.isStepping = false;
    std::vector<Job> done;
    std::vector<Job> begun;
    for (Job& job : engine.running) {
        if (job.prefillLeft > 0)
            continue;
        ++job.produced;
        std::int64_t& tokens = this->delivered[callOf(job.request)];
        tokens = std::max(tokens, job.produced);
        if (!job.hasBegun)
            begun.push_back(job);
        job.hasBegun = true;
        if (job.produced >= job.wanted)
            done.push_back(job);
    }
    std::erase_if(engine.running, [](const Job& job) { return job.produced >= job.wanted; });
    for (const Job& job : begun)
        this->noteFirstToken(job);
    for (const Job& job : done)
        this->report(job.vm, { job.request, job.attempt, AttemptResult::Completed, 200, 0, 0 });
    this->kick(engine);
}

inline void FleetModel::setUp(std::size_t region, bool isUp)
{
    for (Engine& engine : this->engines) {
        if (engine.region != region)
            continue;
        engine.isUp = isUp;
        ++engine.life;
        engine.isStepping = false;
        engine.cache.clear();
        std::vector<Job> lost = std::move(engine.running);
        lost.insert(lost.end(), engine.waiting.begin(), engine.waiting.end());
        engine.running.clear();
        engine.waiting.clear();
        for (const Job& job : lost) {
            const AttemptResult result = job.hasBegun ? AttemptResult::Truncated : AttemptResult::NoAnswer;
            this->report(job.vm, { job.request, job.attempt, result, 0, 0, 0 });
        }
    }
}

inline void FleetModel::reportLoads()
{
    for (Engine& engine : this->engines) {
        if (!engine.isUp)
            continue;
        UpstreamLoadReport load;
        load.upstream = engine.id;
        load.running = static_cast<std::int64_t>(engine.running.size());
        load.waiting = static_cast<std::int64_t>(engine.waiting.size());
        load.cacheUse = engine.cache.use();
        for (const std::uint64_t block : engine.added) {
            if (this->random() % gapOneIn)
                load.prefixesAdded.push_back(block);
        }
        load.prefixesEvicted = std::move(engine.evicted);
        engine.added.clear();
        engine.evicted.clear();
        this->after(reportLag, [this, load, region = engine.region] {
            for (Vm& vm : this->vms) {
                if (vm.region == region)
                    vm.router->handleLoad(this->now(), load);
            }
        });
    }
    this->after(reportPeriod, [this] { this->reportLoads(); });
}

inline void FleetModel::spreadSummaries()
{
    for (const Vm& from : this->vms) {
        const auto summaries = from.router->summariseOwnRegion(this->now(), from.dispatcher->countAhead());
        for (const Vm& to : this->vms) {
            if (to.region == from.region || this->isCut(from.region, to.region))
                continue;
            this->after(linkLatency, [this, router = to.router.get(), summaries] {
                for (const RegionSummary& summary : summaries)
                    router->handleRegionSummary(this->now(), summary);
            });
        }
    }
    this->after(summaryPeriod, [this] { this->spreadSummaries(); });
}

inline void FleetModel::tickVms()
{
    for (std::size_t index = 0; index < this->vms.size(); ++index)
        this->apply(index, this->vms[index].dispatcher->tick(this->now(), *this->vms[index].router));
    this->after(tickPeriod, [this] { this->tickVms(); });
}

inline bool FleetModel::isCut(std::size_t left, std::size_t right) const
{
    return this->cuts.contains({ left, right });
}

inline double FleetModel::crossLink(std::size_t from, std::size_t to, double bytes)
{
    double& freeAt = this->linkFreeAt[{ from, to }];
    const double bytesPerMillisecond = this->deployment.linkMegabits * 125;
    freeAt = std::max(freeAt, this->time) + bytes / bytesPerMillisecond;
    return freeAt - this->time + linkLatency;
}

inline double FleetModel::busySeconds() const
{
    double sum = 0;
    for (const Engine& engine : this->engines)
        sum += engine.busySeconds;
    return sum;
}

} // namespace papayashelf::measure
