#include "serving/upstream/UpstreamAttempt.h"

#include "entrance/request/ForwardedHead.h"
#include "entrance/upstream/AnswerBounds.h"
#include "entrance/upstream/ContentGap.h"
#include "foundation/http/MessageFraming.h"
#include "serving/http/RelayHeaders.h"
#include <algorithm>
#include <array>
#include <boost/beast/http/error.hpp>
#include <charconv>
#include <cmath>
#include <netinet/tcp.h>
#include <utility>

namespace papayashelf {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

constexpr std::size_t receiveBytes = 16 * kibibyte;
constexpr std::size_t maximumHeaderBytes = 32 * kibibyte;
constexpr std::size_t maximumBodyBytes = 8 * mebibyte; /**< For an answer that is not streamed. */
constexpr std::size_t maximumUnusedBodyBytes = 64 * kibibyte; /**< For a refusal or an answer to another request. */
constexpr int maximumStrayAnswers = 16; /**< Answers to earlier requests that are read ahead of the right one. */
/** Ahead of the upstream's own idle close, so that it does not close on a request in transit. */
constexpr Milliseconds idleCloseMargin { 1'000 };
constexpr Milliseconds maximumIdleTime { 30'000 }; /**< Even if the upstream announces a longer idle timeout. */
/** Milliseconds without a TCP acknowledgement until the connection is closed. */
constexpr unsigned int unacknowledgedLimit = 2'000;

/** Interval at which the silence handler of an attempt at a silent upstream is called again. */
constexpr std::chrono::milliseconds silenceCheckInterval { 200 };
constexpr int successStatus = 200;
constexpr int firstServerErrorStatus = 500;
constexpr double longestTimeSeconds = 86'400; /**< Keeps any stated time within the range of Milliseconds. */

using UserTimeout = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;

/** Parses "timeout=N" of a Keep-Alive header, with N in seconds. */
std::optional<Milliseconds> readIdleLimit(std::string_view text)
{
    constexpr std::string_view name = "timeout=";
    const std::size_t at = text.find(name);
    if (at == std::string_view::npos)
        return std::nullopt;
    text.remove_prefix(at + name.size());
    std::int64_t seconds = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), seconds);
    return error == std::errc() ? std::optional(Milliseconds::fromSeconds(seconds)) : std::nullopt;
}

bool hasHeader(const http::response_parser<http::string_body>& parser, std::string_view name)
{
    return parser.get().find(boost::beast::string_view(name.data(), name.size())) != parser.get().end();
}

/** The values of a header in an answer's head. */
struct HeaderLookup {
    std::size_t count = 0;
    std::string_view value; /**< Empty unless the header comes once. */
};

HeaderLookup findHeader(const http::response_parser<http::string_body>& parser, std::string_view name)
{
    const auto [first, last] = parser.get().equal_range(boost::beast::string_view(name.data(), name.size()));
    const auto count = static_cast<std::size_t>(std::distance(first, last));
    if (count != 1)
        return { count, {} };
    return { count, std::string_view(first->value().data(), first->value().size()) };
}

/** Reads a finite, non-negative decimal number without an exponent. */
std::optional<double> readDecimal(std::string_view text)
{
    double number = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number, std::chars_format::fixed);
    const bool isNumber = !text.empty() && error == std::errc() && end == text.data() + text.size();
    return isNumber && std::isfinite(number) && number >= 0 ? std::optional(number) : std::nullopt;
}

/** Returns the headers for the caller, without those that VMs exchange. */
HeaderFields extractForwardableHeaders(const http::response<http::string_body>& message)
{
    HeaderFields all;
    for (const auto& field : message) {
        const std::string_view name(field.name_string().data(), field.name_string().size());
        if (!boost::beast::iequals(name.substr(0, relayheaders::prefix.size()), relayheaders::prefix))
            all.emplace_back(std::string(name), std::string(field.value()));
    }
    return withoutHopByHop(all);
}

} // namespace

