#include "dispatch/dispatcher/Dispatcher.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace papayashelf {

namespace {

constexpr Milliseconds pumpPeriod { 50 };
constexpr Milliseconds stoppingLimit { 2000 };
constexpr Milliseconds soonestReturn { 1000 };
constexpr Milliseconds latestReturn { 60000 };
constexpr std::size_t headsTried = 4;
constexpr double durationBlend = 0.05;

Milliseconds clampReturn(Milliseconds wait)
{
    return std::clamp(wait, soonestReturn, latestReturn);
}

} // namespace

Dispatcher::Dispatcher(DispatchSettings settings, const VmId& self, Incarnation incarnation,
    Milliseconds wallClockAtZero, std::uint64_t seed)
    : settings(settings)
    , generator(seed)
    , budget(this->settings)
    , claims(this->settings, self, incarnation, wallClockAtZero)
{
}

//======================================================================================================================
DispatchOutput Dispatcher::submit(Milliseconds now, const AdmittedRequest& request, Router& router)
{
    DispatchOutput output;
    const RequestId id = request.arrival.request;
    assert(!this->flights.contains(id));
    Flight& flight = this->flights[id];
    flight.admitted = request;
    flight.admitted.costTokens = std::max<std::int64_t>(1, request.costTokens);
    flight.admitted.shareWeight = std::max<std::int64_t>(1, request.shareWeight);
    flight.answerTokens = request.resumeFromToken;
    this->budget.noteRequest();
    this->setWake(flight, request.deadline);
    if (this->leavingUntil) {
        this->refuse(now, flight, RefusalCode::Leaving, output);
        return output;
    }
    this->takeIn(now, flight, router, output);
    return output;
}

void Dispatcher::takeIn(Milliseconds now, Flight& flight, Router& router, DispatchOutput& output)
{
    const AdmittedRequest& admitted = flight.admitted;
    const FairQueue& queue = this->queueOf(admitted.service);
    if (queue.countOf(admitted.workspace) >= this->settings.queuedPerWorkspace) {
        this->refuse(now, flight, RefusalCode::Overloaded, output, clampReturn(this->estimateWait(flight)));
        return;
    }
    if (flight_rules::needsClaim(admitted) && !flight.hasClaim) {
        flight.stage = FlightStage::Claiming;
        const ClaimSubject subject { admitted.workspace, admitted.arrival.method, admitted.arrival.path,
            admitted.arrival.idempotencyKey };
        this->applyClaims(now, this->claims.claim(now, flight.id(), subject), router, output);
        return;
    }
    const Milliseconds wait = queue.isEmpty() ? Milliseconds() : this->estimateWait(flight);
    if (wait.count() > 0 && this->trySpill(now, flight, wait, router, output))
        return;
    const Milliseconds remaining = admitted.deadline - now;
    if (wait > remaining) {
        this->refuse(now, flight, RefusalCode::Overloaded, output, clampReturn(wait - remaining / 2));
        return;
    }
    const ServiceId service = admitted.service;
    this->enqueue(flight, false, output);
    this->pump(now, service, router, output);
}

void Dispatcher::enqueue(Flight& flight, bool inFront, DispatchOutput& output)
{
    flight.stage = FlightStage::Queued;
    this->setWake(flight, flight.admitted.deadline);
    const AdmittedRequest& admitted = flight.admitted;
    this->queueOf(admitted.service)
        .push({ flight.id(), admitted.workspace, admitted.shareWeight, admitted.costTokens }, inFront);
    output.events.push_back({ DispatchEventKind::Queued, flight.id(), flight.attempt, {} });
}

//======================================================================================================================
void Dispatcher::pumpAll(Milliseconds now, Router& router, DispatchOutput& output)
{
    this->pumpedAt = now;
    for (auto& [service, queue] : this->queues)
        this->pump(now, service, router, output);
}

void Dispatcher::pump(Milliseconds now, const ServiceId& service, Router& router, DispatchOutput& output)
{
    FairQueue& queue = this->queueOf(service);
    while (!queue.isEmpty() && this->pumpOne(now, queue, router, output)) { }
}

