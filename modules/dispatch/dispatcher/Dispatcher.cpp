#include "dispatch/dispatcher/Dispatcher.h"

#include "dispatch/dispatcher/AttemptMessages.h"
#include <algorithm>
#include <cassert>

namespace papayashelf {

namespace {

constexpr Milliseconds queueCheckPeriod { 50 };
constexpr Milliseconds minRetryAfter { 1000 };
constexpr Milliseconds failureRetryAfter { 2000 };
constexpr Milliseconds maxRetryAfter { 60000 };
constexpr std::size_t maxHeadsTried = 4;

Milliseconds clampRetryAfter(Milliseconds wait)
{
    return std::clamp(wait, minRetryAfter, maxRetryAfter);
}

} // namespace

Dispatcher::Dispatcher(DispatchSettings settings, const VmId& self, Incarnation incarnation,
    Milliseconds wallClockAtZero, std::uint64_t seed)
    : settings(settings)
    , generator(seed)
    , queues(this->settings.queueOrder)
    , budget(this->settings)
    , claims(this->settings, self, incarnation, wallClockAtZero)
{
}

//======================================================================================================================
DispatchOutput Dispatcher::submit(Milliseconds now, const AdmittedRequest& request, Router& router)
{
    DispatchOutput output;
    InFlightRequest& inFlight = this->inFlightRequests.add(request);
    inFlight.admitted.costTokens = std::max<std::int64_t>(1, request.costTokens);
    inFlight.admitted.shareWeight = std::max<std::int64_t>(1, request.shareWeight);
    inFlight.answerTokens = request.resumeFromToken;
    this->budget.noteRequest();
    this->inFlightRequests.setTimer(inFlight, request.deadline);
    if (this->leavingDeadline) {
        this->refuse(now, inFlight, RefusalCode::Leaving, output);
        return output;
    }
    this->beginProcessing(now, inFlight, router, output);
    return output;
}

void Dispatcher::beginProcessing(Milliseconds now, InFlightRequest& inFlight, Router& router, DispatchOutput& output)
{
    const AdmittedRequest& admitted = inFlight.admitted;
    const FairQueue& queue = this->queues.getQueue(admitted.service);
    if (queue.countOf(admitted.workspace) >= this->settings.queuedPerWorkspace) {
        this->refuse(now, inFlight, RefusalCode::Overloaded, output,
            clampRetryAfter(this->queues.estimateWait(inFlight.admitted)));
        return;
    }
    if (in_flight_rules::needsClaim(admitted) && !inFlight.hasClaim) {
        inFlight.stage = InFlightStage::Claiming;
        const ClaimedOperation operation { admitted.workspace, admitted.arrival.method, admitted.arrival.path,
            admitted.arrival.idempotencyKey };
        this->applyClaimOutput(now, this->claims.claim(now, inFlight.id(), operation), router, output);
        return;
    }
    const Milliseconds wait = queue.isEmpty() ? Milliseconds() : this->queues.estimateWait(inFlight.admitted);
    if (wait.count() > 0 && this->tryRelayInsteadOfQueueing(now, inFlight, wait, router, output))
        return;
    const Milliseconds remaining = admitted.deadline - now;
    if (wait > remaining) {
        this->refuse(now, inFlight, RefusalCode::Overloaded, output, clampRetryAfter(wait - remaining / 2));
        return;
    }
    const ServiceId service = admitted.service;
    this->enqueue(inFlight, false, output);
    this->dispatchQueue(now, service, router, output);
}

void Dispatcher::enqueue(InFlightRequest& inFlight, bool atFront, DispatchOutput& output)
{
    inFlight.stage = InFlightStage::Queued;
    this->inFlightRequests.setTimer(inFlight, inFlight.admitted.deadline);
    const AdmittedRequest& admitted = inFlight.admitted;
    this->queues.getQueue(admitted.service)
        .push({ inFlight.id(), admitted.workspace, admitted.shareWeight, admitted.costTokens }, atFront);
    output.events.push_back({ DispatchEventKind::Queued, inFlight.id(), inFlight.attempt, {} });
}

//======================================================================================================================
void Dispatcher::dispatchAllQueues(Milliseconds now, Router& router, DispatchOutput& output)
{
    this->queuesCheckedAt = now;
    for (const ServiceId& service : this->queues.listServices())
        this->dispatchQueue(now, service, router, output);
}

void Dispatcher::dispatchQueue(Milliseconds now, const ServiceId& service, Router& router, DispatchOutput& output)
{
    FairQueue& queue = this->queues.getQueue(service);
    while (!queue.isEmpty() && this->dispatchOne(now, queue, router, output)) { }
}

bool Dispatcher::dispatchOne(Milliseconds now, FairQueue& queue, Router& router, DispatchOutput& output)
{
    // The first request of one workspace may be restricted to a region while that of the next may run elsewhere.
    for (const RequestId head : queue.peekHeads(maxHeadsTried)) {
        InFlightRequest& inFlight = *this->inFlightRequests.find(head);
        if (this->applyChoice(now, inFlight, this->chooseTarget(now, inFlight, Milliseconds(), router), router, output))
            return true;
    }
    return false;
}

bool Dispatcher::tryRelayInsteadOfQueueing(
    Milliseconds now, InFlightRequest& inFlight, Milliseconds wait, Router& router, DispatchOutput& output)
{
    const RoutingChoice choice = this->chooseTarget(now, inFlight, wait, router);
    // Only a relay may bypass the queue: it takes no capacity from requests queued in this region.
    if (!std::holds_alternative<RegionChoice>(choice))
        return false;
    return this->applyChoice(now, inFlight, choice, router, output);
}

RoutingChoice Dispatcher::chooseTarget(
    Milliseconds now, const InFlightRequest& inFlight, Milliseconds queueWait, Router& router)
{
    RoutingQuery query = attempt_messages::makeQuery(inFlight, queueWait);
    if (!inFlight.admitted.isRelayed)
        return router.choose(now, query, this->generator);
    const RelayedChoice choice = router.choose(now, RelayedQuery { std::move(query) }, this->generator);
    if (const auto* const upstream = std::get_if<UpstreamChoice>(&choice))
        return *upstream;
    return std::get<NoChoice>(choice);
}

bool Dispatcher::applyChoice(
    Milliseconds now, InFlightRequest& inFlight, const RoutingChoice& choice, Router& router, DispatchOutput& output)
{
    if (const auto* const upstream = std::get_if<UpstreamChoice>(&choice)) {
        this->start(now, inFlight, *upstream, router, output);
        return true;
    }
    if (const auto* const region = std::get_if<RegionChoice>(&choice)) {
        this->start(now, inFlight, *region, router, output);
        return true;
    }
    switch (std::get<NoChoice>(choice).reason) {
    case NoChoiceReason::Busy:
        return false;
    case NoChoiceReason::OutsideResidency:
        this->refuse(now, inFlight, RefusalCode::OutsideResidency, output);
        return true;
    case NoChoiceReason::NoUpstream:
        this->refuse(now, inFlight, RefusalCode::NoUpstream, output, failureRetryAfter);
        return true;
    }
    return false;
}

//======================================================================================================================
DispatchOutput Dispatcher::handleStoreReply(
    Milliseconds now, std::uint64_t call, const StoreReply& reply, Router& router)
{
    DispatchOutput output;
    this->applyClaimOutput(now, this->claims.handleReply(now, call, reply), router, output);
    return output;
}

void Dispatcher::applyClaimOutput(Milliseconds now, ClaimOutput claimed, Router& router, DispatchOutput& output)
{
    std::move(claimed.calls.begin(), claimed.calls.end(), std::back_inserter(output.storeCalls));
    for (const ClaimDecision& decision : claimed.decisions)
        this->applyClaimDecision(now, decision, router, output);
}

void Dispatcher::applyClaimDecision(
    Milliseconds now, const ClaimDecision& decision, Router& router, DispatchOutput& output)
{
    InFlightRequest* const inFlight = this->inFlightRequests.find(decision.request);
    if (!inFlight || inFlight->stage != InFlightStage::Claiming)
        return;
    switch (decision.state) {
    case ClaimState::Granted:
        inFlight->hasClaim = true;
        inFlight->stage = InFlightStage::Arrived;
        output.events.push_back({ DispatchEventKind::Claimed, inFlight->id(), 0, {} });
        this->beginProcessing(now, *inFlight, router, output);
        return;
    case ClaimState::Confirmed:
        inFlight->stage = InFlightStage::Arrived;
        output.storedAnswers.push_back({ inFlight->id(), decision.value.status, decision.value.isBodyHeld,
            decision.value.contentType, decision.value.body });
        output.events.push_back({ DispatchEventKind::Finished, inFlight->id(), 0, "stored" });
        this->settleAndErase(*inFlight, output);
        return;
    case ClaimState::Unknown:
        inFlight->stage = InFlightStage::Arrived;
        output.directives.push_back(RefuseRequest { inFlight->id(), RefusalCode::OutcomeUnknown, Ran::Unknown,
            std::nullopt, "claimed by " + decision.value.vm.string() });
        this->settleAndErase(*inFlight, output);
        return;
    case ClaimState::Unavailable:
        inFlight->stage = InFlightStage::Arrived;
        this->refuse(now, *inFlight, RefusalCode::ClaimUnavailable, output, failureRetryAfter,
            "this request did not run; an earlier one with the same idempotency key may have run");
        return;
    }
}

//======================================================================================================================
DispatchOutput Dispatcher::tick(Milliseconds now, Router& router)
{
    DispatchOutput output;
    this->applyClaimOutput(now, this->claims.tick(now), router, output);
    while (InFlightRequest* const inFlight = this->inFlightRequests.findDue(now))
        this->handleTimer(now, *inFlight, router, output);
    if (this->leavingDeadline && now >= *this->leavingDeadline && !this->isLeavingEnforced) {
        this->isLeavingEnforced = true;
        const std::vector<RequestId> unfinished = this->inFlightRequests.select(
            [](const InFlightRequest& inFlight) { return inFlight.stage != InFlightStage::Stopping; });
        for (const RequestId id : unfinished)
            this->stop(now, *this->inFlightRequests.find(id), RefusalCode::Leaving, router, output);
    }
    this->dispatchAllQueues(now, router, output);
    return output;
}

void Dispatcher::handleTimer(Milliseconds now, InFlightRequest& inFlight, Router& router, DispatchOutput& output)
{
    if (inFlight.stage == InFlightStage::Stopping) {
        this->settleAndErase(inFlight, output);
        return;
    }
    if (now >= inFlight.admitted.deadline) {
        this->stop(now, inFlight, RefusalCode::DeadlinePassed, router, output);
        return;
    }
    assert(inFlight.stage == InFlightStage::BackingOff);
    this->enqueue(inFlight, true, output);
}

Milliseconds Dispatcher::getNextDeadline() const
{
    Milliseconds next = std::min(this->claims.getNextDeadline(), this->inFlightRequests.getNextTimer());
    if (this->leavingDeadline && !this->isLeavingEnforced)
        next = std::min(next, *this->leavingDeadline);
    return this->queues.isEmpty() ? next : std::min(next, this->queuesCheckedAt + queueCheckPeriod);
}

void Dispatcher::beginLeaving(Milliseconds now)
{
    if (!this->leavingDeadline)
        this->leavingDeadline = now + this->settings.leavingLimit;
}

bool Dispatcher::isDrained() const
{
    const bool mayAbandonClaims = this->isLeavingEnforced || !this->claims.hasUnsettledClaims();
    return this->leavingDeadline && this->inFlightRequests.size() == 0 && mayAbandonClaims;
}

} // namespace papayashelf