void prepareUpstreamSocket(asio::ip::tcp::socket& socket)
{
    boost::system::error_code ignored;
    socket.set_option(asio::ip::tcp::no_delay(true), ignored);
    socket.set_option(UserTimeout(unacknowledgedLimit), ignored);
    socket.non_blocking(true, ignored);
}

void ActiveRequest::noteCallerGone()
{
    this->callerGone = true;
    this->closeConnections();
}

void ActiveRequest::noteStopped()
{
    if (std::exchange(this->stopped, true))
        return;
    this->closeConnections();
    if (this->onStopped)
        this->onStopped();
}

void ActiveRequest::closeConnections()
{
    boost::system::error_code ignored;
    for (UpstreamConnection* connection : this->connections)
        connection->socket.close(ignored);
}

UpstreamAttempt::UpstreamAttempt(
    UpstreamPool& pool, MemoryBudget& memory, const HeaderNames& names, ActiveRequest& request)
    : pool(pool)
    , names(names)
    , request(request)
    , reservation(memory)
{
}

AttemptEndedBy UpstreamAttempt::findWhoEndedIt() const
{
    if (this->request.isCallerGone())
        return AttemptEndedBy::Caller;
    if (this->request.isStopped())
        return AttemptEndedBy::Stop;
    if (this->isCancelled)
        return AttemptEndedBy::OtherAttempt;
    if (this->isOfOtherVersion)
        return AttemptEndedBy::OtherVersion;
    if (!this->exceededBound.empty())
        return AttemptEndedBy::Bound;
    if (this->isAbandoned && !this->isConnectionLost)
        return AttemptEndedBy::Silence;
    if (!this->connection || !this->connection->deadline.hasPassed())
        return AttemptEndedBy::Upstream;
    return std::chrono::steady_clock::now() < this->timeouts.end ? AttemptEndedBy::Silence : AttemptEndedBy::Deadline;
}

AttemptOutcome UpstreamAttempt::makeOutcome() const
{
    AttemptOutcome result;
    if (this->connection) {
        result.connection = this->connection->number;
        result.earlierRequests = this->connection->countEarlierRequests();
    }
    return result;
}

AttemptOutcome UpstreamAttempt::fail(AttemptEnd end, std::string detail) const
{
    AttemptOutcome result = this->makeOutcome();
    result.endedBy = this->findWhoEndedIt();
    result.silentFor = this->getSilence();
    result.end = this->request.isCallerGone() ? AttemptEnd::CallerDisconnected : end;
    result.isOverLimit = !this->exceededBound.empty();
    result.detail = result.isOverLimit ? "exceeded " + std::string(this->exceededBound) : std::move(detail);
    result.progress = this->progress;
    result.isConnectionLost = this->isConnectionLost;
    result.isRefused = this->isRefused;
    return result;
}

asio::awaitable<std::optional<AttemptOutcome>> UpstreamAttempt::open(const Endpoint& endpoint, std::string_view head,
    std::string_view body, std::string_view requestId, AttemptTimeouts newTimeouts, bool isStream)
{
    this->timeouts = newTimeouts;
    this->lastBytesAt = std::chrono::steady_clock::now();
    this->connection = this->pool.takeIdle(endpoint, requestId);
    if (!this->connection) {
        this->connection = this->pool.makeConnection(endpoint);
        this->request.addConnection(this->connection.get());
        if (!co_await this->connect(endpoint, newTimeouts.connect))
            co_return this->fail(AttemptEnd::NotSent, "no connection");
    }
    this->request.addConnection(this->connection.get());
    this->connection->deadline.setExtension([this] { return this->extendWait(); });
    this->connection->deadline.set(this->timeouts.firstByte);
    const std::array<asio::const_buffer, 2> pieces { asio::buffer(head), asio::buffer(body) };
    const auto [failure, written] = co_await this->connection->send(requestId, pieces);
    this->lastBytesAt = std::chrono::steady_clock::now();
    if (failure && written == 0 && this->connection->countEarlierRequests() == 0)
        co_return this->fail(AttemptEnd::NotSent, "connection broke before the request");
    std::optional<AttemptOutcome> result = co_await this->readAnswer(isStream);
    if (!result && this->isCancelled)
        result = this->fail(AttemptEnd::Unanswered, "cancelled");
    co_return result;
}

