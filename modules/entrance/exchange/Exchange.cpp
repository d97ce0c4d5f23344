#include "entrance/exchange/Exchange.h"

#include "entrance/answer/AnswerWriter.h"
#include "entrance/answer/RelayWriter.h"
#include "entrance/exchange/ExchangeAttempts.h"
#include "entrance/relay/RelaySource.h"
#include <algorithm>
#include <utility>

namespace papayashelf {

namespace asio = boost::asio;

namespace {

/** A caller that takes nothing for so long cannot keep a stopped answer alive. */
constexpr std::chrono::milliseconds stuckWriteGrace { 500 };

} // namespace

template <AnswerSink Sink>
Exchange<Sink>::Exchange(IoThread& thread, ExchangeRequest request, Sink& sink)
    : thread(thread)
    , request(std::move(request))
    , sink(sink)
    , id(this->request.arrival.request)
    , inbox(thread.getExecutor())
    , sent(thread.getExecutor())
{
}

template <AnswerSink Sink> Exchange<Sink>::~Exchange()
{
    this->thread.removeInbox(this->id);
}

template <AnswerSink Sink> asio::awaitable<void> Exchange<Sink>::run()
{
    this->thread.addInbox(this->id, this->inbox);
    if (!this->thread.submit(RequestArrival(this->request.arrival))) {
        this->thread.removeInbox(this->id);
        this->refusal = RefuseRequest { this->id, RefusalCode::Overloaded, Ran::No, Milliseconds(1000), {} };
        co_return co_await this->conclude();
    }
    co_await this->serve();
    this->thread.removeInbox(this->id);
    co_await this->conclude();
}

template <AnswerSink Sink> void Exchange<Sink>::leave()
{
    this->callerGone = true;
    this->inbox.signal.notify();
}

template <AnswerSink Sink> asio::awaitable<void> Exchange<Sink>::serve()
{
    while (true) {
        this->obeyWaiting();
        this->noticeCallerGone();
        this->startQueued();
        if (this->isOver())
            co_return;
        this->abortIfStuck();
        if (std::chrono::steady_clock::now() >= this->nextHeartbeat())
            this->startHeartbeat();
        if (this->inbox.waiting.empty())
            co_await this->inbox.signal.wait(std::min(this->nextHeartbeat(), this->stuckAt));
    }
}

template <AnswerSink Sink> asio::awaitable<void> Exchange<Sink>::conclude()
{
    if (this->refusal)
        co_await this->sink.refuse(*this->refusal);
    else if (this->stored && !this->sink.hasBegun())
        co_await this->sendStored();
    else if (!this->sink.hasEnded())
        this->sink.abort();
}

template <AnswerSink Sink> void Exchange<Sink>::abortIfStuck()
{
    if (std::chrono::steady_clock::now() < this->stuckAt)
        return;
    this->stuckAt = TimePoint::max();
    this->sink.abort();
}

template <AnswerSink Sink> void Exchange<Sink>::startHeartbeat()
{
    this->lastSent = std::chrono::steady_clock::now();
    if (this->isSending || this->isHeartbeatPending)
        return;
    this->isHeartbeatPending = true;
    spawnLogged(this->thread.getExecutor(), this->sendHeartbeat());
}

template <AnswerSink Sink> asio::awaitable<void> Exchange<Sink>::sendHeartbeat()
{
    const auto self = this->shared_from_this();
    if (!this->sink.hasEnded())
        co_await this->send(": keep-alive\n\n");
    this->isHeartbeatPending = false;
    this->inbox.signal.notify();
}

template <AnswerSink Sink> void Exchange<Sink>::obeyWaiting()
{
    const auto waiting = std::exchange(this->inbox.waiting, {});
    for (const RequestDirective& directive : waiting)
        std::visit([this](const auto& one) { this->obey(one); }, directive);
}

template <AnswerSink Sink> void Exchange<Sink>::obey(const CancelAttempt& directive)
{
    for (const std::optional<Running>* const slot : { &this->running, &this->silent }) {
        if (*slot && (*slot)->attempt == directive.attempt)
            (*slot)->cancel();
    }
    if (!this->queued
        || std::visit([](const auto& start) { return start.attempt; }, *this->queued) != directive.attempt)
        return;
    this->queued.reset();
    this->decline(directive.attempt, AttemptResult::Cancelled);
}

template <AnswerSink Sink> void Exchange<Sink>::obey(const RefuseRequest& directive)
{
    this->refusal = directive;
    this->queued.reset();
    this->cancelRunning();
    this->stuckAt = std::chrono::steady_clock::now() + stuckWriteGrace;
}

template <AnswerSink Sink> void Exchange<Sink>::obey(const FinishRequest&)
{
    this->finished = true;
    this->queued.reset();
    this->cancelRunning();
}

template <AnswerSink Sink> void Exchange<Sink>::obey(const StoredAnswer& directive)
{
    this->stored = directive;
    this->finished = true;
    this->queued.reset();
    this->cancelRunning();
}

template <AnswerSink Sink> asio::awaitable<void> Exchange<Sink>::sendStored()
{
    AnswerHead head;
    head.status = this->stored->status;
    head.length = this->stored->body.size();
    if (!this->stored->contentType.empty())
        head.headers.emplace_back("content-type", this->stored->contentType);
    head.headers.emplace_back("papayashelf-replayed", "true");
    if (!this->stored->isBodyHeld)
        head.headers.emplace_back("papayashelf-body-held", "false");
    this->sink.begin(head);
    bool isSent = this->stored->body.empty();
    if (!isSent)
        isSent = co_await this->send(this->stored->body);
    if (isSent)
        co_await this->endAnswer();
}

template <AnswerSink Sink> template <typename Directive> void Exchange<Sink>::queueStart(const Directive& directive)
{
    if (directive.attempt <= this->lastAttempt || this->refusal || this->finished)
        return;
    this->lastAttempt = directive.attempt;
    if (directive.keptAttempt == 0) {
        this->cancelRunning();
    } else if (this->mayKeep(directive.keptAttempt)) {
        this->silent = std::exchange(this->running, std::nullopt);
    } else {
        // The attempt has gone on or ended meanwhile; its next report tells.
        this->decline(directive.attempt, AttemptResult::Cancelled);
        return;
    }
    this->queued = directive;
}

template <AnswerSink Sink> bool Exchange<Sink>::mayKeep(std::uint32_t attempt) const
{
    return this->running && this->running->attempt == attempt && this->running->isSilent && !this->silent;
}

template <AnswerSink Sink> void Exchange<Sink>::decline(std::uint32_t attempt, AttemptResult result)
{
    if (!this->running)
        this->running = std::exchange(this->silent, std::nullopt);
    this->thread.report(AttemptEnded { this->id, attempt, result, 0, this->request.deliveredTokens, 0 });
}

template <AnswerSink Sink> void Exchange<Sink>::noteSilent(std::uint32_t attempt)
{
    if (!this->running || this->running->attempt != attempt || this->running->isGivenUp)
        return;
    // Of two silent attempts the later one is given up, so that another place can be tried beside the first.
    if (this->silent && !this->silent->isGivenUp) {
        this->running->isGivenUp = true;
        this->running->cancel();
        return;
    }
    this->running->isSilent = true;
    this->thread.report(AttemptSilent { this->id, attempt, this->request.deliveredTokens });
}

template <AnswerSink Sink> void Exchange<Sink>::noteActive(std::uint32_t attempt)
{
    if (this->running && this->running->attempt == attempt)
        this->running->isSilent = false;
    if (!this->silent || this->silent->attempt != attempt || this->silent->isGivenUp)
        return;
    if (this->running)
        this->running->cancel();
    this->running = std::exchange(this->silent, std::nullopt);
    this->running->isSilent = false;
}

template <AnswerSink Sink> void Exchange<Sink>::notePiece(const SourcePiece& piece, const AttemptEnded& attempt)
{
    if (piece.result == AttemptResult::Completed)
        this->noteActive(attempt.attempt);
}

template <AnswerSink Sink> AttemptResult Exchange<Sink>::acceptHead(const SourceHead& head, std::uint32_t attempt)
{
    constexpr int firstServerErrorStatus = 500;
    this->noteActive(attempt);
    if (!this->running || this->running->attempt != attempt || this->running->isGivenUp)
        return AttemptResult::Cancelled;
    if (!this->silent || this->silent->isGivenUp)
        return AttemptResult::Completed;
    const bool isStream = this->request.isChat && this->request.arrival.isStreamed;
    if (isStream ? !isEventStreamHead(head) : head.status >= firstServerErrorStatus)
        return AttemptResult::NoAnswer;
    this->silent->isGivenUp = true;
    this->silent->cancel();
    return AttemptResult::Completed;
}

template <AnswerSink Sink> void Exchange<Sink>::noteEnded(AttemptEnded& ended)
{
    const bool isRunning = this->running && this->running->attempt == ended.attempt;
    const bool isKept = this->silent && this->silent->attempt == ended.attempt;
    const bool isGivenUp = (isRunning && this->running->isGivenUp) || (isKept && this->silent->isGivenUp);
    if (isGivenUp && ended.result == AttemptResult::Cancelled)
        ended.result = AttemptResult::TimedOut;
    if (isRunning)
        this->running = std::exchange(this->silent, std::nullopt);
    else if (isKept)
        this->silent.reset();
}

template <AnswerSink Sink> void Exchange<Sink>::noticeCallerGone()
{
    if (!this->callerGone || this->isCallerGoneReported)
        return;
    this->isCallerGoneReported = true;
    this->thread.report(CallerDisconnected { this->id });
    // A plain service's call goes on to its end, so that it is known whether it ran.
    if (this->request.isChat)
        this->cancelRunning();
}

template <AnswerSink Sink> void Exchange<Sink>::startQueued()
{
    if (this->running || !this->queued)
        return;
    const StartDirective directive = std::move(*this->queued);
    this->queued.reset();
    std::visit([this](const auto& start) { this->begin(start); }, directive);
}

template <AnswerSink Sink> void Exchange<Sink>::begin(const StartAttempt& directive)
{
    const AttemptLimits limits { directive.firstByteLimit, directive.betweenBytesLimit, directive.remaining };
    const auto source = std::make_shared<UpstreamSource>(
        this->thread.getPool(), this->thread.getSettings(), this->makeUpstreamRequest(directive), limits);
    this->run(source, directive.attempt, limits);
}

template <AnswerSink Sink>
template <typename Source>
void Exchange<Sink>::run(const std::shared_ptr<Source>& source, std::uint32_t attempt, AttemptLimits limits)
{
    source->setSilenceHandler([this, attempt] { this->noteSilent(attempt); });
    this->running = Running { attempt, [source] { source->cancel(); } };
    AttemptEnded ended;
    ended.request = this->id;
    ended.attempt = attempt;
    spawnLogged(this->thread.getExecutor(), this->runAttempt(source, ended, limits));
}

template <AnswerSink Sink> void Exchange<Sink>::begin(const StartRelay& directive)
{
    const RelayTransport& transport = this->thread.getShared().relayTransport;
    if (!transport) {
        this->decline(directive.attempt, AttemptResult::NotSent);
        return;
    }
    const AttemptLimits limits { directive.firstByteLimit, directive.betweenBytesLimit, directive.remaining };
    const auto exchange = std::make_shared<RelayExchange>(this->thread.getSettings().relayWindowBytes);
    const auto source = std::make_shared<RelaySource>(this->thread.getExecutor(), exchange, limits);
    source->listen();
    RelayedRequest relayed { this->request.arrival, this->request.head, this->request.body,
        std::max(directive.resumeFromToken, this->request.deliveredTokens) };
    relayed.arrival.key = KeyDigest();
    relayed.arrival.relayedFor = directive.workspace;
    // The source watches for silence itself, so that a silent relay can be kept.
    StartRelay patient = directive;
    patient.firstByteLimit = directive.remaining;
    patient.betweenBytesLimit = directive.remaining;
    transport(patient, std::move(relayed), exchange);
    this->run(source, directive.attempt, limits);
}

template <AnswerSink Sink> void Exchange<Sink>::cancelRunning()
{
    if (this->running)
        this->running->cancel();
    if (this->silent)
        this->silent->cancel();
}

template <AnswerSink Sink> bool Exchange<Sink>::isOver() const
{
    return !this->running && !this->silent && !this->queued && !this->isHeartbeatPending
        && (this->refusal || this->finished || this->callerGone);
}

template <AnswerSink Sink> TimePoint Exchange<Sink>::nextHeartbeat() const
{
    if (!this->isEventStream || this->sink.hasEnded() || this->callerGone)
        return TimePoint::max();
    return this->lastSent + std::chrono::milliseconds(this->thread.getSettings().heartbeatInterval.count());
}

template <AnswerSink Sink> UpstreamRequest Exchange<Sink>::makeUpstreamRequest(const StartAttempt& directive) const
{
    UpstreamRequest made;
    made.endpoint = directive.endpoint;
    made.head = &this->request.head;
    made.body = this->request.body;
    if (!directive.workspace.isEmpty())
        made.extraHeaders.emplace_back("papayashelf-workspace", directive.workspace.string());
    if (directive.kind == ServiceKind::PlainService) {
        const std::string& method = this->request.head.method;
        made.needsFreshConnection = method != "GET" && method != "HEAD" && method != "OPTIONS";
        return made;
    }
    made.extraHeaders.emplace_back("x-priority", std::to_string(directive.priority));
    // Engines name the blocks of their cache by these, so that their cache events can be matched to prompts.
    std::string prefixes;
    for (const std::uint64_t prefix : this->request.arrival.prefixHashes)
        prefixes += (prefixes.empty() ? "" : ",") + std::to_string(prefix);
    if (!prefixes.empty())
        made.extraHeaders.emplace_back("x-prefix-hashes", prefixes);
    const std::int64_t resumeFrom = std::max(directive.resumeFromToken, this->request.deliveredTokens);
    if (resumeFrom > 0)
        made.extraHeaders.emplace_back("x-resume-from", std::to_string(resumeFrom));
    return made;
}

template class Exchange<AnswerWriter>;
template class Exchange<RelayWriter>;

} // namespace papayashelf