bool Dispatcher::pumpOne(Milliseconds now, FairQueue& queue, Router& router, DispatchOutput& output)
{
    // The head of one workspace may be bound to a region while the next one's may go elsewhere.
    for (const RequestId head : queue.peekHeads(headsTried)) {
        Flight& flight = this->flights.at(head);
        if (this->applyChoice(now, flight, this->ask(now, flight, Milliseconds(), router), router, output))
            return true;
    }
    return false;
}

bool Dispatcher::trySpill(Milliseconds now, Flight& flight, Milliseconds wait, Router& router, DispatchOutput& output)
{
    const RoutingChoice choice = this->ask(now, flight, wait, router);
    // Going ahead of the queue to an upstream of this region would be unfair; another region costs nobody here.
    if (!std::holds_alternative<RegionChoice>(choice))
        return false;
    return this->applyChoice(now, flight, choice, router, output);
}

RoutingChoice Dispatcher::ask(Milliseconds now, const Flight& flight, Milliseconds queueWait, Router& router)
{
    const AdmittedRequest& admitted = flight.admitted;
    RoutingQuery query;
    query.workspace = admitted.workspace;
    query.service = admitted.service;
    query.promptTokens = admitted.arrival.promptTokens;
    query.maximumTokens = admitted.arrival.maximumTokens;
    query.prefixHashes = admitted.arrival.prefixHashes;
    query.queueWait = queueWait;
    query.triedUpstreams = flight.triedUpstreams;
    query.triedRegions = flight.triedRegions;
    if (!admitted.isRelayed)
        return router.choose(now, query, this->generator);
    const RelayedChoice choice = router.choose(now, RelayedQuery { std::move(query) }, this->generator);
    if (const auto* const upstream = std::get_if<UpstreamChoice>(&choice))
        return *upstream;
    return std::get<NoChoice>(choice);
}

bool Dispatcher::applyChoice(
    Milliseconds now, Flight& flight, const RoutingChoice& choice, Router& router, DispatchOutput& output)
{
    if (const auto* const upstream = std::get_if<UpstreamChoice>(&choice)) {
        this->start(now, flight, *upstream, router, output);
        return true;
    }
    if (const auto* const region = std::get_if<RegionChoice>(&choice)) {
        this->start(now, flight, *region, router, output);
        return true;
    }
    switch (std::get<NoChoice>(choice).reason) {
    case NoChoiceReason::Busy:
        return false;
    case NoChoiceReason::OutsideResidency:
        this->refuse(now, flight, RefusalCode::OutsideResidency, output);
        return true;
    case NoChoiceReason::NoUpstream:
        this->refuse(now, flight, RefusalCode::NoUpstream, output, soonestReturn * 2);
        return true;
    }
    return false;
}

//======================================================================================================================
void Dispatcher::start(
    Milliseconds now, Flight& flight, const UpstreamChoice& choice, Router& router, DispatchOutput& output)
{
    this->beginAttempt(now, flight, choice.upstream.string(), output);
    flight.target = choice;
    router.noteStarted(now, choice, flight.admitted.arrival.prefixHashes);
    ++this->paces[choice.service].running;

    const Milliseconds remaining = flight.admitted.deadline - now;
    const auto limits = flight_rules::silenceLimits(flight.admitted, this->settings, remaining);
    output.directives.push_back(StartAttempt { flight.id(), flight.attempt, flight.admitted.workspace, choice.upstream,
        choice.endpoint, choice.kind, flight.admitted.priority, flight.answerTokens, limits.firstByte,
        limits.betweenBytes, remaining });
}

void Dispatcher::start(
    Milliseconds now, Flight& flight, const RegionChoice& choice, Router& router, DispatchOutput& output)
{
    assert(!flight.admitted.isRelayed);
    this->beginAttempt(now, flight, choice.vm.string(), output);
    flight.target = choice;
    router.noteStarted(now, choice);

    const Milliseconds remaining = flight.admitted.deadline - now;
    const auto limits = flight_rules::silenceLimits(flight.admitted, this->settings, remaining);
    output.directives.push_back(StartRelay { flight.id(), flight.attempt, flight.admitted.workspace, choice.vm,
        choice.endpoint, flight.answerTokens, limits.firstByte, limits.betweenBytes, remaining });
    output.events.push_back({ DispatchEventKind::Relayed, flight.id(), flight.attempt, choice.region.string() });
}