asio::awaitable<AttemptOutcome> UpstreamAttempt::finish(StreamTarget* stream)
{
    if (stream && this->parser->get().result_int() == successStatus)
        co_return co_await this->forwardStream(*this->parser, *stream);
    const bool isWhole = co_await this->readBody(*this->parser, maximumBodyBytes);
    co_return isWhole ? this->evaluateAnswer(*this->parser) : this->fail(AttemptEnd::Unanswered, "answer broke off");
}

void UpstreamAttempt::cancel()
{
    this->isCancelled = true;
    boost::system::error_code ignored;
    if (this->connection)
        this->connection->socket.close(ignored);
}

AttemptOutcome UpstreamAttempt::reject()
{
    this->isOfOtherVersion = true;
    boost::system::error_code ignored;
    this->connection->socket.close(ignored);
    return this->fail(AttemptEnd::Unanswered, "another version");
}

SoftwareVersion UpstreamAttempt::getRelayedVersion() const
{
    return SoftwareVersion(std::string(findHeader(*this->parser, relayheaders::version).value));
}

bool UpstreamAttempt::isEnded() const
{
    return !this->connection->socket.is_open() || this->request.isCallerGone() || this->request.isStopped();
}

void UpstreamAttempt::setActivityHandler(std::function<void(bool hasEnded)> handler)
{
    this->onActivity.reset();
    if (!handler || this->isEnded())
        return;
    this->onActivity = std::make_shared<std::function<void(bool)>>(std::move(handler));
    this->connection->socket.async_wait(asio::ip::tcp::socket::wait_read,
        [this, weak = std::weak_ptr(this->onActivity)](const boost::system::error_code& failure) {
            const auto onEvent = weak.lock();
            if (!onEvent)
                return;
            const boost::system::error_code ended = failure ? failure : this->connection->peek();
            this->isConnectionLost = ended.failed() && !this->isEnded();
            (*onEvent)(ended.failed());
        });
}

asio::awaitable<bool> UpstreamAttempt::connect(const Endpoint& endpoint, Milliseconds limit)
{
    boost::system::error_code ignored;
    auto& socket = this->connection->socket;
    const auto address = asio::ip::make_address(endpoint.address, ignored);
    this->connection->deadline.setAfter(limit);
    const auto [failure] = co_await socket.async_connect({ address, endpoint.port }, useResult);
    this->isRefused = failure == asio::error::connection_refused;
    if (failure || !socket.is_open())
        co_return false;
    prepareUpstreamSocket(socket);
    if (this->onConnected)
        this->onConnected();
    co_return true;
}

Milliseconds UpstreamAttempt::getSilence() const
{
    const auto silence = std::chrono::steady_clock::now() - this->lastBytesAt;
    return Milliseconds(std::chrono::duration_cast<std::chrono::milliseconds>(silence).count());
}

std::optional<TimePoint> UpstreamAttempt::extendWait()
{
    const TimePoint now = std::chrono::steady_clock::now();
    if (now >= this->timeouts.end || !this->onSilence)
        return std::nullopt;
    if (!this->isReading)
        return std::min(this->timeouts.end, now + silenceCheckInterval);
    this->isSilentTooLong = true;
    boost::system::error_code ignored;
    this->connection->socket.cancel(ignored);
    return this->timeouts.end;
}

