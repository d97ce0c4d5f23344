#include "node/node/Node.h"

#include "dispatch/dispatcher/DispatchEventNames.h"
#include "dispatch/messages/RefusalNames.h"
#include <type_traits>

namespace papayashelf {

namespace {

RefusalCode toRefusal(ShareRefusal reason)
{
    switch (reason) {
    case ShareRefusal::OverShare:
        return RefusalCode::OverShare;
    case ShareRefusal::TooLarge:
        return RefusalCode::TooLargeForShare;
    case ShareRefusal::UnknownWorkspace:
        return RefusalCode::NotAuthenticated;
    case ShareRefusal::TooManyWaiting:
        return RefusalCode::OverShare;
    }
    return RefusalCode::OverShare;
}

} // namespace

void Node::handleEvent(Milliseconds now, const RequestReport& report, NodeOutput& output)
{
    std::visit(
        [&](const auto& typedReport) {
            using Report = std::decay_t<decltype(typedReport)>;
            if constexpr (std::is_same_v<Report, AttemptEnded> || std::is_same_v<Report, AttemptSilent>)
                this->applyDispatch(now, this->dispatcher.handle(now, typedReport, this->router), output);
            else if constexpr (std::is_same_v<Report, AnswerToKeep>)
                this->applyDispatch(now, this->dispatcher.handle(now, typedReport), output);
            else
                this->handleReport(now, typedReport, output);
        },
        report);
}

void Node::handleReport(Milliseconds now, const RequestArrival& arrival, NodeOutput& output)
{
    ++this->counters.arrived;
    this->metrics.noteArrival(now, arrival.request, this->findCallerWorkspace(arrival));
    if (!this->governance)
        return this->refuse(now, arrival.request, RefusalCode::NotReady, Ran::No, Milliseconds(1000), output);
    if (this->isLeaving)
        return this->refuse(now, arrival.request, RefusalCode::Leaving, Ran::No, Milliseconds(0), output);

    const AdmissionContext context { this->settings.self.vm, this->settings.self.region, now };
    const auto isWithdrawn = [this](const KeyDigest& key) { return this->withdrawals.isWithdrawn(key); };
    AdmissionResult result = admitRequest(*this->governance, arrival, context, isWithdrawn);
    if (std::holds_alternative<RefusalCode>(result))
        return this->refuse(now, arrival.request, std::get<RefusalCode>(result), Ran::No, std::nullopt, output);

    AdmittedRequest admitted = std::get<AdmittedRequest>(std::move(result));
    if (admitted.isRelayed)
        ++this->counters.relayedIn;
    // A relayed request was charged on the VM that received it from the caller; an open route charges no workspace.
    if (admitted.isRelayed || admitted.workspace.isEmpty()) {
        ++this->counters.admitted;
        return this->applyDispatch(now, this->dispatcher.submit(now, admitted, this->router), output);
    }
    const WorkspaceId workspace = admitted.workspace;
    const std::int64_t cost = admitted.costTokens;
    const Milliseconds deadline = admitted.deadline;
    this->awaitingReservation.emplace(arrival.request, std::move(admitted));
    this->applyShares(now, this->shares.reserve(now, arrival.request, workspace, cost, deadline), output);
}

WorkspaceId Node::findCallerWorkspace(const RequestArrival& arrival) const
{
    if (!this->governance || arrival.key.isEmpty())
        return arrival.relayedFor;
    const auto key = this->governance->keys.find(arrival.key);
    return key == this->governance->keys.end() ? WorkspaceId() : key->second.workspace;
}

void Node::handleReport(Milliseconds now, const CallerDisconnected& disconnected, NodeOutput& output)
{
    if (this->awaitingReservation.erase(disconnected.request) == 0)
        return this->applyDispatch(now, this->dispatcher.handle(now, disconnected, this->router), output);
    this->applyShares(now, this->shares.settle(now, disconnected.request, 0), output);
    output.directives.emplace_back(FinishRequest { disconnected.request });
}

void Node::handleReport(Milliseconds now, const AttemptBegan& began, NodeOutput& output)
{
    this->metrics.noteBegan(now, began.request);
    this->applyDispatch(now, this->dispatcher.handle(now, began, this->router), output);
}

void Node::handleReport(Milliseconds now, const LoadReport& report, NodeOutput&)
{
    UpstreamLoadReport load;
    load.upstream = report.upstream;
    load.running = report.running;
    load.waiting = report.waiting;
    load.cacheUse = report.cacheUse;
    load.prefixesAdded = report.prefixesAdded;
    load.prefixesEvicted = report.prefixesEvicted;
    this->router.handleLoad(now, load);
}

void Node::applyShares(Milliseconds now, ShareOutput&& partOutput, NodeOutput& output)
{
    this->send(partOutput.sends, output);
    this->storeCalls.add(StoreCaller::Shares, partOutput.storeCalls, output.storeCalls);
    for (const ShareEvent& event : partOutput.events)
        this->timeline.record(now, event.event, { { "detail", event.detail } });
    for (const ReservationGranted& granted : partOutput.granted) {
        auto waiting = this->awaitingReservation.extract(granted.request);
        if (waiting.empty())
            continue;
        ++this->counters.admitted;
        this->applyDispatch(now, this->dispatcher.submit(now, waiting.mapped(), this->router), output);
    }
    for (const ReservationRefused& refused : partOutput.refused) {
        if (this->awaitingReservation.erase(refused.request) == 0)
            continue;
        const bool mayRetry = refused.reason != ShareRefusal::TooLarge;
        const auto retryAfter = mayRetry ? std::optional(refused.retryAfter) : std::nullopt;
        this->refuse(now, refused.request, toRefusal(refused.reason), Ran::No, retryAfter, output);
    }
}

void Node::applyDispatch(Milliseconds now, DispatchOutput&& partOutput, NodeOutput& output)
{
    this->storeCalls.add(StoreCaller::Dispatch, partOutput.storeCalls, output.storeCalls);
    for (RequestDirective& directive : partOutput.directives) {
        this->recordDirective(now, directive);
        output.directives.push_back(std::move(directive));
    }
    for (StoredAnswer& stored : partOutput.storedAnswers) {
        this->recordDirective(now, stored);
        output.directives.emplace_back(std::move(stored));
    }
    for (const DispatchEvent& event : partOutput.events)
        this->timeline.record(now, std::string(toString(event.kind)),
            { { "request", std::to_string(event.request) }, { "attempt", std::to_string(event.attempt) },
                { "where", event.where } });
    for (const Settlement& settlement : partOutput.settlements) {
        this->metrics.noteUsed(settlement.workspace, settlement.usedTokens);
        this->applyShares(now, this->shares.settle(now, settlement.request, settlement.usedTokens), output);
    }
}

void Node::recordDirective(Milliseconds now, const RequestDirective& directive)
{
    if (std::holds_alternative<StartRelay>(directive))
        ++this->counters.relayedOut;
    if (const auto* finished = std::get_if<FinishRequest>(&directive)) {
        ++this->counters.finished;
        this->metrics.noteFinished(now, finished->request);
    }
    if (const auto* stored = std::get_if<StoredAnswer>(&directive)) {
        ++this->counters.finished;
        this->metrics.noteFinished(now, stored->request);
    }
    if (const auto* refusal = std::get_if<RefuseRequest>(&directive)) {
        ++this->counters.refused;
        ++this->counters.refusals[std::string(toString(refusal->code))];
        this->metrics.noteRefused(refusal->request, toString(refusal->code));
    }
}

void Node::refuse(Milliseconds now, RequestId request, RefusalCode code, Ran ran,
    std::optional<Milliseconds> retryAfter, NodeOutput& output)
{
    const RequestDirective directive = RefuseRequest { request, code, ran, retryAfter, {} };
    this->recordDirective(now, directive);
    this->timeline.record(
        now, "refused", { { "request", std::to_string(request) }, { "code", std::string(toString(code)) } });
    output.directives.push_back(directive);
}

void Node::endRequestsOfKey(Milliseconds now, const KeyDigest& key, NodeOutput& output)
{
    std::vector<RequestId> endedRequests;
    for (const auto& [request, waiting] : this->awaitingReservation) {
        if (waiting.arrival.key == key)
            endedRequests.push_back(request);
    }
    for (const RequestId request : endedRequests) {
        this->awaitingReservation.erase(request);
        this->applyShares(now, this->shares.settle(now, request, 0), output);
        this->refuse(now, request, RefusalCode::NotAuthenticated, Ran::No, std::nullopt, output);
    }
    this->applyDispatch(now, this->dispatcher.withdrawKey(now, key, this->router), output);
}

} // namespace papayashelf