void Dispatcher::beginAttempt(Milliseconds now, Flight& flight, const std::string& where, DispatchOutput& output)
{
    assert(flight_rules::mayStart(flight));
    assert(!flight_rules::needsClaim(flight.admitted) || flight.hasClaim);
    if (flight.stage == FlightStage::Queued) {
        FairQueue& queue = this->queueOf(flight.admitted.service);
        // A further attempt was paid for by the first.
        if (flight.attempt == 0)
            queue.take(flight.id());
        else
            queue.remove(flight.id());
    }
    ++flight.attempt;
    flight.stage = FlightStage::Running;
    flight.startedAt = now;
    this->setWake(flight, flight.admitted.deadline);
    output.events.push_back({ DispatchEventKind::Started, flight.id(), flight.attempt, where });
}

void Dispatcher::releaseTarget(Milliseconds now, Flight& flight, AttemptSignal signal, Router& router)
{
    const Milliseconds duration = now - flight.startedAt;
    if (const auto* const upstream = std::get_if<UpstreamChoice>(&flight.target)) {
        router.noteEnded(now, *upstream, signal, duration, this->generator);
        ServicePace& pace = this->paces[upstream->service];
        --pace.running;
        if (signal == AttemptSignal::Answered) {
            const auto length = static_cast<double>(duration.count());
            pace.meanDuration += pace.meanDuration > 0 ? durationBlend * (length - pace.meanDuration) : length;
        }
        if (signal != AttemptSignal::Answered)
            flight.triedUpstreams.push_back(upstream->upstream);
    } else if (const auto* const region = std::get_if<RegionChoice>(&flight.target)) {
        router.noteEnded(now, *region, signal);
        if (signal != AttemptSignal::Answered)
            flight.triedRegions.push_back(region->region);
    }
    flight.target = std::monostate();
}

//======================================================================================================================
DispatchOutput Dispatcher::handle(Milliseconds /*now*/, const AttemptBegan& began, Router& /*router*/)
{
    DispatchOutput output;
    Flight* const flight = this->find(began.request);
    if (flight && flight->stage == FlightStage::Running && flight->attempt == began.attempt)
        flight->hasBegun = true;
    else
        output.events.push_back({ DispatchEventKind::StaleReport, began.request, began.attempt, {} });
    return output;
}

DispatchOutput Dispatcher::handle(Milliseconds /*now*/, const AnswerToKeep& answer)
{
    Flight* const flight = this->find(answer.request);
    if (flight && flight->stage == FlightStage::Running && flight->attempt == answer.attempt)
        flight->answer = answer;
    return {};
}

DispatchOutput Dispatcher::handle(Milliseconds now, const AttemptEnded& ended, Router& router)
{
    DispatchOutput output;
    Flight* const flight = this->find(ended.request);
    const bool isExpected = flight && (flight->stage == FlightStage::Running || flight->stage == FlightStage::Stopping);
    if (!isExpected || flight->attempt != ended.attempt) {
        output.events.push_back({ DispatchEventKind::StaleReport, ended.request, ended.attempt, {} });
        return output;
    }
    const ServiceId service = flight->admitted.service;
    this->endAttempt(now, *flight, ended, router, output);
    this->pump(now, service, router, output);
    return output;
}

void Dispatcher::endAttempt(
    Milliseconds now, Flight& flight, const AttemptEnded& ended, Router& router, DispatchOutput& output)
{
    const bool hasProgressed = ended.answerTokens > flight.answerTokens;
    flight.answerTokens = std::max(flight.answerTokens, ended.answerTokens);
    flight.promptTokens = std::max(flight.promptTokens, ended.promptTokens);
    if (flight.stage == FlightStage::Stopping) {
        this->close(flight, output);
        return;
    }
    this->releaseTarget(now, flight, flight_rules::signalFor(ended.result, ended.status), router);
    const bool isUnsent = ended.result == AttemptResult::NotSent || ended.result == AttemptResult::RejectedBusy;
    flight.mayHaveRun = flight.mayHaveRun || !isUnsent;
    flight.stage = FlightStage::BackingOff;
    if (ended.result == AttemptResult::Completed) {
        this->finish(now, flight, ended.status, output);
        return;
    }
    const bool isLost = flight.hasBegun && !flight_rules::canResume(flight);
    if (isLost || !flight_rules::mayStart(flight)) {
        this->refuse(now, flight, RefusalCode::UpstreamFailed, output);
        return;
    }
    this->tryAgain(now, flight, ended.result == AttemptResult::NotSent, hasProgressed, output);
}