asio::awaitable<bool> UpstreamAttempt::outlastSilence()
{
    const bool isReplaced = co_await this->onSilence();
    boost::system::error_code ignored;
    if (this->onActivity) {
        this->onActivity.reset();
        this->connection->socket.cancel(ignored);
    }
    if (this->isEnded() || !isReplaced)
        co_return !this->isEnded();
    this->isAbandoned = true;
    this->connection->socket.close(ignored);
    co_return false;
}

bool UpstreamAttempt::exceed(std::string_view bound)
{
    this->exceededBound = bound;
    return false;
}

asio::awaitable<bool> UpstreamAttempt::receive(TimePoint until)
{
    if (this->connection->buffer.size() > answerbounds::maximumUnparsedBytes)
        co_return this->exceed("maximum_unparsed_bytes");
    const auto space = this->connection->buffer.prepare(receiveBytes);
    while (true) {
        this->connection->deadline.set(std::min(until, this->timeouts.end));
        this->isReading = true;
        const auto [failure, count] = co_await this->connection->receive(space);
        this->isReading = false;
        const bool wasSilentTooLong = std::exchange(this->isSilentTooLong, false);
        if (!failure) {
            this->connection->buffer.commit(count);
            this->lastBytesAt = std::chrono::steady_clock::now();
            if (this->onBytes)
                this->onBytes();
            co_return true;
        }
        if (failure == asio::error::operation_aborted && wasSilentTooLong && !this->isEnded()) {
            if (!co_await this->outlastSilence())
                co_return false;
            until = std::chrono::steady_clock::now() + silenceCheckInterval;
            continue;
        }
        this->hasEndedInOrder = failure == asio::error::eof && this->connection->end.isOrderly();
        this->isConnectionLost = !this->connection->deadline.hasPassed() && !this->isCancelled
            && !this->request.isCallerGone() && !this->request.isStopped();
        co_return false;
    }
}

asio::awaitable<bool> UpstreamAttempt::readHead(Parser& parser)
{
    parser.header_limit(maximumHeaderBytes);
    parser.body_limit(maximumBodyBytes);
    while (!parser.is_header_done()) {
        boost::system::error_code failure;
        const std::size_t consumed = parser.put(this->connection->buffer.cdata(), failure);
        this->connection->buffer.consume(consumed);
        if (failure == http::error::header_limit)
            co_return this->exceed("maximum_header_bytes");
        if (failure && failure != http::error::need_more)
            co_return false;
        if (parser.is_header_done())
            break;
        if (!co_await this->receive(this->timeouts.firstByte))
            co_return false;
    }
    co_return true;
}

asio::awaitable<bool> UpstreamAttempt::readBody(Parser& parser, std::size_t maximumBytes)
{
    parser.body_limit(maximumBytes);
    if (parser.content_length().value_or(0) > maximumBytes)
        co_return this->exceed("maximum_body_bytes");
    parser.eager(true);
    while (!parser.is_done()) {
        boost::system::error_code failure;
        if (this->connection->buffer.size() > 0) {
            const std::size_t consumed = parser.put(this->connection->buffer.cdata(), failure);
            this->connection->buffer.consume(consumed);
            if (failure == http::error::body_limit)
                co_return this->exceed("maximum_body_bytes");
            if (failure && failure != http::error::need_more)
                co_return false;
            if (!this->reservation.resize(parser.get().body().size()))
                co_return this->exceed("answer_memory");
            if (parser.is_done())
                break;
        }
        const TimePoint until
            = std::chrono::steady_clock::now() + std::chrono::milliseconds(this->timeouts.maximumSilence.count());
        if (co_await this->receive(until))
            continue;
        if (!this->hasEndedInOrder)
            co_return false;
        parser.put_eof(failure);
        co_return !failure;
    }
    co_return true;
}

