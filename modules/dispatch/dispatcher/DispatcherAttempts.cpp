#include "dispatch/dispatcher/AttemptMessages.h"
#include "dispatch/dispatcher/Dispatcher.h"
#include "dispatch/retries/Backoff.h"
#include <algorithm>
#include <cassert>
#include <iterator>

namespace papayashelf {

// The part of Dispatcher that runs attempts and ends requests.

namespace {

constexpr Milliseconds stoppingLimit { 2000 };
constexpr Milliseconds returnAfterFailure { 2000 };

} // namespace

//======================================================================================================================
void Dispatcher::start(
    Milliseconds now, InFlightRequest& flight, const UpstreamChoice& choice, Router& router, DispatchOutput& output)
{
    this->beginAttempt(now, flight, choice.upstream.string(), output);
    flight.target = choice;
    router.noteStarted(now, choice, flight.admitted.arrival.prefixHashes);
    this->queues.noteStarted(choice.service);
    output.directives.push_back(attempt_messages::makeStart(now, flight, choice, this->settings));
}

void Dispatcher::start(
    Milliseconds now, InFlightRequest& flight, const RegionChoice& choice, Router& router, DispatchOutput& output)
{
    assert(!flight.admitted.isRelayed);
    this->beginAttempt(now, flight, choice.vm.string(), output);
    flight.target = choice;
    router.noteStarted(now, choice);
    output.directives.push_back(attempt_messages::makeRelay(now, flight, choice, this->settings));
    output.events.push_back({ DispatchEventKind::Relayed, flight.id(), flight.attempt, choice.region.string() });
}

void Dispatcher::beginAttempt(
    Milliseconds now, InFlightRequest& flight, const std::string& where, DispatchOutput& output)
{
    assert(in_flight_rules::mayStart(flight));
    assert(!in_flight_rules::needsClaim(flight.admitted) || flight.hasClaim);
    if (flight.stage == InFlightStage::Queued) {
        FairQueue& queue = this->queues.of(flight.admitted.service);
        // A further attempt was paid for by the first.
        if (flight.attempt == 0)
            queue.take(flight.id());
        else
            queue.remove(flight.id());
    }
    ++flight.attempt;
    flight.stage = InFlightStage::Running;
    flight.startedAt = now;
    this->flights.setWake(flight, flight.admitted.deadline);
    output.events.push_back({ DispatchEventKind::Started, flight.id(), flight.attempt, where });
}

void Dispatcher::releaseTarget(Milliseconds now, InFlightRequest& flight, AttemptSignal signal, Router& router)
{
    const Milliseconds duration = now - flight.startedAt;
    if (const auto* const upstream = std::get_if<UpstreamChoice>(&flight.target)) {
        router.noteEnded(now, *upstream, signal, duration, this->generator);
        this->queues.noteEnded(upstream->service, duration, signal == AttemptSignal::Answered);
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
    InFlightRequest* const flight = this->flights.find(began.request);
    if (flight && flight->stage == InFlightStage::Running && flight->attempt == began.attempt)
        flight->hasBegun = true;
    else
        output.events.push_back({ DispatchEventKind::StaleReport, began.request, began.attempt, {} });
    return output;
}

DispatchOutput Dispatcher::handle(Milliseconds /*now*/, const AnswerToKeep& answer)
{
    InFlightRequest* const flight = this->flights.find(answer.request);
    if (flight && flight->stage == InFlightStage::Running && flight->attempt == answer.attempt)
        flight->answer = answer;
    return {};
}

DispatchOutput Dispatcher::handle(Milliseconds now, const AttemptEnded& ended, Router& router)
{
    DispatchOutput output;
    InFlightRequest* const flight = this->flights.find(ended.request);
    const bool isExpected
        = flight && (flight->stage == InFlightStage::Running || flight->stage == InFlightStage::Stopping);
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
    Milliseconds now, InFlightRequest& flight, const AttemptEnded& ended, Router& router, DispatchOutput& output)
{
    const bool hasProgressed = ended.answerTokens > flight.answerTokens;
    flight.answerTokens = std::max(flight.answerTokens, ended.answerTokens);
    flight.promptTokens = std::max(flight.promptTokens, ended.promptTokens);
    if (flight.stage == InFlightStage::Stopping) {
        this->close(flight, output);
        return;
    }
    this->releaseTarget(now, flight, in_flight_rules::signalFor(ended.result, ended.status), router);
    const bool isUnsent = ended.result == AttemptResult::NotSent || ended.result == AttemptResult::RejectedBusy;
    flight.mayHaveRun = flight.mayHaveRun || !isUnsent;
    flight.stage = InFlightStage::BackingOff;
    if (ended.result == AttemptResult::Completed) {
        this->finish(now, flight, ended.status, output);
        return;
    }
    const bool isLost = flight.hasBegun && !in_flight_rules::canResume(flight);
    if (isLost || !in_flight_rules::mayStart(flight)) {
        this->refuse(now, flight, RefusalCode::UpstreamFailed, output);
        return;
    }
    this->tryAgain(now, flight, ended.result == AttemptResult::NotSent, hasProgressed, output);
}

void Dispatcher::tryAgain(
    Milliseconds now, InFlightRequest& flight, bool isImmediate, bool hasProgressed, DispatchOutput& output)
{
    // An answer that grew cannot multiply work without end, so going on with it needs no budget.
    flight.attemptsWithoutProgress = hasProgressed ? 0 : flight.attemptsWithoutProgress + 1;
    const bool isAllowed = flight.attemptsWithoutProgress < this->settings.attemptsPerRequest;
    if (!isAllowed || (!hasProgressed && !this->budget.tryTake(now))) {
        this->refuse(now, flight, RefusalCode::UpstreamFailed, output, returnAfterFailure);
        return;
    }
    const auto kind = flight.hasBegun ? DispatchEventKind::Resumed : DispatchEventKind::Retried;
    output.events.push_back({ kind, flight.id(), flight.attempt, {} });
    if (isImmediate) {
        this->enqueue(flight, true, output);
        return;
    }
    flight.stage = InFlightStage::BackingOff;
    const Milliseconds at = now + drawBackoff(flight.attemptsWithoutProgress, this->settings, this->generator);
    this->flights.setWake(flight, std::min(flight.admitted.deadline, at));
}

//======================================================================================================================
DispatchOutput Dispatcher::handle(Milliseconds now, const CallerDisconnected& gone, Router& router)
{
    DispatchOutput output;
    InFlightRequest* const flight = this->flights.find(gone.request);
    if (!flight || flight->stage == InFlightStage::Stopping)
        return output;
    flight->isCallerGone = true;
    // What may not be repeated runs on, so that its outcome is known when the caller asks again.
    if (flight->stage == InFlightStage::Running && !flight->admitted.isIdempotent)
        return output;
    const ServiceId service = flight->admitted.service;
    this->stop(now, *flight, RefusalCode::StoppedMidway, router, output);
    this->pump(now, service, router, output);
    return output;
}

DispatchOutput Dispatcher::withdrawKey(Milliseconds now, const KeyDigest& key, Router& router)
{
    DispatchOutput output;
    const std::vector<RequestId> affected = this->flights.select([&](const InFlightRequest& flight) {
        return !key.isEmpty() && flight.admitted.arrival.key == key && flight.stage != InFlightStage::Stopping;
    });
    for (const RequestId id : affected) {
        InFlightRequest& flight = *this->flights.find(id);
        const bool wasSent = in_flight_rules::whetherRan(flight) == Ran::Unknown;
        this->stop(now, flight, wasSent ? RefusalCode::StoppedMidway : RefusalCode::NotAuthenticated, router, output);
    }
    if (!affected.empty())
        this->pumpAll(now, router, output);
    return output;
}

void Dispatcher::stop(
    Milliseconds now, InFlightRequest& flight, RefusalCode code, Router& router, DispatchOutput& output)
{
    if (flight.stage != InFlightStage::Running) {
        this->refuse(now, flight, code, output);
        return;
    }
    output.directives.push_back(CancelAttempt { flight.id(), flight.attempt });
    this->releaseTarget(now, flight, AttemptSignal::Cancelled, router);
    flight.stage = InFlightStage::Stopping;
    flight.mayHaveRun = true;
    this->refuse(now, flight, code, output);
}

void Dispatcher::finish(Milliseconds now, InFlightRequest& flight, int status, DispatchOutput& output)
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

void Dispatcher::refuse(Milliseconds now, InFlightRequest& flight, RefusalCode wanted, DispatchOutput& output,
    std::optional<Milliseconds> retryAfter, const std::string& detail)
{
    const RefusalCode code = in_flight_rules::refusalFor(flight, wanted);
    const Ran ran = in_flight_rules::whetherRan(flight);
    this->settleClaim(now, flight, output);
    output.directives.push_back(RefuseRequest { flight.id(), code, ran, retryAfter, detail });
    output.events.push_back({ DispatchEventKind::Refused, flight.id(), flight.attempt, detail });
    if (flight.stage == InFlightStage::Stopping)
        this->flights.setWake(flight, now + stoppingLimit);
    else
        this->close(flight, output);
}

void Dispatcher::settleClaim(Milliseconds now, InFlightRequest& flight, DispatchOutput& output)
{
    if (!in_flight_rules::needsClaim(flight.admitted))
        return;
    if (in_flight_rules::whetherRan(flight) == Ran::Unknown) {
        this->claims.leaveUnknown(now, flight.id());
    } else if (flight.hasClaim || flight.stage == InFlightStage::Claiming) {
        ClaimOutput released = this->claims.release(now, flight.id());
        std::move(released.calls.begin(), released.calls.end(), std::back_inserter(output.storeCalls));
    }
    flight.hasClaim = false;
}

void Dispatcher::close(InFlightRequest& flight, DispatchOutput& output)
{
    if (flight.stage == InFlightStage::Queued)
        this->queues.of(flight.admitted.service).remove(flight.id());
    // The VM that relayed a request settles it.
    if (!flight.admitted.isRelayed && !flight.admitted.workspace.isEmpty())
        output.settlements.push_back({ flight.id(), flight.admitted.workspace, in_flight_rules::usedTokens(flight) });
    this->flights.erase(flight);
}

} // namespace papayashelf