void Dispatcher::tryAgain(
    Milliseconds now, Flight& flight, bool isImmediate, bool hasProgressed, DispatchOutput& output)
{
    // An answer that grew cannot multiply work without end, so going on with it needs no budget.
    flight.attemptsWithoutProgress = hasProgressed ? 0 : flight.attemptsWithoutProgress + 1;
    const bool isAllowed = flight.attemptsWithoutProgress < this->settings.attemptsPerRequest;
    if (!isAllowed || (!hasProgressed && !this->budget.tryTake(now))) {
        this->refuse(now, flight, RefusalCode::UpstreamFailed, output, soonestReturn * 2);
        return;
    }
    const auto kind = flight.hasBegun ? DispatchEventKind::Resumed : DispatchEventKind::Retried;
    output.events.push_back({ kind, flight.id(), flight.attempt, {} });
    if (isImmediate) {
        this->enqueue(flight, true, output);
        return;
    }
    flight.stage = FlightStage::BackingOff;
    const Milliseconds at = now + this->drawBackoff(flight.attemptsWithoutProgress);
    this->setWake(flight, std::min(flight.admitted.deadline, at));
}

Milliseconds Dispatcher::drawBackoff(int attempts)
{
    constexpr int mostDoublings = 10;
    const std::int64_t factor = std::int64_t { 1 } << std::clamp(attempts - 1, 0, mostDoublings);
    const Milliseconds longest = std::min(this->settings.firstBackoff * factor, this->settings.longestBackoff);
    std::uniform_int_distribution<std::int64_t> jitter(longest.count() / 2, longest.count());
    return Milliseconds(jitter(this->generator));
}

//======================================================================================================================
DispatchOutput Dispatcher::handle(Milliseconds now, const CallerGone& gone, Router& router)
{
    DispatchOutput output;
    Flight* const flight = this->find(gone.request);
    if (!flight || flight->stage == FlightStage::Stopping)
        return output;
    flight->isCallerGone = true;
    // What may not be repeated runs on, so that its outcome is known when the caller asks again.
    if (flight->stage == FlightStage::Running && !flight->admitted.isIdempotent)
        return output;
    const ServiceId service = flight->admitted.service;
    this->stop(now, *flight, RefusalCode::StoppedMidway, router, output);
    this->pump(now, service, router, output);
    return output;
}

DispatchOutput Dispatcher::withdrawKey(Milliseconds now, const KeyDigest& key, Router& router)
{
    DispatchOutput output;
    std::vector<RequestId> affected;
    for (const auto& [id, flight] : this->flights) {
        if (!key.isEmpty() && flight.admitted.arrival.key == key && flight.stage != FlightStage::Stopping)
            affected.push_back(id);
    }
    for (const RequestId id : affected) {
        Flight& flight = this->flights.at(id);
        const bool wasSent = flight_rules::whetherRan(flight) == Ran::Unknown;
        this->stop(now, flight, wasSent ? RefusalCode::StoppedMidway : RefusalCode::NotAuthenticated, router, output);
    }
    if (!affected.empty())
        this->pumpAll(now, router, output);
    return output;
}

void Dispatcher::stop(Milliseconds now, Flight& flight, RefusalCode code, Router& router, DispatchOutput& output)
{
    if (flight.stage != FlightStage::Running) {
        this->refuse(now, flight, code, output);
        return;
    }
    output.directives.push_back(CancelAttempt { flight.id(), flight.attempt });
    this->releaseTarget(now, flight, AttemptSignal::Cancelled, router);
    flight.stage = FlightStage::Stopping;
    flight.mayHaveRun = true;
    this->refuse(now, flight, code, output);
}