asio::awaitable<std::optional<AttemptOutcome>> UpstreamAttempt::readAnswer(bool isStream)
{
    int interimAnswers = 0;
    for (int strayAnswers = 0; strayAnswers <= maximumStrayAnswers; ++strayAnswers) {
        this->parser = std::make_unique<Parser>();
        if (!co_await this->readHead(*this->parser))
            co_return this->fail(AttemptEnd::Unanswered, "no answer");
        if (const std::string_view fault = findFramingFault(this->parser->get()); !fault.empty())
            co_return this->fail(AttemptEnd::Unanswered, std::string(fault));
        const auto status = static_cast<int>(this->parser->get().result_int());
        if (status >= 100 && status < 200) {
            if (++interimAnswers > answerbounds::maximumInterimAnswers) {
                this->exceed("maximum_interim_answers");
                co_return this->fail(AttemptEnd::Unanswered, {});
            }
            --strayAnswers;
            continue;
        }
        const auto named = this->parser->get()[this->names.requestId];
        const AnswerOwner owner = this->connection->noteAnswer(std::string_view(named.data(), named.size()));
        const bool isForThisRequest = owner == AnswerOwner::Request;
        const bool isSealed = this->parser->get().find(this->names.seal) != this->parser->get().end();
        const bool isContentEncoded
            = this->parser->get().find(http::field::content_encoding) != this->parser->get().end();
        if (isForThisRequest && isSealed)
            this->progress = AnswerProgress::Head;
        const bool isRefusal = this->hasNotRunGuarantee(*this->parser) && owner != AnswerOwner::Uncertain;
        // Anybody may have sent an answer without a seal, other requests' answers may be old, and an upstream that the
        // request was not meant for says nothing of the one that it was meant for.
        if (this->onStatement && status != misdirectedRequestStatus && ((isForThisRequest && isSealed) || isRefusal))
            this->onStatement(this->readStatement(*this->parser));
        const bool isUsable = isForThisRequest && isSealed && !isContentEncoded;
        if (isUsable && !this->hasNotRunGuarantee(*this->parser)
            && (isStream ? status == successStatus : status < firstServerErrorStatus))
            co_return std::nullopt;
        if (isForThisRequest && !isUsable && !this->hasNotRunGuarantee(*this->parser)) {
            AttemptOutcome unusable = this->fail(AttemptEnd::Unanswered, "not an upstream's answer");
            unusable.isCrashSuspect = hasHeader(*this->parser, relayheaders::crashSuspect);
            co_return unusable;
        }
        if (!co_await this->readBody(*this->parser, isUsable ? maximumBodyBytes : maximumUnusedBodyBytes))
            co_return this->fail(AttemptEnd::Unanswered, "answer broke off");
        if (isForThisRequest || isRefusal)
            co_return this->evaluateAnswer(*this->parser);
        this->noteDropped(*this->parser);
    }
    co_return this->fail(AttemptEnd::Unanswered, "answers of other requests");
}

void UpstreamAttempt::noteDropped(const Parser& parser) const
{
    if (!this->onDroppedAnswer)
        return;
    const AttemptOutcome place = this->makeOutcome();
    this->onDroppedAnswer(
        { static_cast<int>(parser.get().result_int()), std::string(findHeader(parser, this->names.requestId).value),
            this->hasNotRunGuarantee(parser), place.connection, place.earlierRequests });
}

bool UpstreamAttempt::hasNotRunGuarantee(const Parser& parser) const
{
    const auto& message = parser.get();
    return message.result_int() == misdirectedRequestStatus || message.find(this->names.notRun) != message.end()
        || hasHeader(parser, relayheaders::notRun);
}

