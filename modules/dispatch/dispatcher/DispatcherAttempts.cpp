#include "dispatch/dispatcher/AttemptMessages.h"
#include "dispatch/dispatcher/Dispatcher.h"
#include "dispatch/retries/Backoff.h"
#include <algorithm>
#include <cassert>
#include <iterator>
#include <utility>

namespace papayashelf {

// This file implements the parts of Dispatcher that run attempts and end requests.

namespace {

constexpr Milliseconds cancellationReportTimeout { 2000 };
constexpr Milliseconds failureRetryAfter { 2000 };

} // namespace

//======================================================================================================================
void Dispatcher::start(
    Milliseconds now, InFlightRequest& inFlight, const UpstreamChoice& choice, Router& router, DispatchOutput& output)
{
    this->beginAttempt(now, inFlight, choice.upstream.string(), output);
    inFlight.target = choice;
    router.noteStarted(now, choice, inFlight.admitted.arrival.prefixHashes);
    this->queues.noteStarted(choice.service);
    output.directives.push_back(attempt_messages::makeStart(now, inFlight, choice, this->settings));
}

void Dispatcher::start(
    Milliseconds now, InFlightRequest& inFlight, const RegionChoice& choice, Router& router, DispatchOutput& output)
{
    assert(!inFlight.admitted.isRelayed);
    this->beginAttempt(now, inFlight, choice.vm.string(), output);
    inFlight.target = choice;
    router.noteStarted(now, choice);
    output.directives.push_back(attempt_messages::makeRelay(now, inFlight, choice, this->settings));
    output.events.push_back({ DispatchEventKind::Relayed, inFlight.id(), inFlight.attempt, choice.region.string() });
}

void Dispatcher::beginAttempt(
    Milliseconds now, InFlightRequest& inFlight, const std::string& where, DispatchOutput& output)
{
    assert(in_flight_rules::mayStart(inFlight));
    assert(!in_flight_rules::needsClaim(inFlight.admitted) || inFlight.hasClaim);
    if (inFlight.stage == InFlightStage::Queued) {
        FairQueue& queue = this->queues.getQueue(inFlight.admitted.service);
        // Only the first attempt is charged against the fair share of the workspace.
        if (inFlight.attempt == 0)
            queue.take(inFlight.id());
        else
            queue.remove(inFlight.id());
    }
    inFlight.attempt = ++inFlight.lastAttempt;
    inFlight.isSilenceNoted = false;
    inFlight.stage = InFlightStage::Running;
    inFlight.startedAt = now;
    this->inFlightRequests.setTimer(inFlight, inFlight.admitted.deadline);
    output.events.push_back({ DispatchEventKind::Started, inFlight.id(), inFlight.attempt, where });
}

void Dispatcher::releaseTarget(Milliseconds now, InFlightRequest& inFlight, AttemptSignal signal, Router& router)
{
    const Milliseconds duration = now - inFlight.startedAt;
    if (const auto* const upstream = std::get_if<UpstreamChoice>(&inFlight.target)) {
        router.noteEnded(now, *upstream, signal, duration, this->generator);
        this->queues.noteEnded(upstream->service, duration, signal == AttemptSignal::Answered);
        if (signal != AttemptSignal::Answered)
            inFlight.triedUpstreams.push_back(upstream->upstream);
    } else if (const auto* const region = std::get_if<RegionChoice>(&inFlight.target)) {
        router.noteEnded(now, *region, signal);
        if (signal != AttemptSignal::Answered)
            inFlight.triedRegions.push_back(region->region);
    }
    inFlight.target = std::monostate();
}

//======================================================================================================================
DispatchOutput Dispatcher::handle(Milliseconds /*now*/, const AttemptBegan& began, Router& /*router*/)
{
    DispatchOutput output;
    InFlightRequest* const inFlight = this->inFlightRequests.find(began.request);
    const bool isRunning = inFlight && inFlight->stage == InFlightStage::Running;
    const bool isKept = isRunning && inFlight->kept && inFlight->kept->attempt == began.attempt;
    if (isKept || (isRunning && inFlight->attempt == began.attempt))
        inFlight->hasAnswerBegun = true;
    else
        output.events.push_back({ DispatchEventKind::StaleReport, began.request, began.attempt, {} });
    return output;
}

DispatchOutput Dispatcher::handle(Milliseconds /*now*/, const AnswerToKeep& answer)
{
    InFlightRequest* const inFlight = this->inFlightRequests.find(answer.request);
    if (inFlight && inFlight->stage == InFlightStage::Running && inFlight->attempt == answer.attempt)
        inFlight->answer = answer;
    return {};
}

DispatchOutput Dispatcher::handle(Milliseconds now, const AttemptEnded& ended, Router& router)
{
    DispatchOutput output;
    InFlightRequest* const inFlight = this->inFlightRequests.find(ended.request);
    const bool isExpected
        = inFlight && (inFlight->stage == InFlightStage::Running || inFlight->stage == InFlightStage::Stopping);
    if (isExpected && inFlight->kept && inFlight->kept->attempt == ended.attempt) {
        const ServiceId service = inFlight->admitted.service;
        this->endKept(now, *inFlight, ended, router, output);
        this->dispatchQueue(now, service, router, output);
        return output;
    }
    if (!isExpected || inFlight->attempt != ended.attempt) {
        output.events.push_back({ DispatchEventKind::StaleReport, ended.request, ended.attempt, {} });
        return output;
    }
    const ServiceId service = inFlight->admitted.service;
    this->endAttempt(now, *inFlight, ended, router, output);
    this->dispatchQueue(now, service, router, output);
    return output;
}

void Dispatcher::endAttempt(
    Milliseconds now, InFlightRequest& inFlight, const AttemptEnded& ended, Router& router, DispatchOutput& output)
{
    const bool hasProgressed = ended.answerTokens > inFlight.answerTokens;
    inFlight.answerTokens = std::max(inFlight.answerTokens, ended.answerTokens);
    inFlight.promptTokens = std::max(inFlight.promptTokens, ended.promptTokens);
    if (inFlight.stage == InFlightStage::Stopping) {
        this->settleAndErase(inFlight, output);
        return;
    }
    this->releaseTarget(now, inFlight, in_flight_rules::classifyResult(ended.result, ended.status), router);
    // A request that may be repeated loses nothing by the belief that it has not run.
    const bool isRefusalCertain = !ended.mayHaveRun || inFlight.admitted.isIdempotent;
    const bool isCertainlyNotRun
        = ended.result == AttemptResult::NotSent || (ended.result == AttemptResult::RejectedBusy && isRefusalCertain);
    inFlight.mayHaveRun = inFlight.mayHaveRun || !isCertainlyNotRun;
    if (inFlight.kept && ended.result != AttemptResult::Completed) {
        this->returnToKept(inFlight, output);
        return;
    }
    this->releaseKept(now, inFlight, AttemptSignal::Cancelled, router);
    inFlight.stage = InFlightStage::BackingOff;
    if (ended.result == AttemptResult::Completed) {
        this->finish(now, inFlight, ended.status, output);
        return;
    }
    const bool isUnrecoverable = inFlight.hasAnswerBegun && !in_flight_rules::canResume(inFlight);
    if (isUnrecoverable || !in_flight_rules::mayStart(inFlight)) {
        this->refuse(now, inFlight, RefusalCode::UpstreamFailed, output);
        return;
    }
    this->scheduleRetry(now, inFlight, ended.result == AttemptResult::NotSent, hasProgressed, output);
}

void Dispatcher::scheduleRetry(
    Milliseconds now, InFlightRequest& inFlight, bool isImmediate, bool hasProgressed, DispatchOutput& output)
{
    // Resuming after progress needs no retry budget, as the length of the answer limits how often this can happen.
    inFlight.attemptsWithoutProgress = hasProgressed ? 0 : inFlight.attemptsWithoutProgress + 1;
    const bool isAllowed = inFlight.attemptsWithoutProgress < this->settings.attemptsPerRequest;
    if (!isAllowed || (!hasProgressed && !this->budget.tryTake(now))) {
        this->refuse(now, inFlight, RefusalCode::UpstreamFailed, output, failureRetryAfter);
        return;
    }
    const auto kind = inFlight.hasAnswerBegun ? DispatchEventKind::Resumed : DispatchEventKind::Retried;
    output.events.push_back({ kind, inFlight.id(), inFlight.attempt, {} });
    if (isImmediate) {
        this->enqueue(inFlight, true, output);
        return;
    }
    inFlight.stage = InFlightStage::BackingOff;
    const Milliseconds at = now + drawBackoff(inFlight.attemptsWithoutProgress, this->settings, this->generator);
    this->inFlightRequests.setTimer(inFlight, std::min(inFlight.admitted.deadline, at));
}

//======================================================================================================================
DispatchOutput Dispatcher::handle(Milliseconds now, const AttemptSilent& silent, Router& router)
{
    DispatchOutput output;
    InFlightRequest* const inFlight = this->inFlightRequests.find(silent.request);
    if (!inFlight || inFlight->stage != InFlightStage::Running || inFlight->attempt != silent.attempt)
        return output;
    this->noteSilence(now, *inFlight, router, output);
    const bool hasProgressed = silent.answerTokens > inFlight->answerTokens;
    const int attempts = hasProgressed ? 0 : inFlight->attemptsWithoutProgress + 1;
    if (!in_flight_rules::mayStartBesideSilent(*inFlight) || attempts >= this->settings.attemptsPerRequest)
        return output;
    const RoutingChoice choice = this->chooseTarget(now, *inFlight, Milliseconds(), router);
    const auto* const upstream = std::get_if<UpstreamChoice>(&choice);
    const auto* const silentUpstream = std::get_if<UpstreamChoice>(&inFlight->target);
    const bool isSame = upstream && silentUpstream && upstream->upstream == silentUpstream->upstream;
    if (isSame || std::holds_alternative<NoChoice>(choice) || (!hasProgressed && !this->budget.tryTake(now)))
        return output;
    inFlight->attemptsWithoutProgress = attempts;
    inFlight->answerTokens = std::max(inFlight->answerTokens, silent.answerTokens);
    this->startBesideSilent(now, *inFlight, choice, router, output);
    return output;
}

void Dispatcher::noteSilence(Milliseconds now, InFlightRequest& inFlight, Router& router, DispatchOutput& output)
{
    if (std::exchange(inFlight.isSilenceNoted, true))
        return;
    if (const auto* const upstream = std::get_if<UpstreamChoice>(&inFlight.target)) {
        router.noteSilent(now, *upstream, this->generator);
        inFlight.triedUpstreams.push_back(upstream->upstream);
    } else if (const auto* const region = std::get_if<RegionChoice>(&inFlight.target)) {
        router.noteSilent(now, *region);
        inFlight.triedRegions.push_back(region->region);
    }
    output.events.push_back({ DispatchEventKind::Silent, inFlight.id(), inFlight.attempt, {} });
}

void Dispatcher::startBesideSilent(
    Milliseconds now, InFlightRequest& inFlight, const RoutingChoice& choice, Router& router, DispatchOutput& output)
{
    inFlight.mayHaveRun = true;
    inFlight.kept = KeptAttempt { inFlight.attempt, inFlight.startedAt, std::move(inFlight.target) };
    const auto kind = inFlight.hasAnswerBegun ? DispatchEventKind::Resumed : DispatchEventKind::Retried;
    output.events.push_back({ kind, inFlight.id(), inFlight.attempt, {} });
    this->applyChoice(now, inFlight, choice, router, output);
}

void Dispatcher::releaseKept(Milliseconds now, InFlightRequest& inFlight, AttemptSignal signal, Router& router)
{
    if (!inFlight.kept)
        return;
    std::swap(inFlight.target, inFlight.kept->target);
    std::swap(inFlight.startedAt, inFlight.kept->startedAt);
    this->releaseTarget(now, inFlight, signal, router);
    inFlight.target = std::move(inFlight.kept->target);
    inFlight.startedAt = inFlight.kept->startedAt;
    inFlight.kept.reset();
}

void Dispatcher::endKept(
    Milliseconds now, InFlightRequest& inFlight, const AttemptEnded& ended, Router& router, DispatchOutput& output)
{
    inFlight.answerTokens = std::max(inFlight.answerTokens, ended.answerTokens);
    inFlight.promptTokens = std::max(inFlight.promptTokens, ended.promptTokens);
    // The router heard of the silence when it was noted.
    const bool isSilent = ended.result == AttemptResult::TimedOut;
    this->releaseKept(now, inFlight,
        isSilent ? AttemptSignal::Cancelled : in_flight_rules::classifyResult(ended.result, ended.status), router);
    if (ended.result != AttemptResult::Completed)
        return;
    this->releaseTarget(now, inFlight, AttemptSignal::Cancelled, router);
    inFlight.stage = InFlightStage::BackingOff;
    this->finish(now, inFlight, ended.status, output);
}

void Dispatcher::returnToKept(InFlightRequest& inFlight, DispatchOutput& output)
{
    inFlight.attempt = inFlight.kept->attempt;
    inFlight.startedAt = inFlight.kept->startedAt;
    inFlight.target = std::move(inFlight.kept->target);
    inFlight.isSilenceNoted = true;
    inFlight.kept.reset();
    output.events.push_back({ DispatchEventKind::Kept, inFlight.id(), inFlight.attempt, {} });
}

//======================================================================================================================
DispatchOutput Dispatcher::handle(Milliseconds now, const CallerDisconnected& disconnected, Router& router)
{
    DispatchOutput output;
    InFlightRequest* const inFlight = this->inFlightRequests.find(disconnected.request);
    if (!inFlight || inFlight->stage == InFlightStage::Stopping)
        return output;
    inFlight->isCallerDisconnected = true;
    // A running non-idempotent request is not cancelled, so that its outcome is known when the caller repeats it.
    if (inFlight->stage == InFlightStage::Running && !inFlight->admitted.isIdempotent)
        return output;
    const ServiceId service = inFlight->admitted.service;
    this->stop(now, *inFlight, RefusalCode::StoppedMidway, router, output);
    this->dispatchQueue(now, service, router, output);
    return output;
}

DispatchOutput Dispatcher::withdrawKey(Milliseconds now, const KeyDigest& key, Router& router)
{
    DispatchOutput output;
    const std::vector<RequestId> affected = this->inFlightRequests.select([&](const InFlightRequest& inFlight) {
        return !key.isEmpty() && inFlight.admitted.arrival.key == key && inFlight.stage != InFlightStage::Stopping;
    });
    for (const RequestId id : affected) {
        InFlightRequest& inFlight = *this->inFlightRequests.find(id);
        const bool wasSent = in_flight_rules::determineRan(inFlight) == Ran::Unknown;
        this->stop(now, inFlight, wasSent ? RefusalCode::StoppedMidway : RefusalCode::NotAuthenticated, router, output);
    }
    if (!affected.empty())
        this->dispatchAllQueues(now, router, output);
    return output;
}

void Dispatcher::stop(
    Milliseconds now, InFlightRequest& inFlight, RefusalCode code, Router& router, DispatchOutput& output)
{
    if (inFlight.stage != InFlightStage::Running) {
        this->refuse(now, inFlight, code, output);
        return;
    }
    if (inFlight.kept)
        output.directives.push_back(CancelAttempt { inFlight.id(), inFlight.kept->attempt });
    output.directives.push_back(CancelAttempt { inFlight.id(), inFlight.attempt });
    this->releaseKept(now, inFlight, AttemptSignal::Cancelled, router);
    this->releaseTarget(now, inFlight, AttemptSignal::Cancelled, router);
    inFlight.stage = InFlightStage::Stopping;
    inFlight.mayHaveRun = true;
    this->refuse(now, inFlight, code, output);
}

void Dispatcher::finish(Milliseconds now, InFlightRequest& inFlight, int status, DispatchOutput& output)
{
    if (inFlight.hasClaim) {
        AnswerToKeep answer = inFlight.answer.value_or(AnswerToKeep());
        ClaimOutput confirmed = this->claims.confirm(now, inFlight.id(), status, inFlight.answer.has_value(),
            std::move(answer.contentType), std::move(answer.body));
        std::move(confirmed.calls.begin(), confirmed.calls.end(), std::back_inserter(output.storeCalls));
        inFlight.hasClaim = false;
    }
    output.directives.push_back(FinishRequest { inFlight.id() });
    output.events.push_back({ DispatchEventKind::Finished, inFlight.id(), inFlight.attempt, {} });
    this->settleAndErase(inFlight, output);
}

void Dispatcher::refuse(Milliseconds now, InFlightRequest& inFlight, RefusalCode wanted, DispatchOutput& output,
    std::optional<Milliseconds> retryAfter, const std::string& detail)
{
    const RefusalCode code = in_flight_rules::chooseRefusalCode(inFlight, wanted);
    const Ran ran = in_flight_rules::determineRan(inFlight);
    this->settleClaim(now, inFlight, output);
    output.directives.push_back(RefuseRequest { inFlight.id(), code, ran, retryAfter, detail });
    output.events.push_back({ DispatchEventKind::Refused, inFlight.id(), inFlight.attempt, detail });
    if (inFlight.stage == InFlightStage::Stopping)
        this->inFlightRequests.setTimer(inFlight, now + cancellationReportTimeout);
    else
        this->settleAndErase(inFlight, output);
}

void Dispatcher::settleClaim(Milliseconds now, InFlightRequest& inFlight, DispatchOutput& output)
{
    if (!in_flight_rules::needsClaim(inFlight.admitted))
        return;
    if (in_flight_rules::determineRan(inFlight) == Ran::Unknown) {
        this->claims.leaveUnknown(now, inFlight.id());
    } else if (inFlight.hasClaim || inFlight.stage == InFlightStage::Claiming) {
        ClaimOutput released = this->claims.release(now, inFlight.id());
        std::move(released.calls.begin(), released.calls.end(), std::back_inserter(output.storeCalls));
    }
    inFlight.hasClaim = false;
}

void Dispatcher::settleAndErase(InFlightRequest& inFlight, DispatchOutput& output)
{
    if (inFlight.stage == InFlightStage::Queued)
        this->queues.getQueue(inFlight.admitted.service).remove(inFlight.id());
    // The tokens of a relayed request are settled by the VM that relays it.
    if (!inFlight.admitted.isRelayed && !inFlight.admitted.workspace.isEmpty())
        output.settlements.push_back(
            { inFlight.id(), inFlight.admitted.workspace, in_flight_rules::countUsedTokens(inFlight) });
    this->inFlightRequests.erase(inFlight);
}

} // namespace papayashelf