void Dispatcher::finish(Milliseconds now, Flight& flight, int status, DispatchOutput& output)
{
    if (flight.hasClaim) {
        AnswerToKeep answer = flight.answer.value_or(AnswerToKeep());
        ClaimOutput confirmed = this->claims.confirm(
            now, flight.id(), status, flight.answer.has_value(), std::move(answer.contentType), std::move(answer.body));
        std::move(confirmed.calls.begin(), confirmed.calls.end(), std::back_inserter(output.storeCalls));
        flight.hasClaim = false;
    }
    output.directives.push_back(FinishRequest { flight.id() });
    output.events.push_back({ DispatchEventKind::Finished, flight.id(), flight.attempt, {} });
    this->close(flight, output);
}

void Dispatcher::refuse(Milliseconds now, Flight& flight, RefusalCode wanted, DispatchOutput& output,
    std::optional<Milliseconds> retryAfter, const std::string& detail)
{
    const RefusalCode code = flight_rules::refusalFor(flight, wanted);
    const Ran ran = flight_rules::whetherRan(flight);
    this->settleClaim(now, flight, output);
    output.directives.push_back(RefuseRequest { flight.id(), code, ran, retryAfter, detail });
    output.events.push_back({ DispatchEventKind::Refused, flight.id(), flight.attempt, detail });
    if (flight.stage == FlightStage::Stopping)
        this->setWake(flight, now + stoppingLimit);
    else
        this->close(flight, output);
}

void Dispatcher::settleClaim(Milliseconds now, Flight& flight, DispatchOutput& output)
{
    if (!flight_rules::needsClaim(flight.admitted))
        return;
    if (flight_rules::whetherRan(flight) == Ran::Unknown) {
        this->claims.leaveUnknown(now, flight.id());
    } else if (flight.hasClaim || flight.stage == FlightStage::Claiming) {
        ClaimOutput released = this->claims.release(now, flight.id());
        std::move(released.calls.begin(), released.calls.end(), std::back_inserter(output.storeCalls));
    }
    flight.hasClaim = false;
}

void Dispatcher::close(Flight& flight, DispatchOutput& output)
{
    if (flight.stage == FlightStage::Queued)
        this->queueOf(flight.admitted.service).remove(flight.id());
    // The VM that relayed a request settles it.
    if (!flight.admitted.isRelayed && !flight.admitted.workspace.isEmpty())
        output.settlements.push_back({ flight.id(), flight.admitted.workspace, flight_rules::usedTokens(flight) });
    this->timers.erase({ flight.wakeAt, flight.id() });
    this->flights.erase(flight.id());
}

//======================================================================================================================
DispatchOutput Dispatcher::handleStoreReply(
    Milliseconds now, std::uint64_t call, const StoreReply& reply, Router& router)
{
    DispatchOutput output;
    this->applyClaims(now, this->claims.handleReply(now, call, reply), router, output);
    return output;
}

void Dispatcher::applyClaims(Milliseconds now, ClaimOutput claimed, Router& router, DispatchOutput& output)
{
    std::move(claimed.calls.begin(), claimed.calls.end(), std::back_inserter(output.storeCalls));
    for (const ClaimVerdict& verdict : claimed.verdicts)
        this->applyVerdict(now, verdict, router, output);
}

void Dispatcher::applyVerdict(Milliseconds now, const ClaimVerdict& verdict, Router& router, DispatchOutput& output)
{
    Flight* const flight = this->find(verdict.request);
    if (!flight || flight->stage != FlightStage::Claiming)
        return;
    switch (verdict.state) {
    case ClaimState::Granted:
        flight->hasClaim = true;
        flight->stage = FlightStage::Arrived;
        output.events.push_back({ DispatchEventKind::Claimed, flight->id(), 0, {} });
        this->takeIn(now, *flight, router, output);
        return;
    case ClaimState::Confirmed:
        flight->stage = FlightStage::Arrived;
        output.storedAnswers.push_back({ flight->id(), verdict.value.status, verdict.value.isBodyHeld,
            verdict.value.contentType, verdict.value.body });
        output.events.push_back({ DispatchEventKind::Finished, flight->id(), 0, "stored" });
        this->close(*flight, output);
        return;
    case ClaimState::Unknown:
        flight->stage = FlightStage::Arrived;
        output.directives.push_back(RefuseRequest { flight->id(), RefusalCode::OutcomeUnknown, Ran::Unknown,
            std::nullopt, "claimed by " + verdict.value.vm.string() });
        this->close(*flight, output);
        return;
    case ClaimState::Unavailable:
        flight->stage = FlightStage::Arrived;
        this->refuse(now, *flight, RefusalCode::ClaimUnavailable, output, soonestReturn * 2,
            "this request was not run; an earlier one with the same key may have been");
        return;
    }
}