AttemptOutcome UpstreamAttempt::evaluateAnswer(Parser& parser)
{
    AttemptOutcome result = this->makeOutcome();
    const auto status = static_cast<int>(parser.get().result_int());
    const bool isSealed = parser.get().find(this->names.seal) != parser.get().end();
    const bool isNotRun = this->hasNotRunGuarantee(parser);
    const bool isContentEncoded = parser.get().find(http::field::content_encoding) != parser.get().end();
    result.load = this->readLoad(parser);
    if (!isNotRun && (!isSealed || isContentEncoded)) {
        result = this->fail(AttemptEnd::Unanswered, "not an upstream's answer");
        return result;
    }
    result.end = isNotRun ? AttemptEnd::NotRun : AttemptEnd::Complete;
    result.progress = isNotRun ? AnswerProgress::Nothing : AnswerProgress::Events;
    result.isNotSentGuaranteed = isNotRun && hasHeader(parser, relayheaders::notSent);
    result.isVmCutOff = result.isNotSentGuaranteed && hasHeader(parser, relayheaders::unreachable);
    result.head = { status, std::string(parser.get().reason()), extractForwardableHeaders(parser.get()) };
    result.body = std::move(parser.get().body());
    result.memory = std::move(this->reservation);
    result.detail = "status " + std::to_string(status);
    this->release(parser);
    return result;
}

asio::awaitable<AttemptOutcome> UpstreamAttempt::forwardStream(Parser& parser, StreamTarget& stream)
{
    AttemptOutcome result = this->makeOutcome();
    result.load = this->readLoad(parser);
    ResponseHead head { 200, std::string(parser.get().reason()), extractForwardableHeaders(parser.get()) };
    parser.eager(true);
    parser.body_limit(boost::none);
    bool hasFirstEvent = false;
    ContentGap gap;
    while (true) {
        boost::system::error_code failure;
        if (!parser.is_done() && this->connection->buffer.size() > 0) {
            const std::size_t consumed = parser.put(this->connection->buffer.cdata(), failure);
            this->connection->buffer.consume(consumed);
            gap.addBytes(consumed);
        }
        if (!hasFirstEvent && !stream.mayBringEvents()) {
            this->isOfOtherVersion = true;
            break;
        }
        const std::size_t contentBefore = stream.splitter->countEventsWithContent();
        const std::size_t eventsBefore = stream.splitter->countReceivedEvents();
        const std::string completeEvents = stream.splitter->push(parser.get().body());
        parser.get().body().clear();
        if (stream.splitter->countEventsWithContent() > contentBefore)
            gap.reset();
        else
            gap.addEvents(stream.splitter->countReceivedEvents() - eventsBefore);
        // The first event may arrive at the moment at which the connection is closed for its silence or for a stop. To
        // begin an answer then would only break it off.
        if (!hasFirstEvent && (this->connection->deadline.hasPassed() || this->request.isStopped()))
            break;
        if (!completeEvents.empty()) {
            if (!hasFirstEvent) {
                stream.onFirstByte();
                const HeaderFields added = stream.makeAddedHeaders();
                head.headers.insert(head.headers.end(), added.begin(), added.end());
            }
            hasFirstEvent = true;
            this->progress = AnswerProgress::Events;
            // A caller that reads slowly is no silence of the upstream.
            this->connection->deadline.set(this->timeouts.end);
            bool isSent = true;
            if (!stream.answer->hasBegun())
                isSent = co_await stream.answer->begin(head);
            if (isSent)
                isSent = co_await stream.answer->write(completeEvents);
            this->lastBytesAt = std::chrono::steady_clock::now();
            if (!isSent || this->request.isCallerGone())
                co_return this->fail(AttemptEnd::CallerDisconnected, "caller left");
        }
        if (stream.splitter->isOverlong())
            this->exceed("maximum_event_bytes");
        else if (!this->reservation.resize(stream.splitter->countPendingBytes()))
            this->exceed("answer_memory");
        else if (const std::string_view bound = gap.findExceededBound(); !bound.empty())
            this->exceed(bound);
        if (!this->exceededBound.empty())
            break;
        const bool isBroken = failure && failure != http::error::need_more;
        if (isBroken || (parser.is_done() && stream.splitter->hasPartialEvent()))
            break;
        if (parser.is_done()) {
            result.end = AttemptEnd::Complete;
            result.progress = this->progress;
            result.head = head;
            this->release(parser);
            co_return result;
        }
        const TimePoint now = std::chrono::steady_clock::now();
        const TimePoint silenceDeadline = now + std::chrono::milliseconds(this->timeouts.maximumSilence.count());
        if (co_await this->receive(hasFirstEvent ? silenceDeadline : this->timeouts.firstByte))
            continue;
        if (!this->hasEndedInOrder)
            break;
        parser.put_eof(failure);
        if (failure)
            break;
    }
    const bool hasBegun = stream.answer->hasBegun();
    stream.splitter->discardPartialEvent();
    AttemptOutcome broken = this->fail(hasBegun ? AttemptEnd::Broken : AttemptEnd::Unanswered, "stream broke off");
    broken.load = result.load;
    co_return broken;
}

