#include "serving/request/RequestServer.h"

#include "serving/http/RelayHeaders.h"
#include <boost/asio/this_coro.hpp>
#include <boost/beast/http/status.hpp>
#include <charconv>
#include <utility>

namespace papayashelf {

namespace asio = boost::asio;

namespace {

constexpr Milliseconds connectLimit { 400 }; /**< Within a region; allows for many round trips and one lost packet. */
constexpr Milliseconds relayConnectLimit { 1'200 }; /**< Between regions; allows for the same. */
constexpr Milliseconds answerMargin { 40 }; /**< Time for the final answer to reach the caller. */
constexpr Milliseconds minimumAttemptTime { 30 }; /**< No upstream can answer in less time. */
/** Sound upstreams may pause for about a second, for example to preempt a request. */
constexpr Milliseconds longestSoundSilence { 1'300 };
/** The rest of the time that callers wait is left to another upstream for its first event. */
constexpr std::int64_t silenceDivisor = 2;
/** In the last part of that time, an upstream that may refuse is better than one that stays silent. */
constexpr std::int64_t lastChanceDivisor = 4;
/** Lower bound for the first-byte timeout if the latency target is short. */
constexpr Milliseconds minimumFirstByteTimeout { 400 };
/** Allows for a lost question or answer between regions. */
constexpr Milliseconds originLookupTime { 700 };
/** Until a read of the store that begins now has been answered: it waits for a change for a second. */
constexpr Milliseconds confirmationTime { 1'500 };
constexpr std::chrono::milliseconds confirmationPollInterval { 40 };
/** Callers may take up a stream a little after the time that they state. */
constexpr Milliseconds takeUpMargin { 2'000 };
constexpr Milliseconds defaultDeadline { 60'000 }; /**< For callers that send no deadline. */
constexpr std::uint64_t longestDeadline = 86'400'000; /**< Milliseconds; keeps sums of times within their range. */
constexpr std::int64_t maximumTokens
    = 1'000'000'000; /**< Beyond any prompt; keeps sums of tokens within their range. */
/** VMs of this region that may refuse a request that this VM cannot send itself; they all know the same load. */
constexpr std::size_t maximumHandOvers = 4;
constexpr int extraPlacements = 2; /**< Beyond the route's maximum, after upstreams that did not run the request. */
/** Interval of checks whether an upstream has free capacity. */
constexpr std::chrono::milliseconds capacityPollInterval { 40 };
constexpr std::uint64_t lowestPriority = 9;
constexpr std::size_t maximumLoggedIdBytes = 64; /**< Of an id that an upstream states. */
constexpr std::size_t maximumLoggedPartBytes = 200; /**< About ten parts, far more than prompts usually have. */
constexpr int successStatus = 200;
constexpr std::string_view bearerPrefix = "Bearer ";

int toHttpStatus(RefusalCause cause)
{
    switch (cause) {
    case RefusalCause::UnknownRoute:
        return 404;
    case RefusalCause::UnknownKey:
        return 401;
    case RefusalCause::OverLimit:
        return 429;
    default:
        return 503;
    }
}

RefusalCause toRefusalCause(PlacementFailureCause cause)
{
    switch (cause) {
    case PlacementFailureCause::NoUpstream:
        return RefusalCause::NoUpstream;
    case PlacementFailureCause::NoUpstreamOfVersion:
        return RefusalCause::NoUpstreamOfVersion;
    case PlacementFailureCause::AllFull:
        return RefusalCause::AllFull;
    case PlacementFailureCause::AllCold:
        return RefusalCause::AllCold;
    case PlacementFailureCause::AllRejecting:
        return RefusalCause::AllRejecting;
    case PlacementFailureCause::Quarantined:
        return RefusalCause::QuarantinedPrompt;
    case PlacementFailureCause::Unreachable:
        return RefusalCause::UpstreamsUnreachable;
    }
    return RefusalCause::NoUpstream;
}

SuspectProgress toSuspectProgress(AnswerProgress progress)
{
    switch (progress) {
    case AnswerProgress::Nothing:
        return SuspectProgress::Waiting;
    case AnswerProgress::Head:
        return SuspectProgress::Begun;
    case AnswerProgress::Events:
        return SuspectProgress::Streaming;
    }
    return SuspectProgress::Waiting;
}

/** Returns the prompt parts that other requests may share: all but the last, which is specific to the request. */
std::string_view extractSharedParts(std::string_view parts)
{
    const std::size_t comma = parts.rfind(',');
    return comma == std::string_view::npos ? std::string_view() : parts.substr(0, comma);
}

/** Returns the ids of the shared prompt parts for the log, at most maximumLoggedPartBytes long. */
std::string_view describeSharedParts(std::string_view parts)
{
    return extractSharedParts(parts).substr(0, maximumLoggedPartBytes);
}

/** Parses a number of tokens at the start of a text: not negative, and at most maximumTokens. */
std::optional<std::int64_t> parseTokens(std::string_view text)
{
    std::int64_t tokens = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), tokens);
    return error == std::errc() && tokens >= 0 ? std::optional(std::min(tokens, maximumTokens)) : std::nullopt;
}

/** Sums the tokens of parts in the format ID:TOKENS,ID:TOKENS. */
std::int64_t sumTokens(std::string_view parts)
{
    std::int64_t sum = 0;
    while (!parts.empty()) {
        const std::string_view part = parts.substr(0, parts.find(','));
        const std::size_t colon = part.find(':');
        if (colon != std::string_view::npos)
            sum += parseTokens(part.substr(colon + 1)).value_or(0);
        parts.remove_prefix(std::min(parts.size(), part.size() + 1));
    }
    return sum;
}

/** Parses "a,b" into two numbers. */
std::optional<std::pair<std::int64_t, std::int64_t>> parseTokenCounts(std::string_view text)
{
    const std::size_t comma = text.find(',');
    if (comma == std::string_view::npos)
        return std::nullopt;
    const std::optional<std::int64_t> in = parseTokens(text.substr(0, comma));
    const std::optional<std::int64_t> out = parseTokens(text.substr(comma + 1));
    return in && out ? std::optional(std::pair(*in, *out)) : std::nullopt;
}

/** Returns the host that a request names, without port. */
std::string_view extractHost(const IncomingRequest& request)
{
    const std::string_view host = findHeader(request.headers, "host");
    return host.substr(0, host.find(':'));
}

/** Returns the name of an attempt's destination, for the log. */
std::string nameDestination(const std::variant<UseUpstream, UseRelay>& destination)
{
    const auto* upstream = std::get_if<UseUpstream>(&destination);
    return upstream ? upstream->upstream.id.string() : "relay:" + std::get<UseRelay>(destination).vm.string();
}

bool mayHaveRun(const AttemptOutcome& outcome)
{
    return outcome.end == AttemptEnd::Complete || outcome.end == AttemptEnd::Unanswered
        || outcome.end == AttemptEnd::Broken;
}

TimePoint toTimePoint(Milliseconds fromNow)
{
    return std::chrono::steady_clock::now() + std::chrono::milliseconds(fromNow.count());
}

} // namespace

RequestServer::RequestServer(
    ServingContext& context, const IncomingRequest& request, CallerAnswer& answer, ActiveRequest& activeRequest)
    : context(context)
    , request(request)
    , answer(answer)
    , activeRequest(activeRequest)
    , requestId(findHeader(request.headers, context.names.requestId))
    , identity(request.method, extractHost(request), request.target,
          findHeader(request.headers, context.names.promptParts), request.body)
    , resumedRequest(findHeader(request.headers, context.names.resumedRequest))
{
    const auto elapsed = std::chrono::steady_clock::now() - request.arrivedAt;
    this->arrivedAt
        = this->now() - Milliseconds(std::chrono::duration_cast<std::chrono::milliseconds>(elapsed).count());
    const auto stated = this->parseNumberHeader(context.names.deadline);
    const Milliseconds waitLimit
        = stated ? Milliseconds(static_cast<std::int64_t>(std::min(*stated, longestDeadline))) : defaultDeadline;
    this->callerDeadline = this->arrivedAt + waitLimit;
    this->answerDeadline = this->callerDeadline - answerMargin;
    this->configurationAgeAtStart = context.core.getConfigurationAge(this->now());
    if (const auto counts = parseTokenCounts(findHeader(request.headers, context.names.tokenCounts))) {
        this->promptTokens = counts->first;
        this->totalTokens = counts->first + counts->second;
    }
    const std::string_view shared = extractSharedParts(findHeader(request.headers, context.names.promptParts));
    this->sharedTokens = sumTokens(shared);
    this->promptParts = parsePromptParts(shared);
    this->cacheKey = shared.empty() ? 0 : stableHash(shared);
}

asio::awaitable<void> RequestServer::serveCaller()
{
    this->context.metrics.noteBegan();
    if (this->requestId.empty()) {
        co_await this->sendGatewayAnswer(400, "no_request_id", Milliseconds(0), true);
    } else if (!this->context.core.takesRequests(this->now())) {
        co_await this->refuse(Refusal { RefusalCause::Stopping, stoppingRetryDelay });
    } else {
        AdmissionQuery query;
        query.host = extractHost(this->request);
        query.path = this->request.getPath();
        const std::string_view authorization = findHeader(this->request.headers, "authorization");
        if (authorization.starts_with(bearerPrefix))
            query.key = authorization.substr(bearerPrefix.size());
        query.tokens = this->totalTokens;
        query.promptParts = this->promptParts;
        query.identity = &this->identity;
        const AdmissionDecision decision = this->context.core.admit(this->now(), query);
        if (const Refusal* refusal = std::get_if<Refusal>(&decision)) {
            co_await this->refuse(*refusal);
        } else {
            this->admitted = std::get<Admitted>(decision);
            this->answerDeadline = std::min(this->answerDeadline, this->arrivedAt + this->admitted->route->timeout);
            if (co_await this->adoptStreamOrigin()) {
                this->context.core.noteRequest(this->now(), this->admitted->service);
                co_await this->runAttempts();
            }
        }
    }
    this->context.metrics.noteEnded();
}

asio::awaitable<void> RequestServer::serveRelayed()
{
    this->isRelayed = true;
    this->context.metrics.noteBegan();
    const std::string_view key = findHeader(this->request.headers, relayheaders::key);
    if (key != this->context.core.getRelayKey() || this->requestId.empty()) {
        co_await this->sendGatewayAnswer(401, "not_a_vm", Milliseconds(0), true);
    } else if (!this->context.core.takesRequests(this->now())) {
        co_await this->refuse(Refusal { RefusalCause::Stopping, stoppingRetryDelay });
    } else {
        // The relaying VM has admitted the request by its own configuration; this VM only places and forwards it.
        static const ServingRoute plainRoute;
        static const ServingRoute streamRoute = [] {
            ServingRoute route;
            route.isStream = true;
            return route;
        }();
        const bool isStream = findHeader(this->request.headers, relayheaders::stream) == "1";
        const std::string_view version = findHeader(this->request.headers, relayheaders::version);
        if (!version.empty())
            this->streamVersion = SoftwareVersion(std::string(version));
        if (const auto wait = this->parseNumberHeader(relayheaders::capacityWait))
            this->relayedWait = Milliseconds(static_cast<std::int64_t>(std::min(*wait, longestDeadline)));
        Admitted admission;
        admission.configuration = this->context.core.getConfiguration();
        admission.route = isStream ? &streamRoute : &plainRoute;
        admission.service = ServiceId(std::string(findHeader(this->request.headers, relayheaders::service)));
        admission.workspace
            = WorkspaceId(std::string(findHeader(this->request.headers, this->context.names.workspace)));
        if (const auto priority = this->parseNumberHeader(this->context.names.priority))
            admission.priority = static_cast<int>(std::min<std::uint64_t>(*priority, lowestPriority));
        this->admitted = admission;
        co_await this->runAttempts();
    }
    this->context.metrics.noteEnded();
}

asio::awaitable<bool> RequestServer::adoptStreamOrigin()
{
    const bool isTakenUp = this->parseNumberHeader(this->context.names.lastEventId).has_value();
    if (!this->admitted->route->isStream || !isTakenUp)
        co_return true;
    std::optional<StreamOrigin> origin;
    if (!this->resumedRequest.empty()) {
        origin = co_await this->context.streamOrigins.find(
            this->resumedRequest, std::min(originLookupTime, this->getRemaining()));
    }
    if (!origin) {
        co_await this->awaitConfirmedView();
        origin = this->context.core.findOnlyOrigin(this->now(), *this->admitted->route, this->arrivedAt);
    }
    const auto& services = this->admitted->route->services;
    const bool mayContinue = origin && !origin->version.isEmpty()
        && std::any_of(services.begin(), services.end(),
            [&](const WeightedService& part) { return part.service == origin->service; });
    if (!mayContinue) {
        // It begins anew without a wait.
        co_await this->refuse(Refusal { RefusalCause::UnknownStream, Milliseconds(0) });
        co_return false;
    }
    this->admitted->service = origin->service;
    this->streamVersion = origin->version;
    co_return true;
}

asio::awaitable<void> RequestServer::awaitConfirmedView()
{
    const Milliseconds end = this->now() + std::min(confirmationTime, this->getRemaining() / 2);
    asio::steady_timer timer(co_await asio::this_coro::executor);
    while (this->now() < end && !this->activeRequest.isCallerGone()
        && this->context.core.needsConfirmation(this->now(), *this->admitted->route, this->arrivedAt)) {
        timer.expires_after(confirmationPollInterval);
        co_await timer.async_wait(useResult);
    }
}

asio::awaitable<void> RequestServer::runAttempts()
{
    if (this->admitted->route->isStream)
        this->splitter.emplace(this->parseNumberHeader(this->context.names.lastEventId));
    NextAction next = NextAction::TryAgain;
    while (next == NextAction::TryAgain && !this->activeRequest.isCallerGone())
        next = co_await this->tryOnce();
    if (next == NextAction::Done)
        co_return;
    this->logRequestEnd("request_left", LogWeight::Notable, "caller_gone", 0);
}

asio::awaitable<RequestServer::NextAction> RequestServer::tryOnce()
{
    if (this->getRemaining() < minimumAttemptTime) {
        AttemptOutcome lateOutcome;
        lateOutcome.detail = "no time left";
        co_await this->giveUp(lateOutcome, "no_time");
        co_return NextAction::Done;
    }
    if (this->isTooLateForStop()) {
        co_await this->refuse(Refusal { RefusalCause::Stopping, stoppingRetryDelay });
        co_return NextAction::Done;
    }
    const PlacementDecision decision
        = this->context.core.place(this->now(), this->makePlacementQuery(), this->admitted->priority);
    std::unique_ptr<RunningAttempt> running;
    if (const auto* upstream = std::get_if<UseUpstream>(&decision))
        running = this->begin(*upstream);
    else if (const auto* relay = std::get_if<UseRelay>(&decision))
        running = this->begin(*relay);
    if (running) {
        running->attempt.setSilenceHandler([this, &attempt = running->attempt] { return this->tryElsewhere(attempt); });
        std::optional<AttemptOutcome> outcome = co_await this->open(*running);
        co_return co_await this->complete(std::move(running), std::move(outcome));
    }
    const auto [cause, retryAfter] = std::get<PlacementFailure>(decision);
    const bool mayEndInTime = cause == PlacementFailureCause::AllFull
        || (cause == PlacementFailureCause::AllCold && this->isStreamContinued())
        || (cause == PlacementFailureCause::AllRejecting && this->now() + retryAfter < this->getCapacityDeadline());
    if (mayEndInTime && this->now() < this->getCapacityDeadline()) {
        asio::steady_timer timer(co_await asio::this_coro::executor, capacityPollInterval);
        co_await timer.async_wait(useResult);
        co_return NextAction::TryAgain;
    }
    const RefusalCause refusal = toRefusalCause(cause);
    if (this->possibleRuns > 0 || this->answer.hasBegun()) {
        AttemptOutcome unplacedOutcome;
        unplacedOutcome.detail
            = cause == PlacementFailureCause::Quarantined ? "quarantined prompt" : "no other upstream";
        co_await this->giveUp(unplacedOutcome, toString(refusal));
        co_return NextAction::Done;
    }
    if (cause == PlacementFailureCause::Quarantined) {
        co_await this->refuse(Refusal { refusal, retryAfter });
        co_return NextAction::Done;
    }
    co_await this->refuse(Refusal { refusal,
        this->context.core.planReturn(this->now(), this->makePlacementQuery(), retryAfter, this->getRemaining()) });
    co_return NextAction::Done;
}

Milliseconds RequestServer::getCapacityDeadline() const
{
    // The caller of a stream that has begun waits longer, and no other VM has more upstreams that can continue it.
    if (this->isStreamContinued()) {
        const Milliseconds silentSince = this->answer.hasBegun() ? this->lastEventsAt : this->arrivedAt;
        return silentSince + this->admitted->route->getStreamPatience() - minimumFirstByteTimeout;
    }
    // Two thirds of the latency target are left for prefill. A relayed request waits on the relaying VM, unless that
    // one reaches no upstream and so knows nothing of their capacity.
    return this->arrivedAt + (this->isRelayed ? this->relayedWait : this->admitted->route->latencyTarget / 3);
}

PlacementQuery RequestServer::makePlacementQuery()
{
    PlacementQuery query;
    query.service = this->admitted->service;
    query.homes = this->admitted->homes;
    query.version = this->streamVersion;
    query.cacheKey = this->cacheKey;
    query.promptTokens = this->promptTokens;
    query.sharedTokens = this->sharedTokens;
    query.isFirstPlacement = !std::exchange(this->hasQueriedPlacement, true);
    query.promptParts = this->promptParts;
    const auto known = this->context.core.getQuarantine().findKnownIdentity(
        this->admitted->service, this->identity, this->admitted->workspace);
    if (known) {
        this->partsWithIdentity = withIdentity(this->promptParts, *known);
        query.promptParts = this->partsWithIdentity;
    }
    query.tried = this->tried;
    query.triedRegions = this->triedRegions;
    query.triedVms = this->triedVms;
    query.mayRelay = !this->isRelayed;
    return query;
}

std::unique_ptr<RequestServer::RunningAttempt> RequestServer::begin(std::variant<UseUpstream, UseRelay> destination)
{
    Placement& placement = this->context.core.getPlacement();
    ++this->attempts;
    ++this->countedAttempts;
    auto running = std::make_unique<RunningAttempt>(std::move(destination), this->context, this->activeRequest);
    running->number = this->attempts;
    const Milliseconds sentAt = this->now();
    running->sentAt = sentAt;
    running->attempt.setDroppedAnswerHandler(
        [this, name = nameDestination(running->destination)](
            const DroppedAnswer& dropped) { this->noteDroppedAnswer(name, dropped); });
    if (const auto* relay = std::get_if<UseRelay>(&running->destination)) {
        const bool isOwnRegion = relay->region == this->context.core.getRegion();
        if (isOwnRegion)
            this->triedVms.insert(relay->vm);
        if (!isOwnRegion || this->triedVms.size() >= maximumHandOvers)
            this->triedRegions.insert(relay->region);
        placement.noteRelayStarted(relay->region, this->promptTokens);
        running->onFirstEvent
            = [this, &placement, to = relay->region] { placement.noteRelayPrefillDone(to, this->promptTokens); };
        return running;
    }
    const auto& choice = std::get<UseUpstream>(running->destination);
    const UpstreamId id = choice.upstream.id;
    UpstreamTable& table = this->context.core.getUpstreams();
    this->tried.insert(id);
    table.noteStarted(id, this->promptTokens);
    if (choice.isTrial)
        table.noteTrial(sentAt, id);
    placement.noteUse(sentAt, id);
    running->onFirstEvent = [this, id, sentAt] {
        this->context.core.getUpstreams().notePrefillDone(id, this->promptTokens);
        this->context.core.getPlacement().noteFirstEvent(
            this->admitted->service, this->promptTokens - this->sharedTokens, this->now() - sentAt);
    };
    this->context.core.getUpstreamReach().noteSent(sentAt);
    running->attempt.setConnectedHandler([this] { this->context.core.getUpstreamReach().noteConnected(this->now()); });
    running->attempt.setBytesHandler([this, id] {
        this->context.core.getUpstreams().noteBytes(this->now(), id);
        this->context.core.getUpstreamReach().noteBytes(this->now());
    });
    running->attempt.setStatementHandler(
        [this, &choice](const UpstreamStatement& statement) { this->noteStatement(choice.upstream, statement); });
    return running;
}

asio::awaitable<std::optional<AttemptOutcome>> RequestServer::open(RunningAttempt& running)
{
    const auto* relay = std::get_if<UseRelay>(&running.destination);
    this->wasLastAttemptRelayed = relay != nullptr;
    this->lastUpstream = nameDestination(running.destination);
    std::string head;
    Endpoint endpoint;
    if (relay) {
        endpoint = relay->endpoint;
        head = this->formatRelayHead(*relay);
    } else {
        const auto& choice = std::get<UseUpstream>(running.destination);
        endpoint = choice.upstream.endpoint;
        head = this->formatUpstreamHead(choice);
    }
    std::optional<AttemptOutcome> outcome = co_await running.attempt.open(
        endpoint, head, this->request.body, this->requestId, this->makeTimeouts(), this->splitter.has_value());
    if (!outcome && this->splitter && !this->mayBringEvents(running))
        outcome = running.attempt.reject();
    co_return outcome;
}

SoftwareVersion RequestServer::findVersion(const RunningAttempt& running) const
{
    if (const auto* upstream = std::get_if<UseUpstream>(&running.destination))
        return this->context.core.getUpstreams().findVersion(upstream->upstream);
    return running.attempt.getRelayedVersion();
}

bool RequestServer::mayBringEvents(const RunningAttempt& running) const
{
    if (!this->streamVersion)
        return true;
    return !this->streamVersion->isEmpty() && this->findVersion(running) == *this->streamVersion;
}

bool RequestServer::isStreamContinued() const
{
    return this->answer.hasBegun() || this->streamVersion;
}

bool RequestServer::mayContinueStream() const
{
    const bool isVersionCertain = this->streamVersion && !this->streamVersion->isEmpty();
    return this->admitted->route->isResumable && this->splitter && !this->splitter->hasContentWithoutId()
        && isVersionCertain;
}

asio::awaitable<RequestServer::NextAction> RequestServer::complete(
    std::unique_ptr<RunningAttempt> running, std::optional<AttemptOutcome> outcome)
{
    if (!outcome) {
        StreamTarget target { &this->answer, this->splitter ? &*this->splitter : nullptr,
            [this, &running] {
                this->context.metrics.noteFirstByteTime(this->now() - this->arrivedAt);
                if (running->onFirstEvent)
                    std::exchange(running->onFirstEvent, {})();
                this->noteStreamSource(*running);
            },
            [this, &running] { return this->mayBringEvents(*running); },
            [this] { return this->makeRelayedHeaders(); } };
        outcome = co_await running->attempt.finish(this->splitter ? &target : nullptr);
    }
    co_await this->noteEnd(*running, *outcome);
    std::unique_ptr<RunningAttempt> next = std::move(this->successor);
    if (!next)
        co_return co_await this->handleOutcome(*outcome);
    this->noteFailure(*outcome);
    running.reset();
    ++this->possibleRuns;
    next->attempt.setTimeouts(this->makeTimeouts());
    next->attempt.setSilenceHandler([this, &attempt = next->attempt] { return this->tryElsewhere(attempt); });
    co_return co_await this->complete(std::move(next), std::nullopt);
}

void RequestServer::noteStreamSource(const RunningAttempt& running)
{
    StreamSource source;
    source.destination = nameDestination(running.destination);
    source.version = this->findVersion(running);
    if (this->streamSource || this->parseNumberHeader(this->context.names.lastEventId)) {
        const StreamSource before = this->streamSource.value_or(StreamSource {});
        this->context.log.write(this->now(), LogWeight::Notable, "stream_continued",
            { { "request", this->requestId }, { "resumed_request", this->resumedRequest },
                { "service", this->admitted->service.string() }, { "from", before.destination },
                { "from_version", before.version.string() }, { "to", source.destination },
                { "to_version", source.version.string() }, { "relayed", boost::json::value(this->isRelayed) } });
    }
    if (!this->streamVersion)
        this->streamVersion = source.version;
    this->streamSource = std::move(source);
    if (!this->isRelayed && this->admitted->route->isResumable) {
        const Milliseconds lifetime = this->callerDeadline + takeUpMargin - this->now();
        this->context.streamOrigins.noteOrigin({ this->resumedRequest.empty() ? this->requestId : this->resumedRequest,
            { this->admitted->service, *this->streamVersion }, lifetime });
    }
}

HeaderFields RequestServer::makeRelayedHeaders() const
{
    if (!this->isRelayed || !this->streamVersion || this->streamVersion->isEmpty())
        return {};
    return { { std::string(relayheaders::version), this->streamVersion->string() } };
}

asio::awaitable<bool> RequestServer::tryElsewhere(UpstreamAttempt& silent)
{
    const std::optional<std::variant<UseUpstream, UseRelay>> destination
        = this->reserveNextAttempt(silent.getSilence());
    if (!destination)
        co_return false;
    std::unique_ptr<RunningAttempt> other = this->begin(*destination);
    bool isAlone = false;
    silent.setActivityHandler([&](bool hasEnded) {
        isAlone = hasEnded;
        if (!hasEnded)
            other->attempt.cancel();
    });
    // As long as the silent upstream may go on, the other one may take its time too.
    other->attempt.setSilenceHandler([&isAlone]() -> asio::awaitable<bool> { co_return isAlone; });
    const std::string silentUpstream = this->lastUpstream;
    const bool wasSilentRelayed = this->wasLastAttemptRelayed;
    const std::optional<AttemptOutcome> outcome = co_await this->open(*other);
    silent.setActivityHandler({});
    if (!outcome) {
        this->successor = std::move(other);
        co_return true;
    }
    co_await this->noteEnd(*other, *outcome);
    this->possibleRuns += mayHaveRun(*outcome) ? 1 : 0;
    this->lastUpstream = silentUpstream;
    this->wasLastAttemptRelayed = wasSilentRelayed;
    co_return false;
}

asio::awaitable<void> RequestServer::noteEnd(RunningAttempt& running, const AttemptOutcome& outcome)
{
    if (std::holds_alternative<UseUpstream>(running.destination))
        co_await this->noteUpstreamEnd(running, outcome);
    else
        this->noteRelayEnd(running, outcome);
}

asio::awaitable<void> RequestServer::noteUpstreamEnd(RunningAttempt& running, const AttemptOutcome& outcome)
{
    const auto& choice = std::get<UseUpstream>(running.destination);
    const UpstreamId& id = choice.upstream.id;
    UpstreamTable& table = this->context.core.getUpstreams();
    if (std::exchange(running.onFirstEvent, {}))
        table.notePrefillDone(id, this->promptTokens);
    table.noteEnded(id);
    if (outcome.end == AttemptEnd::NotSent && this->context.core.getUpstreamReach().isLost())
        --this->countedAttempts;
    this->hasReachedUpstream = this->hasReachedUpstream || outcome.end != AttemptEnd::NotSent;
    this->reportAttemptEnd(running, outcome);
    if (outcome.isConnectionLost)
        this->context.metrics.noteConnectionLost(toString(outcome.progress));
    if (outcome.end == AttemptEnd::Complete) {
        this->noteHarmless(outcome);
        co_return;
    }
    this->context.log.write(this->now(), LogWeight::Notable, "attempt_failed",
        { { "request", this->requestId }, { "upstream", id.string() }, { "end", toString(outcome.end) },
            { "detail", outcome.detail }, { "attempt", boost::json::value(running.number) },
            { "reused_connection", boost::json::value(outcome.earlierRequests > 0) },
            { "connection", boost::json::value(outcome.connection) },
            { "earlier_requests", boost::json::value(outcome.earlierRequests) },
            { "progress", toString(outcome.progress) }, { "ended_by", toString(outcome.endedBy) },
            { "silent_ms", boost::json::value(outcome.silentFor.count()) },
            { "connection_lost", boost::json::value(outcome.isConnectionLost) },
            { "request_identity",
                outcome.isConnectionLost ? this->identity.make(this->admitted->workspace).string() : std::string() },
            { "prompt_parts", describeSharedParts(findHeader(this->request.headers, this->context.names.promptParts)) },
            { "candidates", boost::json::value(running.inputs.candidates) },
            { "load", boost::json::value(running.inputs.load) }, { "cost_ms", boost::json::value(running.inputs.cost) },
            { "load_age_ms", boost::json::value(running.inputs.loadAge.count()) },
            { "cache_source", choice.cacheSource ? choice.cacheSource->string() : std::string() } });
    co_await this->investigateLostConnection(choice.upstream, outcome);
}

void RequestServer::noteRelayEnd(const RunningAttempt& running, const AttemptOutcome& outcome)
{
    const auto& choice = std::get<UseRelay>(running.destination);
    if (running.onFirstEvent)
        running.onFirstEvent();
    this->context.metrics.noteAttempt(outcome.isOverLimit ? "over_limit" : toString(outcome.end));
    this->isCrashSuspect = this->isCrashSuspect || outcome.isCrashSuspect;
    if (outcome.end == AttemptEnd::Complete)
        return;
    if (outcome.isVmCutOff) {
        // Other VMs of the region may reach upstreams.
        this->triedVms.insert(choice.vm);
        if (choice.region != this->context.core.getRegion())
            this->triedRegions.erase(choice.region);
        --this->countedAttempts;
    }
    const bool isFailure
        = outcome.end == AttemptEnd::NotSent || outcome.end == AttemptEnd::Unanswered || outcome.isVmCutOff;
    if (isFailure && outcome.endedBy != AttemptEndedBy::OtherAttempt)
        this->context.core.getPlacement().noteRelayFailed(this->now(), choice.vm);
    this->context.log.write(this->now(), LogWeight::Notable, "relay_failed",
        { { "request", this->requestId }, { "vm", choice.vm.string() }, { "region", choice.region.string() },
            { "end", toString(outcome.end) }, { "detail", outcome.detail }, { "ended_by", toString(outcome.endedBy) },
            { "silent_ms", boost::json::value(outcome.silentFor.count()) },
            { "connection", boost::json::value(outcome.connection) },
            { "earlier_requests", boost::json::value(outcome.earlierRequests) },
            { "attempt", boost::json::value(running.number) } });
}

void RequestServer::noteDroppedAnswer(const std::string& destination, const DroppedAnswer& dropped)
{
    this->context.metrics.noteDroppedAnswer(dropped.status == 0 ? "unasked" : dropped.isRefusal ? "refusal" : "answer");
    this->context.log.write(this->now(), LogWeight::Notable, "answer_dropped",
        { { "request", this->requestId }, { "upstream", destination }, { "status", boost::json::value(dropped.status) },
            { "names_request", std::string_view(dropped.namedRequest).substr(0, maximumLoggedIdBytes) },
            { "not_run", boost::json::value(dropped.isRefusal) },
            { "connection", boost::json::value(dropped.connection) },
            { "earlier_requests", boost::json::value(dropped.earlierRequests) } });
}

void RequestServer::noteHarmless(const AttemptOutcome& outcome)
{
    PromptQuarantine& quarantine = this->context.core.getQuarantine();
    const ServiceId& service = this->admitted->service;
    // Upstreams that crash under a request complete no answer to it, of whatever status.
    if (const auto known = quarantine.findKnownIdentity(service, this->identity, this->admitted->workspace))
        quarantine.noteRequestAnswered(this->now(), service, *known);
    if (outcome.head.status == successStatus)
        quarantine.noteAnswered(this->now(), service, this->promptParts);
}

asio::awaitable<void> RequestServer::investigateLostConnection(
    const UpstreamRecord& upstream, const AttemptOutcome& outcome)
{
    PromptQuarantine& quarantine = this->context.core.getQuarantine();
    const PromptParts unproven = quarantine.findUnproven(this->now(), this->admitted->service, this->promptParts);
    const bool isHarmless = unproven.empty();
    const bool hasBegunAnswer = outcome.progress == AnswerProgress::Head;
    if (outcome.isRefused)
        this->context.upstreamWatch.noteRefusal(upstream);
    if (!outcome.isConnectionLost)
        co_return;
    // An upstream may also end single connections. Only one that has crashed refuses new ones.
    if (!co_await this->context.upstreamWatch.refusesConnections(
            upstream, std::min(connectLimit, this->getRemaining())))
        co_return;
    // This VM may have lost its links instead.
    UpstreamWatch& watch = this->context.upstreamWatch;
    const bool hasEnded = co_await watch.reachesOthers(upstream.id);
    if (!hasEnded)
        co_return;
    // Many streams end with their upstream. Parts that are known to be harmless would only hide the others among them.
    const bool isStreaming = outcome.progress == AnswerProgress::Events;
    const bool leavesOutHarmless = isStreaming || (isHarmless && !hasBegunAnswer);
    const PromptPartId request = this->identity.make(this->admitted->workspace);
    const CrashSuspect suspect { upstream.id.string() + '@' + std::to_string(upstream.startedAt),
        { this->admitted->service, withIdentity(leavesOutHarmless ? unproven : this->promptParts, request) },
        toSuspectProgress(outcome.progress), Milliseconds(0), std::exchange(this->hasCrashedUpstream, true) };
    quarantine.noteSuspect(this->now(), suspect);
    this->isCrashSuspect = this->isCrashSuspect || (hasBegunAnswer && !isHarmless)
        || quarantine.isLikelyCause(this->admitted->service, request);
    this->context.log.write(this->now(), LogWeight::Notable, "upstream_crashed",
        { { "request", this->requestId }, { "upstream", upstream.id.string() },
            { "service", this->admitted->service.string() }, { "progress", toString(outcome.progress) },
            { "known_harmless", boost::json::value(isHarmless) }, { "request_identity", request.string() },
            { "not_tried_again", boost::json::value(this->isCrashSuspect) },
            { "prompt_parts",
                describeSharedParts(findHeader(this->request.headers, this->context.names.promptParts)) } });
}

void RequestServer::noteStatement(const UpstreamRecord& upstream, const UpstreamStatement& statement)
{
    const KnownUpstream* known = this->context.core.getUpstreams().find(upstream.id);
    const int sentBefore = known ? known->sentSinceLimited : 0;
    const StatementChange change = this->context.core.noteStatement(this->now(), upstream, statement);
    const auto log = [&](std::string_view event, std::string_view name, boost::json::value value) {
        this->context.log.write(this->now(), LogWeight::Notable, event,
            { { "request", this->requestId }, { "upstream", upstream.id.string() }, { name, std::move(value) },
                { "sent_while_limited", sentBefore } });
    };
    if (change.limit)
        log(statement.requestsPerSecond ? "upstream_limited" : "upstream_unlimited", "per_second",
            statement.requestsPerSecond.value_or(0));
    if (change.rejectionLimit)
        log(statement.rejectionLimit ? "upstream_limits_rejections" : "upstream_bears_rejections", "per_second",
            statement.rejectionLimit.value_or(0));
    if (change.leaving)
        log("upstream_stated_leaving", "started_at", upstream.startedAt);
    if (change.rejecting)
        log("upstream_rejecting", "for_ms", statement.rejectsFor.count());
}

void RequestServer::reportAttemptEnd(const RunningAttempt& running, const AttemptOutcome& outcome)
{
    const UpstreamId& upstream = std::get<UseUpstream>(running.destination).upstream.id;
    UpstreamTable& table = this->context.core.getUpstreams();
    this->context.metrics.noteAttempt(outcome.isOverLimit ? "over_limit" : toString(outcome.end));
    if (outcome.load)
        table.noteLoad(this->now(), upstream, *outcome.load);
    if (outcome.endedBy == AttemptEndedBy::OtherAttempt || outcome.endedBy == AttemptEndedBy::OtherVersion)
        return;
    const UpstreamReach& reach = this->context.core.getUpstreamReach();
    if (outcome.end != AttemptEnd::Complete && reach.mayExplainFailure(running.sentAt))
        return;
    switch (outcome.end) {
    case AttemptEnd::Complete:
        table.noteHealthObservation(this->now(), upstream,
            outcome.head.status >= 500 ? HealthObservation::Failure : HealthObservation::Success);
        break;
    case AttemptEnd::NotSent:
        table.noteHealthObservation(this->now(), upstream, HealthObservation::Unreachable);
        this->context.core.getUpstreamReach().noteUnreachable(upstream);
        break;
    case AttemptEnd::Unanswered:
    case AttemptEnd::Broken:
        if (outcome.endedBy != AttemptEndedBy::Stop)
            table.noteHealthObservation(this->now(), upstream, HealthObservation::Failure);
        break;
    case AttemptEnd::NotRun:
        // Another upstream now uses the address, so this one no longer exists even if it is still listed.
        if (outcome.head.status == misdirectedRequestStatus)
            table.noteHealthObservation(this->now(), upstream, HealthObservation::Unreachable);
        else
            table.noteRejection(this->now(), upstream);
        break;
    case AttemptEnd::CallerDisconnected:
        break;
    }
}

AttemptTimeouts RequestServer::makeTimeouts() const
{
    const ServingRoute& route = *this->admitted->route;
    AttemptTimeouts timeouts;
    timeouts.connect = std::min(this->wasLastAttemptRelayed ? relayConnectLimit : connectLimit, this->getRemaining());
    timeouts.end = toTimePoint(this->getRemaining());
    timeouts.firstByte = timeouts.end;
    timeouts.maximumSilence = this->getRemaining();
    const bool mayTryAgain = route.isRetryable && this->possibleRuns + 1 < route.maximumAttempts;
    if (mayTryAgain) {
        const Milliseconds waitLimit = std::max(
            minimumFirstByteTimeout, route.isStream ? route.latencyTarget * 2 : route.latencyTarget * 9 / 10);
        timeouts.firstByte = std::min(timeouts.end, toTimePoint(waitLimit));
    }
    if (route.isResumable && mayTryAgain)
        timeouts.maximumSilence = std::max(longestSoundSilence, route.getStreamPatience() / silenceDivisor);
    return timeouts;
}

bool RequestServer::mayForward(const AttemptOutcome& outcome) const
{
    const bool isRetryableFailure = outcome.head.status >= 500 && !this->isRelayed;
    return !isRetryableFailure || !this->admitted->route->isRetryable
        || this->possibleRuns >= this->admitted->route->maximumAttempts;
}

void RequestServer::noteFailure(const AttemptOutcome& outcome)
{
    if (outcome.end != AttemptEnd::Complete) {
        const bool isDeadline = outcome.endedBy == AttemptEndedBy::Deadline;
        this->lastEndedBy = isDeadline && this->isEndedByStop() ? AttemptEndedBy::Stop : outcome.endedBy;
        this->lastSilentFor = outcome.silentFor;
    }
    if (outcome.progress == AnswerProgress::Events)
        this->lastEventsAt = this->now() - outcome.silentFor;
}

asio::awaitable<RequestServer::NextAction> RequestServer::handleOutcome(AttemptOutcome& outcome)
{
    this->noteFailure(outcome);
    if (outcome.end == AttemptEnd::CallerDisconnected) {
        this->logRequestEnd("request_left", LogWeight::Notable, "caller_gone", 0);
        co_return NextAction::Done;
    }
    this->possibleRuns += mayHaveRun(outcome) ? 1 : 0;
    if (outcome.end != AttemptEnd::Complete)
        co_return co_await this->retryOrGiveUp(outcome);
    if (this->splitter && outcome.head.status == 200) {
        co_await this->finishStream(outcome);
        co_return NextAction::Done;
    }
    // The upstream that was to resume a stream sent no stream, so its answer cannot be forwarded.
    if (this->answer.hasBegun())
        co_return co_await this->retryOrGiveUp(outcome);
    if (!this->mayForward(outcome) && this->context.core.tryRetry(this->now(), this->admitted->service)) {
        this->keptFailure = std::move(outcome);
        co_return NextAction::TryAgain;
    }
    co_await this->forwardAnswer(outcome);
    co_return NextAction::Done;
}

asio::awaitable<void> RequestServer::forwardAnswer(const AttemptOutcome& outcome)
{
    co_await this->answer.writeComplete(outcome.head, outcome.body);
    this->context.metrics.noteCompleteAnswer(this->now() - this->arrivedAt);
    this->logRequestEnd("request_answered", outcome.head.status < 500 ? LogWeight::Routine : LogWeight::Notable,
        "upstream", outcome.head.status);
}

asio::awaitable<void> RequestServer::finishStream(const AttemptOutcome& outcome)
{
    bool isSent = true;
    if (!this->answer.hasBegun())
        isSent = co_await this->answer.begin(outcome.head);
    if (isSent)
        isSent = co_await this->answer.end();
    this->context.metrics.noteCompleteAnswer(this->now() - this->arrivedAt);
    this->logRequestEnd("request_answered", isSent ? LogWeight::Routine : LogWeight::Notable,
        isSent ? "stream" : "caller_gone", outcome.head.status);
}

std::optional<std::variant<UseUpstream, UseRelay>> RequestServer::reserveNextAttempt(Milliseconds silentFor)
{
    const ServingRoute& route = *this->admitted->route;
    const bool hasBegun = this->answer.hasBegun();
    const bool hasAttemptsLeft = this->possibleRuns + 1 < route.maximumAttempts
        && this->countedAttempts < route.maximumAttempts + extraPlacements;
    if (this->isRelayed || this->isCrashSuspect || !route.isRetryable || (hasBegun && !this->mayContinueStream())
        || !hasAttemptsLeft || this->getRemaining() <= minimumAttemptTime
        || !this->context.core.hasRetry(this->now(), this->admitted->service))
        return std::nullopt;
    PlacementQuery query = this->makePlacementQuery();
    // For an answer that has begun, a sound upstream of the own region is better. Shortly before its caller leaves, any
    // is.
    const bool isCallerAboutToLeave
        = silentFor >= route.getStreamPatience() - route.getStreamPatience() / lastChanceDivisor;
    query.mayTrySuspects = query.mayRelay
        = !hasBegun || isCallerAboutToLeave || this->context.core.getUpstreamReach().isLost();
    const PlacementDecision decision = this->context.core.place(this->now(), query, this->admitted->priority);
    if (std::holds_alternative<PlacementFailure>(decision)
        || !this->context.core.tryRetry(this->now(), this->admitted->service))
        return std::nullopt;
    if (const auto* upstream = std::get_if<UseUpstream>(&decision))
        return *upstream;
    return std::get<UseRelay>(decision);
}

std::string_view RequestServer::takeRetry(const AttemptOutcome& outcome)
{
    const ServingRoute& route = *this->admitted->route;
    if (this->isRelayed)
        return "relayed";
    // Another attempt would probably crash another upstream, and end all that runs there.
    if (this->isCrashSuspect)
        return "crash_suspect";
    if (this->possibleRuns > 0 && !route.isRetryable)
        return "not_repeatable";
    if (this->answer.hasBegun() && !this->mayContinueStream())
        return this->streamVersion->isEmpty() ? "uncertain_version" : "not_resumable";
    if (this->possibleRuns >= std::max(1, route.maximumAttempts)
        || this->countedAttempts >= route.maximumAttempts + extraPlacements)
        return "attempts_used";
    if (this->getRemaining() <= minimumAttemptTime)
        return this->isEndedByStop() ? "stopping" : "no_time";
    // Another attempt adds no retry load on upstreams if the last one did not reach any of them.
    const bool isExemptFromRetryBudget = outcome.end == AttemptEnd::NotSent
        || (outcome.end == AttemptEnd::NotRun && this->wasLastAttemptRelayed && outcome.isNotSentGuaranteed);
    if (!isExemptFromRetryBudget && !this->context.core.tryRetry(this->now(), this->admitted->service))
        return "retry_budget";
    return {};
}

asio::awaitable<RequestServer::NextAction> RequestServer::retryOrGiveUp(const AttemptOutcome& outcome)
{
    const std::string_view obstacle = this->takeRetry(outcome);
    if (obstacle.empty())
        co_return NextAction::TryAgain;
    co_await this->giveUp(outcome, obstacle);
    co_return NextAction::Done;
}

asio::awaitable<void> RequestServer::giveUp(const AttemptOutcome& outcome, std::string_view obstacle)
{
    if (this->answer.hasBegun()) {
        // Closing the connection without the last chunk shows the caller that the answer is incomplete.
        this->answer.disableKeepAlive();
        this->logBrokenAnswer(obstacle);
        this->logRequestEnd("request_failed", LogWeight::Notable, "stream_broken", 200);
        co_return;
    }
    if (this->keptFailure) {
        co_await this->forwardAnswer(*this->keptFailure);
        co_return;
    }
    if (this->possibleRuns == 0 && this->isEndedByStop()) {
        co_await this->refuse(Refusal { RefusalCause::Stopping, stoppingRetryDelay });
        co_return;
    }
    if (this->possibleRuns == 0) {
        const bool isLate = this->getRemaining() < minimumAttemptTime;
        co_await this->refuse(Refusal { isLate ? RefusalCause::NoTimeLeft : RefusalCause::NoRetryLeft,
            isLate ? Milliseconds(0) : this->context.core.drawReturnDelay(this->getRemaining()) });
        co_return;
    }
    const bool isLate = this->getRemaining() < minimumAttemptTime;
    const bool isEndedByStop = this->isEndedByStop();
    const std::string_view code = isEndedByStop ? "stopping" : isLate ? "timed_out" : "upstream_failed";
    co_await this->sendGatewayAnswer(isLate ? 504 : 502, code, Milliseconds(0), false);
    this->logRequestEnd(
        "request_failed", LogWeight::Notable, isEndedByStop ? code : outcome.detail, isLate ? 504 : 502);
}

asio::awaitable<void> RequestServer::refuse(const Refusal& refusal)
{
    const int status = toHttpStatus(refusal.cause);
    co_await this->sendGatewayAnswer(status, toString(refusal.cause), refusal.retryAfter, true);
    this->logRequestEnd("request_refused", LogWeight::Notable, toString(refusal.cause), status);
}

asio::awaitable<void> RequestServer::sendGatewayAnswer(
    int status, std::string_view code, Milliseconds retryAfter, bool isNotRun)
{
    const auto reason = boost::beast::http::obsolete_reason(static_cast<boost::beast::http::status>(status));
    ResponseHead head { status, std::string(reason), {} };
    head.headers.emplace_back("Content-Type", "application/json");
    if (!this->requestId.empty())
        head.headers.emplace_back(this->context.names.requestId, this->requestId);
    if (retryAfter > Milliseconds(0))
        head.headers.emplace_back(this->context.names.retryAfter, std::to_string(retryAfter.seconds()));
    if (this->isRelayed && isNotRun)
        head.headers.emplace_back(std::string(relayheaders::notRun), "1");
    if (this->isRelayed && this->isCrashSuspect)
        head.headers.emplace_back(std::string(relayheaders::crashSuspect), "1");
    if (this->isRelayed && isNotRun && !this->hasReachedUpstream)
        head.headers.emplace_back(std::string(relayheaders::notSent), "1");
    if (this->isRelayed && isNotRun && this->context.core.getUpstreamReach().isLost())
        head.headers.emplace_back(std::string(relayheaders::unreachable), "1");
    const std::string body = "{\"error\":\"" + std::string(code) + "\"}";
    co_await this->answer.writeComplete(head, body);
}

std::string RequestServer::formatCommonHead(bool isRelay) const
{
    std::string text = this->request.method + ' ' + this->request.target + " HTTP/1.1\r\n";
    const HeaderNames& names = this->context.names;
    for (const auto& [name, value] : this->request.headers) {
        const bool isReserved = std::any_of(names.reserved.begin(), names.reserved.end(),
            [&name = name](const std::string& other) { return boost::beast::iequals(other, name); });
        const bool isInternal = boost::beast::iequals(
            std::string_view(name).substr(0, relayheaders::prefix.size()), relayheaders::prefix);
        const bool isReplaced = boost::beast::iequals(name, names.deadline) || boost::beast::iequals(name, "expect")
            || boost::beast::iequals(name, names.lastEventId) || boost::beast::iequals(name, "authorization");
        if (!isReserved && !isInternal && !isReplaced)
            text.append(name).append(": ").append(value).append("\r\n");
    }
    const std::int64_t remainingMilliseconds = std::max<std::int64_t>(1, this->getRemaining().count());
    text.append(names.deadline).append(": ").append(std::to_string(remainingMilliseconds)).append("\r\n");
    text.append(names.priority).append(": ").append(std::to_string(this->admitted->priority)).append("\r\n");
    if (!this->admitted->workspace.isEmpty())
        text.append(names.workspace).append(": ").append(this->admitted->workspace.string()).append("\r\n");
    const auto lastEvent = this->splitter ? this->splitter->getLastId() : this->parseNumberHeader(names.lastEventId);
    if (lastEvent)
        text.append(names.lastEventId).append(": ").append(std::to_string(*lastEvent)).append("\r\n");
    if (!this->request.body.empty() || this->request.method == "POST")
        text.append("Content-Length: ").append(std::to_string(this->request.body.size())).append("\r\n");
    if (isRelay)
        text.append(relayheaders::stream).append(this->splitter ? ": 1\r\n" : ": 0\r\n");
    if (isRelay && this->streamVersion)
        text.append(relayheaders::version).append(": ").append(this->streamVersion->string()).append("\r\n");
    return text;
}

std::string RequestServer::formatUpstreamHead(const UseUpstream& choice) const
{
    const HeaderNames& names = this->context.names;
    std::string text = this->formatCommonHead(false);
    if (choice.cacheSource)
        text.append(names.cacheSource).append(": ").append(choice.cacheSource->string()).append("\r\n");
    text.append(names.expectedUpstream).append(": ").append(choice.upstream.id.string()).append("\r\n\r\n");
    return text;
}

std::string RequestServer::formatRelayHead(const UseRelay& relay) const
{
    std::string text = this->formatCommonHead(true);
    text.append(relayheaders::key).append(": ").append(relay.relayKey).append("\r\n");
    const Milliseconds wait = this->getCapacityDeadline() - this->now();
    if (this->context.core.getUpstreamReach().isLost() && wait > Milliseconds(0))
        text.append(relayheaders::capacityWait).append(": ").append(std::to_string(wait.count())).append("\r\n");
    text.append(relayheaders::service).append(": ").append(this->admitted->service.string()).append("\r\n\r\n");
    return text;
}

Milliseconds RequestServer::getRemaining() const
{
    const std::optional<StopSchedule>& stop = this->context.core.getStop();
    return (stop ? std::min(this->answerDeadline, stop->getRequestsEnd()) : this->answerDeadline) - this->now();
}

bool RequestServer::isEndedByStop() const
{
    const std::optional<StopSchedule>& stop = this->context.core.getStop();
    return stop && stop->getRequestsEnd() < this->answerDeadline && this->getRemaining() < minimumAttemptTime;
}

bool RequestServer::isTooLateForStop() const
{
    const std::optional<StopSchedule>& stop = this->context.core.getStop();
    return stop && this->possibleRuns == 0 && !this->answer.hasBegun()
        && this->now() + this->admitted->route->latencyTarget > stop->getRequestsEnd();
}

std::optional<std::uint64_t> RequestServer::parseNumberHeader(std::string_view header) const
{
    const std::string_view text = findHeader(this->request.headers, header);
    std::uint64_t number = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (text.empty() || error != std::errc() || end != text.data() + text.size())
        return std::nullopt;
    return number;
}

void RequestServer::logBrokenAnswer(std::string_view obstacle)
{
    const GatewayCore& core = this->context.core;
    const auto getVersion = [](const std::shared_ptr<const ServingConfiguration>& configuration) {
        return boost::json::value(configuration ? configuration->getVersion() : 0);
    };
    this->context.log.write(this->now(), LogWeight::Notable, "answer_broken_off",
        { { "request", this->requestId }, { "last_upstream", this->lastUpstream },
            { "ended_by", toString(this->lastEndedBy) }, { "not_continued", obstacle },
            { "silent_ms", boost::json::value(this->lastSilentFor.count()) },
            { "events", boost::json::value(this->splitter ? this->splitter->countEvents() : 0) },
            { "left_ms", boost::json::value(this->getRemaining().count()) },
            { "version_at_start", getVersion(this->admitted->configuration) },
            { "version_at_end", getVersion(core.getConfiguration()) },
            { "version_age_at_start_ms", boost::json::value(this->configurationAgeAtStart.count()) },
            { "version_age_at_end_ms", boost::json::value(core.getConfigurationAge(this->now()).count()) } });
}

void RequestServer::logRequestEnd(std::string_view event, LogWeight weight, std::string_view cause, int status)
{
    this->context.metrics.noteRequest(event == "request_answered" ? "answered" : cause);
    const GatewayCore& core = this->context.core;
    const Milliseconds now = this->now();
    this->context.log.write(now, weight, event,
        { { "request", this->requestId }, { "cause", cause }, { "status", boost::json::value(status) },
            { "service", this->admitted ? this->admitted->service.string() : std::string() },
            { "route", this->admitted && this->admitted->route ? this->admitted->route->id.string() : std::string() },
            { "workspace", this->admitted ? this->admitted->workspace.string() : std::string() },
            { "last_upstream", this->lastUpstream }, { "resumed_request", this->resumedRequest },
            { "attempts", boost::json::value(this->attempts) }, { "relayed", boost::json::value(this->isRelayed) },
            { "events", boost::json::value(this->splitter ? this->splitter->countEvents() : 0) },
            { "took_ms", boost::json::value((now - this->arrivedAt).count()) },
            { "left_ms", boost::json::value(this->getRemaining().count()) },
            { "configuration_version",
                boost::json::value(core.getConfiguration() ? core.getConfiguration()->getVersion() : 0) },
            { "configuration_age_ms", boost::json::value(core.getConfigurationAge(now).count()) } });
}

} // namespace papayashelf