//======================================================================================================================
DispatchOutput Dispatcher::tick(Milliseconds now, Router& router)
{
    DispatchOutput output;
    this->applyClaims(now, this->claims.tick(now), router, output);
    while (!this->timers.empty() && this->timers.begin()->first <= now) {
        Flight& flight = this->flights.at(this->timers.begin()->second);
        this->handleWake(now, flight, router, output);
    }
    if (this->leavingUntil && now >= *this->leavingUntil && !this->isLeavingEnforced) {
        this->isLeavingEnforced = true;
        std::vector<RequestId> left;
        for (const auto& [id, flight] : this->flights) {
            if (flight.stage != FlightStage::Stopping)
                left.push_back(id);
        }
        for (const RequestId id : left)
            this->stop(now, this->flights.at(id), RefusalCode::Leaving, router, output);
    }
    this->pumpAll(now, router, output);
    return output;
}

void Dispatcher::handleWake(Milliseconds now, Flight& flight, Router& router, DispatchOutput& output)
{
    if (flight.stage == FlightStage::Stopping) {
        this->close(flight, output);
        return;
    }
    if (now >= flight.admitted.deadline) {
        this->stop(now, flight, RefusalCode::DeadlinePassed, router, output);
        return;
    }
    assert(flight.stage == FlightStage::BackingOff);
    this->enqueue(flight, true, output);
}

Milliseconds Dispatcher::getNextDeadline() const
{
    Milliseconds next = this->claims.getNextDeadline();
    if (!this->timers.empty())
        next = std::min(next, this->timers.begin()->first);
    if (this->leavingUntil && !this->isLeavingEnforced)
        next = std::min(next, *this->leavingUntil);
    const bool isWaiting = std::any_of(
        this->queues.begin(), this->queues.end(), [](const auto& entry) { return !entry.second.isEmpty(); });
    return isWaiting ? std::min(next, this->pumpedAt + pumpPeriod) : next;
}

void Dispatcher::beginLeaving(Milliseconds now)
{
    if (!this->leavingUntil)
        this->leavingUntil = now + this->settings.leavingLimit;
}

bool Dispatcher::isDrained() const
{
    return this->leavingUntil && this->flights.empty() && !this->claims.hasUnsettled();
}

std::map<ServiceId, std::int64_t> Dispatcher::countQueued() const
{
    std::map<ServiceId, std::int64_t> queued;
    for (const auto& [service, queue] : this->queues)
        queued[service] = static_cast<std::int64_t>(queue.size());
    return queued;
}

//======================================================================================================================
Flight* Dispatcher::find(RequestId request)
{
    const auto found = this->flights.find(request);
    return found == this->flights.end() ? nullptr : &found->second;
}

void Dispatcher::setWake(Flight& flight, Milliseconds at)
{
    this->timers.erase({ flight.wakeAt, flight.id() });
    flight.wakeAt = at;
    this->timers.emplace(at, flight.id());
}

Milliseconds Dispatcher::estimateWait(const Flight& flight) const
{
    const auto queue = this->queues.find(flight.admitted.service);
    const auto pace = this->paces.find(flight.admitted.service);
    if (queue == this->queues.end() || pace == this->paces.end())
        return {};
    const auto running = static_cast<double>(std::max<std::int64_t>(1, pace->second.running));
    const double perRequest = pace->second.meanDuration / running;
    const double share = queue->second.getShareOf(flight.admitted.workspace, flight.admitted.shareWeight);
    const auto ahead = static_cast<double>(queue->second.countOf(flight.admitted.workspace) + 1);
    const auto everyone = static_cast<double>(queue->second.size() + 1);
    return Milliseconds(std::llround(perRequest * std::min(everyone, ahead / share)));
}

FairQueue& Dispatcher::queueOf(const ServiceId& service)
{
    return this->queues.try_emplace(service, this->settings.queueOrder).first->second;
}

} // namespace papayashelf