std::optional<ReportedLoad> UpstreamAttempt::readLoad(const Parser& parser) const
{
    const auto text = parser.get()[this->names.load];
    std::array<int, 3> numbers {};
    const char* at = text.data();
    const char* const end = text.data() + text.size();
    for (int& number : numbers) {
        const auto [next, error] = std::from_chars(at, end, number);
        if (error != std::errc())
            return std::nullopt;
        at = next == end ? next : next + 1;
    }
    return ReportedLoad { numbers[0], numbers[1], numbers[2] };
}

UpstreamStatement UpstreamAttempt::readStatement(const Parser& parser) const
{
    const HeaderLookup limit = findHeader(parser, this->names.limit);
    const HeaderLookup rejectionLimit = findHeader(parser, this->names.rejectionLimit);
    UpstreamStatement statement;
    const auto age = std::chrono::steady_clock::now() - this->connection->openedAt;
    statement.connectedFor = Milliseconds(std::chrono::duration_cast<std::chrono::milliseconds>(age).count());
    statement.load = this->readLoad(parser);
    statement.requestsPerSecond = readDecimal(limit.value);
    // A limit that cannot be read, or a refusal without one, neither begins nor ends a limit.
    const bool isSealed = hasHeader(parser, this->names.seal);
    statement.isLimitKnown = limit.count == 0 ? isSealed : statement.requestsPerSecond.has_value();
    statement.rejectionLimit = readDecimal(rejectionLimit.value);
    statement.isRejectionLimitKnown = rejectionLimit.count == 0 ? isSealed : statement.rejectionLimit.has_value();
    statement.isLeaving = findHeader(parser, this->names.leaving).value == "1";
    if (parser.get().result() == http::status::service_unavailable) {
        const double seconds = readDecimal(findHeader(parser, this->names.retryAfter).value).value_or(0);
        statement.rejectsFor = Milliseconds(static_cast<std::int64_t>(std::min(seconds, longestTimeSeconds) * 1000));
    }
    return statement;
}

void UpstreamAttempt::release(const Parser& parser)
{
    if (parser.is_done() && this->connection->buffer.size() > 0 && this->onDroppedAnswer) {
        const AttemptOutcome place = this->makeOutcome();
        this->onDroppedAnswer({ 0, {}, false, place.connection, place.earlierRequests });
    }
    const bool isReusable = parser.keep_alive() && parser.is_done() && this->connection->buffer.size() == 0
        && this->connection->socket.is_open();
    if (!isReusable)
        return;
    const auto stated = parser.get()[http::field::keep_alive];
    if (const auto limit = readIdleLimit(std::string_view(stated.data(), stated.size())))
        this->connection->idleLimit = std::clamp(*limit - idleCloseMargin, Milliseconds(0), maximumIdleTime);
    this->connection->deadline.setExtension({});
    this->request.removeConnection(this->connection.get());
    this->pool.giveBack(std::move(this->connection));
}

} // namespace papayashelf
