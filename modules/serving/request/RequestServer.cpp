#include "serving/request/RequestServer.h"

#include "serving/http/RelayHeaders.h"
#include <boost/asio/this_coro.hpp>
#include <boost/beast/http/status.hpp>
#include <charconv>
#include <random>
#include <utility>

namespace papayashelf {

namespace asio = boost::asio;

namespace {

constexpr Milliseconds connectLimit { 400 }; /**< In the region: many times a round trip, and one lost packet. */
constexpr Milliseconds relayConnectLimit { 1'200 }; /**< Between regions: the same. */
constexpr Milliseconds finalMargin { 40 }; /**< For the final answer's own way to the caller. */
constexpr Milliseconds leastUseful { 30 }; /**< With less time left no upstream can answer. */
constexpr Milliseconds streamSilence { 1'300 }; /**< Before callers give a stream up, with time for another start. */
constexpr Milliseconds shortestPatience { 400 }; /**< For the first byte, however short the goal. */
constexpr Milliseconds noDeadline { 60'000 }; /**< For a caller that states none. */
constexpr Milliseconds shortestReturn { 150 }; /**< Earliest return to a service without room. */
constexpr Milliseconds leastSpread { 450 }; /**< Returns are spread over at least this, so they come as no wave. */
constexpr std::int64_t returnPart = 4; /**< Of the time left, a fourth: a peak may be over, and an answer still fits. */
constexpr int extraPlacements = 2; /**< Beyond the route's attempts, after upstreams that did not run the request. */
constexpr Milliseconds stoppingReturn { 50 }; /**< Other VMs take requests at once. */
constexpr std::chrono::milliseconds waitStep { 40 }; /**< Between looks whether an upstream has room now. */
constexpr std::uint64_t lowestPriority = 9;
constexpr int misdirected = 421; /**< Another upstream than the expected one answers. */
constexpr std::string_view bearer = "Bearer ";

int statusOf(RefusalCause cause)
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

/** The parts that other requests share: all but the last one, which is the request's own. */
std::string_view takeSharedParts(std::string_view parts)
{
    const std::size_t comma = parts.rfind(',');
    return comma == std::string_view::npos ? std::string_view() : parts.substr(0, comma);
}

/** Sums the tokens of parts written as ID:TOKENS,ID:TOKENS. */
std::int64_t sumTokens(std::string_view parts)
{
    std::int64_t sum = 0;
    while (!parts.empty()) {
        const std::string_view part = parts.substr(0, parts.find(','));
        std::int64_t tokens = 0;
        const std::size_t colon = part.find(':');
        if (colon != std::string_view::npos)
            std::from_chars(part.data() + colon + 1, part.data() + part.size(), tokens);
        sum += tokens;
        parts.remove_prefix(std::min(parts.size(), part.size() + 1));
    }
    return sum;
}

/** When a caller with so much time left should come back to a service that has no room now. */
Milliseconds spreadReturn(Milliseconds remaining)
{
    thread_local std::minstd_rand random { std::random_device {}() };
    const Milliseconds latest = std::max(shortestReturn + leastSpread, remaining / returnPart);
    std::uniform_int_distribution<std::int64_t> spread(shortestReturn.count(), latest.count());
    return Milliseconds(spread(random));
}

/** Splits "a,b" into two numbers. */
std::optional<std::pair<std::int64_t, std::int64_t>> readTokenCounts(std::string_view text)
{
    std::int64_t in = 0;
    std::int64_t out = 0;
    const char* const end = text.data() + text.size();
    const auto [comma, inError] = std::from_chars(text.data(), end, in);
    if (inError != std::errc() || comma == end)
        return std::nullopt;
    const auto [last, outError] = std::from_chars(comma + 1, end, out);
    if (outError != std::errc())
        return std::nullopt;
    return std::pair(in, out);
}

TimePoint toTimePoint(Milliseconds fromNow)
{
    return std::chrono::steady_clock::now() + std::chrono::milliseconds(fromNow.count());
}

} // namespace

RequestServer::RequestServer(
    ServingContext& context, const IncomingRequest& request, CallerAnswer& answer, ActiveRequest& active)
    : context(context)
    , request(request)
    , answer(answer)
    , active(active)
    , requestId(findHeader(request.headers, context.names.requestId))
{
    const auto waited = std::chrono::steady_clock::now() - request.arrivedAt;
    this->arrivedAt = this->now() - Milliseconds(std::chrono::duration_cast<std::chrono::milliseconds>(waited).count());
    const auto stated = this->readNumber(context.names.deadline);
    const Milliseconds patience = stated ? Milliseconds(static_cast<std::int64_t>(*stated)) : noDeadline;
    this->endsAt = this->arrivedAt + patience - finalMargin;
    if (const auto counts = readTokenCounts(findHeader(request.headers, context.names.tokenCounts))) {
        this->promptTokens = counts->first;
        this->allTokens = counts->first + counts->second;
    }
    const std::string_view shared = takeSharedParts(findHeader(request.headers, context.names.promptParts));
    this->sharedTokens = sumTokens(shared);
    this->cacheKey = shared.empty() ? 0 : stableHash(shared);
}

asio::awaitable<void> RequestServer::serveCaller()
{
    this->context.figures.noteBegan();
    if (this->requestId.empty()) {
        co_await this->answerOwn(400, "no_request_id", Milliseconds(0), true);
    } else if (!this->context.core.takesRequests(this->now())) {
        co_await this->refuse(Refusal { RefusalCause::Stopping, stoppingReturn });
    } else {
        AdmissionQuery query;
        query.host = findHeader(this->request.headers, "host");
        query.host = query.host.substr(0, query.host.find(':'));
        query.path = this->request.getPath();
        const std::string_view authorization = findHeader(this->request.headers, "authorization");
        if (authorization.starts_with(bearer))
            query.key = authorization.substr(bearer.size());
        query.tokens = this->allTokens;
        const AdmissionDecision decision = this->context.core.admit(this->now(), query);
        if (const Refusal* refusal = std::get_if<Refusal>(&decision)) {
            co_await this->refuse(*refusal);
        } else {
            this->admitted = std::get<Admitted>(decision);
            this->endsAt = std::min(this->endsAt, this->arrivedAt + this->admitted->route->timeout);
            this->context.core.noteRequest(this->admitted->service);
            co_await this->runAttempts();
        }
    }
    this->context.figures.noteEnded();
}

asio::awaitable<void> RequestServer::serveRelayed()
{
    this->isRelayed = true;
    this->context.figures.noteBegan();
    const std::string_view key = findHeader(this->request.headers, relayheaders::key);
    if (key != this->context.core.getRelayKey() || this->requestId.empty()) {
        co_await this->answerOwn(401, "not_a_vm", Milliseconds(0), true);
    } else if (this->context.core.isStopping()) {
        co_await this->refuse(Refusal { RefusalCause::Stopping, stoppingReturn });
    } else {
        // The first VM has decided by its own configuration; this one only places and carries the request.
        static const ServingRoute plainRoute;
        static const ServingRoute streamRoute = [] {
            ServingRoute route;
            route.isStream = true;
            return route;
        }();
        const bool isStream = findHeader(this->request.headers, relayheaders::stream) == "1";
        Admitted given;
        given.configuration = this->context.core.getConfiguration();
        given.route = isStream ? &streamRoute : &plainRoute;
        given.service = ServiceId(std::string(findHeader(this->request.headers, relayheaders::service)));
        given.workspace = WorkspaceId(std::string(findHeader(this->request.headers, this->context.names.workspace)));
        if (const auto priority = this->readNumber(this->context.names.priority))
            given.priority = static_cast<int>(std::min<std::uint64_t>(*priority, lowestPriority));
        this->admitted = given;
        co_await this->runAttempts();
    }
    this->context.figures.noteEnded();
}

asio::awaitable<void> RequestServer::runAttempts()
{
    if (this->admitted->route->isStream)
        this->splitter.emplace(this->readNumber(this->context.names.lastEventId));
    Next next = Next::TryAgain;
    while (next == Next::TryAgain && !this->active.isCallerGone())
        next = co_await this->tryOnce();
    if (next == Next::Done)
        co_return;
    this->logEnd("request_left", LogWeight::Notable, "caller_gone", 0);
}

asio::awaitable<RequestServer::Next> RequestServer::tryOnce()
{
    if (this->getRemaining() < leastUseful) {
        AttemptOutcome late;
        late.detail = "no time left";
        co_await this->giveUp(late);
        co_return Next::Done;
    }
    const PlacementDecision decision
        = this->context.core.place(this->now(), this->makeQuery(), this->admitted->priority);
    if (const auto* upstream = std::get_if<UseUpstream>(&decision))
        co_return co_await this->tryUpstream(*upstream);
    if (const auto* relay = std::get_if<UseRelay>(&decision))
        co_return co_await this->tryRelay(*relay);
    const PlacementFailureCause cause = std::get<PlacementFailure>(decision).cause;
    if (cause == PlacementFailureCause::AllFull && this->now() < this->waitsUntil()) {
        asio::steady_timer timer(co_await asio::this_coro::executor, waitStep);
        co_await timer.async_wait(useResult);
        co_return Next::TryAgain;
    }
    if (this->runs > 0 || this->answer.hasBegun()) {
        AttemptOutcome unplaced;
        unplaced.detail = "no other upstream";
        co_await this->giveUp(unplaced);
        co_return Next::Done;
    }
    const RefusalCause refusal = cause == PlacementFailureCause::AllFull ? RefusalCause::AllFull
        : cause == PlacementFailureCause::AllCold                        ? RefusalCause::AllCold
                                                                         : RefusalCause::NoUpstream;
    const Milliseconds wait = this->context.core.getPrefillWait(this->now(), this->admitted->service);
    co_await this->refuse(Refusal { refusal, wait + spreadReturn(this->getRemaining()) });
    co_return Next::Done;
}

Milliseconds RequestServer::waitsUntil() const
{
    // The rest of the goal is left for reading the prompt; a request of another VM has waited there.
    return this->isRelayed ? this->arrivedAt : this->arrivedAt + this->admitted->route->latencyTarget / 3;
}

PlacementQuery RequestServer::makeQuery()
{
    PlacementQuery query;
    query.service = this->admitted->service;
    query.homes = this->admitted->homes;
    query.cacheKey = this->cacheKey;
    query.promptTokens = this->promptTokens;
    query.sharedTokens = this->sharedTokens;
    query.isFirstPlacement = !std::exchange(this->hasLooked, true);
    query.tried = this->tried;
    query.triedRegions = this->triedRegions;
    query.mayRelay = !this->isRelayed;
    return query;
}

asio::awaitable<RequestServer::Next> RequestServer::tryUpstream(const UseUpstream& choice)
{
    const UpstreamId id = choice.upstream.id;
    const PlacementInputs inputs = this->context.core.getPlacement().getInputs();
    UpstreamTable& table = this->context.core.getUpstreams();
    this->tried.insert(id);
    this->lastUpstream = id.string();
    this->wasHandedOver = false;
    table.noteStarted(id, this->promptTokens);
    if (choice.isTrial)
        table.noteTrial(this->now(), id);
    this->context.core.getPlacement().noteUse(this->now(), id);
    ++this->attempts;
    const Milliseconds sentAt = this->now();
    this->onFirstEvent = [this, id, sentAt] {
        this->context.core.getUpstreams().notePrefillDone(id, this->promptTokens);
        this->context.core.getPlacement().noteFirstEvent(
            this->admitted->service, this->promptTokens - this->sharedTokens, this->now() - sentAt);
    };
    AttemptOutcome outcome = co_await this->attempt(choice.upstream.endpoint, this->formatForUpstream(choice.upstream));
    if (std::exchange(this->onFirstEvent, {}))
        table.notePrefillDone(id, this->promptTokens);
    table.noteEnded(id);
    this->noteEnd(id, outcome);
    if (outcome.end != AttemptEnd::Whole) {
        this->context.log.write(this->now(), LogWeight::Notable, "attempt_failed",
            { { "request", this->requestId }, { "upstream", id.string() }, { "end", toString(outcome.end) },
                { "detail", outcome.detail }, { "attempt", boost::json::value(this->attempts) },
                { "reused_connection", boost::json::value(outcome.isReused) },
                { "candidates", boost::json::value(inputs.candidates) }, { "load", boost::json::value(inputs.load) },
                { "cost_ms", boost::json::value(inputs.cost) },
                { "load_age_ms", boost::json::value(inputs.loadAge.count()) } });
    }
    co_return co_await this->conclude(outcome);
}

asio::awaitable<RequestServer::Next> RequestServer::tryRelay(const UseRelay& choice)
{
    this->triedRegions.insert(choice.region);
    this->lastUpstream = "relay:" + choice.vm.string();
    this->wasHandedOver = true;
    ++this->attempts;
    Placement& placement = this->context.core.getPlacement();
    placement.noteRelayStarted(choice.region, this->promptTokens);
    this->onFirstEvent
        = [this, &placement, to = choice.region] { placement.noteRelayPrefillDone(to, this->promptTokens); };
    AttemptOutcome outcome = co_await this->attempt(choice.endpoint, this->formatForRelay(choice));
    if (const auto unread = std::exchange(this->onFirstEvent, {}))
        unread();
    this->context.figures.noteAttempt(toString(outcome.end));
    if (outcome.end != AttemptEnd::Whole) {
        if (outcome.end == AttemptEnd::NotSent || outcome.end == AttemptEnd::Unanswered)
            this->context.core.getPlacement().noteRelayFailed(this->now(), choice.vm);
        this->context.log.write(this->now(), LogWeight::Notable, "relay_failed",
            { { "request", this->requestId }, { "vm", choice.vm.string() }, { "region", choice.region.string() },
                { "end", toString(outcome.end) }, { "detail", outcome.detail },
                { "attempt", boost::json::value(this->attempts) } });
    }
    co_return co_await this->conclude(outcome);
}

asio::awaitable<AttemptOutcome> RequestServer::attempt(const Endpoint& endpoint, const std::string& bytes)
{
    UpstreamAttempt attempt(this->context.pool, this->context.names, this->active);
    if (!this->splitter)
        co_return co_await attempt.run(endpoint, bytes, this->requestId, this->makeTimes(), nullptr);
    StreamTarget target { &this->answer, &*this->splitter, [this] {
                             this->context.figures.noteFirstByte(this->now() - this->arrivedAt);
                             if (this->onFirstEvent)
                                 std::exchange(this->onFirstEvent, {})();
                         } };
    co_return co_await attempt.run(endpoint, bytes, this->requestId, this->makeTimes(), &target);
}

void RequestServer::noteEnd(const UpstreamId& upstream, const AttemptOutcome& outcome)
{
    UpstreamTable& table = this->context.core.getUpstreams();
    this->context.figures.noteAttempt(toString(outcome.end));
    if (outcome.load)
        table.noteLoad(this->now(), upstream, *outcome.load);
    switch (outcome.end) {
    case AttemptEnd::Whole:
        table.noteHealthObservation(this->now(), upstream,
            outcome.head.status >= 500 ? HealthObservation::Failure : HealthObservation::Success);
        break;
    case AttemptEnd::NotSent:
        table.noteHealthObservation(this->now(), upstream, HealthObservation::Unreachable);
        break;
    case AttemptEnd::Unanswered:
    case AttemptEnd::Broken:
        table.noteHealthObservation(this->now(), upstream, HealthObservation::Failure);
        break;
    case AttemptEnd::NotRun:
        // Another upstream has the address: this one is gone, whatever the list still says.
        if (outcome.head.status == misdirected)
            table.noteHealthObservation(this->now(), upstream, HealthObservation::Unreachable);
        break;
    case AttemptEnd::CallerDisconnected:
        break;
    }
}

AttemptTimes RequestServer::makeTimes() const
{
    const ServingRoute& route = *this->admitted->route;
    AttemptTimes times;
    times.connect = std::min(this->wasHandedOver ? relayConnectLimit : connectLimit, this->getRemaining());
    times.end = toTimePoint(this->getRemaining());
    times.firstByte = times.end;
    times.silence = this->getRemaining();
    const bool mayTryAgain = route.isRetryable && this->runs + 1 < route.maximumAttempts;
    if (mayTryAgain) {
        const Milliseconds patience
            = std::max(shortestPatience, route.isStream ? route.latencyTarget * 2 : route.latencyTarget * 9 / 10);
        times.firstByte = std::min(times.end, toTimePoint(patience));
    }
    if (route.isResumable && mayTryAgain)
        times.silence = streamSilence;
    return times;
}

bool RequestServer::isPassable(const AttemptOutcome& outcome) const
{
    const bool isWorthRetry = outcome.head.status >= 500 && !this->isRelayed;
    return !isWorthRetry || !this->admitted->route->isRetryable || this->runs >= this->admitted->route->maximumAttempts;
}

asio::awaitable<RequestServer::Next> RequestServer::conclude(AttemptOutcome& outcome)
{
    if (outcome.end == AttemptEnd::CallerDisconnected) {
        this->logEnd("request_left", LogWeight::Notable, "caller_gone", 0);
        co_return Next::Done;
    }
    const bool mayHaveRun = outcome.end == AttemptEnd::Whole || outcome.end == AttemptEnd::Unanswered
        || outcome.end == AttemptEnd::Broken;
    this->runs += mayHaveRun ? 1 : 0;
    if (outcome.end != AttemptEnd::Whole)
        co_return co_await this->retryOrGiveUp(outcome);
    if (this->splitter && outcome.head.status == 200) {
        co_await this->finishStream(outcome);
        co_return Next::Done;
    }
    if (this->answer.hasBegun()) // A resumed stream whose next upstream failed: nothing more can be shown.
        co_return co_await this->retryOrGiveUp(outcome);
    if (!this->isPassable(outcome) && this->context.core.tryRetry(this->now(), this->admitted->service)) {
        this->kept = std::move(outcome);
        co_return Next::TryAgain;
    }
    co_await this->passWhole(outcome);
    co_return Next::Done;
}

asio::awaitable<void> RequestServer::passWhole(const AttemptOutcome& outcome)
{
    co_await this->answer.writeWhole(outcome.head, outcome.body);
    this->context.figures.noteWhole(this->now() - this->arrivedAt);
    this->logEnd("request_answered", outcome.head.status < 500 ? LogWeight::Routine : LogWeight::Notable, "upstream",
        outcome.head.status);
}

asio::awaitable<void> RequestServer::finishStream(const AttemptOutcome& outcome)
{
    bool isSent = true;
    if (!this->answer.hasBegun())
        isSent = co_await this->answer.begin(outcome.head);
    if (isSent)
        isSent = co_await this->answer.end();
    this->context.figures.noteWhole(this->now() - this->arrivedAt);
    this->logEnd("request_answered", isSent ? LogWeight::Routine : LogWeight::Notable,
        isSent ? "stream" : "caller_gone", outcome.head.status);
}

asio::awaitable<RequestServer::Next> RequestServer::retryOrGiveUp(const AttemptOutcome& outcome)
{
    const ServingRoute& route = *this->admitted->route;
    const bool isSafe = this->runs == 0 || route.isRetryable;
    const bool canContinue
        = !this->answer.hasBegun() || (route.isResumable && this->splitter && !this->splitter->hasEventWithoutId());
    const bool hasAttempt
        = this->runs < std::max(1, route.maximumAttempts) && this->attempts < route.maximumAttempts + extraPlacements;
    // A request that reached no upstream is not a retry to them.
    const bool isFree
        = outcome.end == AttemptEnd::NotSent || (outcome.end == AttemptEnd::NotRun && this->wasHandedOver);
    if (!this->isRelayed && isSafe && canContinue && hasAttempt && this->getRemaining() > leastUseful
        && (isFree || this->context.core.tryRetry(this->now(), this->admitted->service)))
        co_return Next::TryAgain;
    co_await this->giveUp(outcome);
    co_return Next::Done;
}

asio::awaitable<void> RequestServer::giveUp(const AttemptOutcome& outcome)
{
    if (this->answer.hasBegun()) {
        // The answer stays visibly incomplete: the connection ends without the last chunk.
        this->answer.closeAfter();
        this->logEnd("request_failed", LogWeight::Notable, "stream_broken", 200);
        co_return;
    }
    if (this->kept) {
        co_await this->passWhole(*this->kept);
        co_return;
    }
    if (this->runs == 0) {
        const bool isLate = this->getRemaining() < leastUseful;
        co_await this->refuse(Refusal { isLate ? RefusalCause::NoTimeLeft : RefusalCause::NoRetryLeft,
            isLate ? Milliseconds(0) : spreadReturn(this->getRemaining()) });
        co_return;
    }
    const bool isLate = this->getRemaining() < leastUseful;
    co_await this->answerOwn(isLate ? 504 : 502, isLate ? "timed_out" : "upstream_failed", Milliseconds(0), false);
    this->logEnd("request_failed", LogWeight::Notable, outcome.detail, isLate ? 504 : 502);
}

asio::awaitable<void> RequestServer::refuse(const Refusal& refusal)
{
    const int status = statusOf(refusal.cause);
    co_await this->answerOwn(status, toString(refusal.cause), refusal.retryAfter, true);
    this->logEnd("request_refused", LogWeight::Notable, toString(refusal.cause), status);
}

asio::awaitable<void> RequestServer::answerOwn(
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
    const std::string body = "{\"error\":\"" + std::string(code) + "\"}";
    co_await this->answer.writeWhole(head, body);
}

std::string RequestServer::formatCommon(bool isRelay) const
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
    const std::int64_t left = std::max<std::int64_t>(1, this->getRemaining().count());
    text.append(names.deadline).append(": ").append(std::to_string(left)).append("\r\n");
    text.append(names.priority).append(": ").append(std::to_string(this->admitted->priority)).append("\r\n");
    if (!this->admitted->workspace.isEmpty())
        text.append(names.workspace).append(": ").append(this->admitted->workspace.string()).append("\r\n");
    const auto lastEvent = this->splitter ? this->splitter->getLastId() : this->readNumber(names.lastEventId);
    if (lastEvent)
        text.append(names.lastEventId).append(": ").append(std::to_string(*lastEvent)).append("\r\n");
    if (!this->request.body.empty() || this->request.method == "POST")
        text.append("Content-Length: ").append(std::to_string(this->request.body.size())).append("\r\n");
    if (isRelay)
        text.append(relayheaders::stream).append(this->splitter ? ": 1\r\n" : ": 0\r\n");
    return text;
}

std::string RequestServer::formatForUpstream(const UpstreamRecord& upstream) const
{
    std::string text = this->formatCommon(false);
    text.append(this->context.names.expectedUpstream).append(": ").append(upstream.id.string()).append("\r\n\r\n");
    return text + this->request.body;
}

std::string RequestServer::formatForRelay(const UseRelay& relay) const
{
    std::string text = this->formatCommon(true);
    text.append(relayheaders::key).append(": ").append(relay.relayKey).append("\r\n");
    text.append(relayheaders::service).append(": ").append(this->admitted->service.string()).append("\r\n\r\n");
    return text + this->request.body;
}

Milliseconds RequestServer::getRemaining() const
{
    return this->endsAt - this->now();
}

std::optional<std::uint64_t> RequestServer::readNumber(std::string_view header) const
{
    const std::string_view text = findHeader(this->request.headers, header);
    std::uint64_t number = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (text.empty() || error != std::errc() || end != text.data() + text.size())
        return std::nullopt;
    return number;
}

void RequestServer::logEnd(std::string_view event, LogWeight weight, std::string_view cause, int status)
{
    this->context.figures.noteRequest(event == "request_answered" ? "answered" : cause);
    const GatewayCore& core = this->context.core;
    const Milliseconds now = this->now();
    this->context.log.write(now, weight, event,
        { { "request", this->requestId }, { "cause", cause }, { "status", boost::json::value(status) },
            { "service", this->admitted ? this->admitted->service.string() : std::string() },
            { "route", this->admitted && this->admitted->route ? this->admitted->route->id.string() : std::string() },
            { "workspace", this->admitted ? this->admitted->workspace.string() : std::string() },
            { "last_upstream", this->lastUpstream }, { "attempts", boost::json::value(this->attempts) },
            { "relayed", boost::json::value(this->isRelayed) },
            { "events", boost::json::value(this->splitter ? this->splitter->countEvents() : 0) },
            { "took_ms", boost::json::value((now - this->arrivedAt).count()) },
            { "left_ms", boost::json::value(this->getRemaining().count()) },
            { "configuration_version",
                boost::json::value(core.getConfiguration() ? core.getConfiguration()->getVersion() : 0) },
            { "configuration_age_ms", boost::json::value(core.getConfigurationAge(now).count()) } });
}

} // namespace papayashelf
