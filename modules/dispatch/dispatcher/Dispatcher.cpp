#include "dispatch/dispatcher/Dispatcher.h"

#include "dispatch/dispatcher/AttemptMessages.h"
#include <algorithm>
#include <cassert>

namespace papayashelf {

namespace {

constexpr Milliseconds pumpPeriod { 50 };
constexpr Milliseconds soonestReturn { 1000 };
constexpr Milliseconds returnAfterFailure { 2000 };
constexpr Milliseconds latestReturn { 60000 };
constexpr std::size_t headsTried = 4;

Milliseconds clampReturn(Milliseconds wait)
{
    return std::clamp(wait, soonestReturn, latestReturn);
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
    InFlightRequest& flight = this->flights.add(request);
    flight.admitted.costTokens = std::max<std::int64_t>(1, request.costTokens);
    flight.admitted.shareWeight = std::max<std::int64_t>(1, request.shareWeight);
    flight.answerTokens = request.resumeFromToken;
    this->budget.noteRequest();
    this->flights.setWake(flight, request.deadline);
    if (this->leavingUntil) {
        this->refuse(now, flight, RefusalCode::Leaving, output);
        return output;
    }
    this->takeIn(now, flight, router, output);
    return output;
}

void Dispatcher::takeIn(Milliseconds now, InFlightRequest& flight, Router& router, DispatchOutput& output)
{
    const AdmittedRequest& admitted = flight.admitted;
    const FairQueue& queue = this->queues.of(admitted.service);
    if (queue.countOf(admitted.workspace) >= this->settings.queuedPerWorkspace) {
        this->refuse(
            now, flight, RefusalCode::Overloaded, output, clampReturn(this->queues.estimateWait(flight.admitted)));
        return;
    }
    if (in_flight_rules::needsClaim(admitted) && !flight.hasClaim) {
        flight.stage = InFlightStage::Claiming;
        const ClaimedOperation subject { admitted.workspace, admitted.arrival.method, admitted.arrival.path,
            admitted.arrival.idempotencyKey };
        this->applyClaims(now, this->claims.claim(now, flight.id(), subject), router, output);
        return;
    }
    const Milliseconds wait = queue.isEmpty() ? Milliseconds() : this->queues.estimateWait(flight.admitted);
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

void Dispatcher::enqueue(InFlightRequest& flight, bool inFront, DispatchOutput& output)
{
    flight.stage = InFlightStage::Queued;
    this->flights.setWake(flight, flight.admitted.deadline);
    const AdmittedRequest& admitted = flight.admitted;
    this->queues.of(admitted.service)
        .push({ flight.id(), admitted.workspace, admitted.shareWeight, admitted.costTokens }, inFront);
    output.events.push_back({ DispatchEventKind::Queued, flight.id(), flight.attempt, {} });
}

//======================================================================================================================
void Dispatcher::pumpAll(Milliseconds now, Router& router, DispatchOutput& output)
{
    this->pumpedAt = now;
    for (const ServiceId& service : this->queues.listServices())
        this->pump(now, service, router, output);
}

void Dispatcher::pump(Milliseconds now, const ServiceId& service, Router& router, DispatchOutput& output)
{
    FairQueue& queue = this->queues.of(service);
    while (!queue.isEmpty() && this->pumpOne(now, queue, router, output)) { }
}

bool Dispatcher::pumpOne(Milliseconds now, FairQueue& queue, Router& router, DispatchOutput& output)
{
    // The head of one workspace may be bound to a region while the next one's may go elsewhere.
    for (const RequestId head : queue.peekHeads(headsTried)) {
        InFlightRequest& flight = *this->flights.find(head);
        if (this->applyChoice(now, flight, this->ask(now, flight, Milliseconds(), router), router, output))
            return true;
    }
    return false;
}

bool Dispatcher::trySpill(
    Milliseconds now, InFlightRequest& flight, Milliseconds wait, Router& router, DispatchOutput& output)
{
    const RoutingChoice choice = this->ask(now, flight, wait, router);
    // Going ahead of the queue to an upstream of this region would be unfair; another region costs nobody here.
    if (!std::holds_alternative<RegionChoice>(choice))
        return false;
    return this->applyChoice(now, flight, choice, router, output);
}

RoutingChoice Dispatcher::ask(Milliseconds now, const InFlightRequest& flight, Milliseconds queueWait, Router& router)
{
    RoutingQuery query = attempt_messages::makeQuery(flight, queueWait);
    if (!flight.admitted.isRelayed)
        return router.choose(now, query, this->generator);
    const RelayedChoice choice = router.choose(now, RelayedQuery { std::move(query) }, this->generator);
    if (const auto* const upstream = std::get_if<UpstreamChoice>(&choice))
        return *upstream;
    return std::get<NoChoice>(choice);
}

bool Dispatcher::applyChoice(
    Milliseconds now, InFlightRequest& flight, const RoutingChoice& choice, Router& router, DispatchOutput& output)
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
        this->refuse(now, flight, RefusalCode::NoUpstream, output, returnAfterFailure);
        return true;
    }
    return false;
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
    for (const ClaimDecision& verdict : claimed.verdicts)
        this->applyVerdict(now, verdict, router, output);
}

void Dispatcher::applyVerdict(Milliseconds now, const ClaimDecision& verdict, Router& router, DispatchOutput& output)
{
    InFlightRequest* const flight = this->flights.find(verdict.request);
    if (!flight || flight->stage != InFlightStage::Claiming)
        return;
    switch (verdict.state) {
    case ClaimState::Granted:
        flight->hasClaim = true;
        flight->stage = InFlightStage::Arrived;
        output.events.push_back({ DispatchEventKind::Claimed, flight->id(), 0, {} });
        this->takeIn(now, *flight, router, output);
        return;
    case ClaimState::Confirmed:
        flight->stage = InFlightStage::Arrived;
        output.storedAnswers.push_back({ flight->id(), verdict.value.status, verdict.value.isBodyHeld,
            verdict.value.contentType, verdict.value.body });
        output.events.push_back({ DispatchEventKind::Finished, flight->id(), 0, "stored" });
        this->close(*flight, output);
        return;
    case ClaimState::Unknown:
        flight->stage = InFlightStage::Arrived;
        output.directives.push_back(RefuseRequest { flight->id(), RefusalCode::OutcomeUnknown, Ran::Unknown,
            std::nullopt, "claimed by " + verdict.value.vm.string() });
        this->close(*flight, output);
        return;
    case ClaimState::Unavailable:
        flight->stage = InFlightStage::Arrived;
        this->refuse(now, *flight, RefusalCode::ClaimUnavailable, output, returnAfterFailure,
            "this request was not run; an earlier one with the same key may have been");
        return;
    }
}

//======================================================================================================================
DispatchOutput Dispatcher::tick(Milliseconds now, Router& router)
{
    DispatchOutput output;
    this->applyClaims(now, this->claims.tick(now), router, output);
    while (InFlightRequest* const flight = this->flights.findDue(now))
        this->handleWake(now, *flight, router, output);
    if (this->leavingUntil && now >= *this->leavingUntil && !this->isLeavingEnforced) {
        this->isLeavingEnforced = true;
        const std::vector<RequestId> left = this->flights.select(
            [](const InFlightRequest& flight) { return flight.stage != InFlightStage::Stopping; });
        for (const RequestId id : left)
            this->stop(now, *this->flights.find(id), RefusalCode::Leaving, router, output);
    }
    this->pumpAll(now, router, output);
    return output;
}

void Dispatcher::handleWake(Milliseconds now, InFlightRequest& flight, Router& router, DispatchOutput& output)
{
    if (flight.stage == InFlightStage::Stopping) {
        this->close(flight, output);
        return;
    }
    if (now >= flight.admitted.deadline) {
        this->stop(now, flight, RefusalCode::DeadlinePassed, router, output);
        return;
    }
    assert(flight.stage == InFlightStage::BackingOff);
    this->enqueue(flight, true, output);
}

Milliseconds Dispatcher::getNextDeadline() const
{
    Milliseconds next = std::min(this->claims.getNextDeadline(), this->flights.getNextWake());
    if (this->leavingUntil && !this->isLeavingEnforced)
        next = std::min(next, *this->leavingUntil);
    return this->queues.isEmpty() ? next : std::min(next, this->pumpedAt + pumpPeriod);
}

void Dispatcher::beginLeaving(Milliseconds now)
{
    if (!this->leavingUntil)
        this->leavingUntil = now + this->settings.leavingLimit;
}

bool Dispatcher::isDrained() const
{
    const bool mayLeaveClaims = this->isLeavingEnforced || !this->claims.hasUnsettled();
    return this->leavingUntil && this->flights.size() == 0 && mayLeaveClaims;
}

} // namespace papayashelf
