#include "serving/caller/CallerRequestReader.h"

#include "foundation/http/MessageFraming.h"
#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/beast/http/error.hpp>

namespace papayashelf {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

constexpr Milliseconds bodyTimeout { 10'000 }; /**< Enough for a body of the maximum size over a slow link. */
constexpr Milliseconds memoryPatience { 2'000 }; /**< Leaves callers time to ask another VM. */
constexpr std::chrono::milliseconds memoryPollInterval { 20 };
/** Interval of looks for changed limits; a change must be in force 4 s after the store has acknowledged it. */
constexpr std::chrono::seconds limitsPollInterval { 1 };

TimePoint addTo(TimePoint begin, Milliseconds time)
{
    return begin + std::chrono::milliseconds(time.count());
}

TimePoint deadlineAfter(Milliseconds time)
{
    return addTo(std::chrono::steady_clock::now(), time);
}

} // namespace

CallerRequestReader::CallerRequestReader(
    CallerStream& stream, CallerInput& input, const GatewayCore& core, RequestMemory& memory)
    : stream(stream)
    , input(input)
    , core(core)
    , memory(memory)
{
}

asio::awaitable<bool> CallerRequestReader::awaitRequest()
{
    if (!this->input.isEmpty())
        co_return true;
    const DeadlineSource getDeadline = [this, idleSince = std::chrono::steady_clock::now()] {
        return addTo(idleSince, this->core.getCallerLimits().idleTimeout);
    };
    co_return co_await this->waitForMore(getDeadline);
}

asio::awaitable<bool> CallerRequestReader::waitForMore(const DeadlineSource& getDeadline)
{
    while (true) {
        const TimePoint nextLook = std::chrono::steady_clock::now() + limitsPollInterval;
        if (co_await this->input.waitForMore(std::min(getDeadline(), nextLook)))
            co_return true;
        if (this->input.isGone() || this->input.isInterrupted() || std::chrono::steady_clock::now() >= getDeadline())
            co_return false;
    }
}

asio::awaitable<ReadResult> CallerRequestReader::read()
{
    this->beganAt = std::chrono::steady_clock::now();
    const DeadlineSource getHeadDeadline
        = [this] { return addTo(this->beganAt, this->core.getCallerLimits().headerTimeout); };
    const ReadResult head = co_await this->parse(false, getHeadDeadline);
    if (head != ReadResult::Complete)
        co_return head;
    this->fault = findFramingFault(this->parser.get());
    if (!this->fault.empty())
        co_return ReadResult::Malformed;
    const ReadResult memoryResult = co_await this->reserveMemory();
    if (memoryResult != ReadResult::Complete)
        co_return memoryResult;
    if (boost::beast::iequals(this->parser.get()[http::field::expect], "100-continue")) {
        static constexpr std::string_view continueResponse = "HTTP/1.1 100 Continue\r\n\r\n";
        const std::vector<asio::const_buffer> pieces(1, asio::buffer(continueResponse));
        co_await this->stream.write(pieces, this->core.getCallerLimits().headerTimeout);
    }
    const DeadlineSource getBodyDeadline = [deadline = deadlineAfter(bodyTimeout)] { return deadline; };
    co_return co_await this->parse(true, getBodyDeadline);
}

asio::awaitable<ReadResult> CallerRequestReader::reserveMemory()
{
    const std::size_t unstatedBytes = this->parser.chunked() ? this->maximumBodyBytes : 0;
    const std::size_t bytes = this->parser.content_length().value_or(unstatedBytes);
    if (bytes > this->maximumBodyBytes)
        co_return ReadResult::BodyTooLarge;
    const TimePoint deadline = deadlineAfter(memoryPatience);
    this->reservation = this->memory.makeReservation(bytes);
    asio::steady_timer timer(co_await asio::this_coro::executor);
    while (!this->reservation.resize(bytes)) {
        if (this->input.isGone())
            co_return ReadResult::Disconnected;
        if (this->input.isInterrupted())
            co_return ReadResult::Interrupted;
        if (std::chrono::steady_clock::now() >= deadline)
            co_return ReadResult::NoMemory;
        timer.expires_after(memoryPollInterval);
        co_await timer.async_wait(useResult);
    }
    co_return ReadResult::Complete;
}

void CallerRequestReader::applyLimits()
{
    const CallerLimits& limits = this->core.getCallerLimits();
    this->maximumBodyBytes = std::min(limits.bodyBytes, this->memory.getLongestBody());
    this->parser.header_limit(static_cast<std::uint32_t>(limits.headerBytes));
    this->parser.body_limit(this->maximumBodyBytes);
}

bool CallerRequestReader::isHeadTooLarge() const
{
    // The parser does not look at what it has searched for the end of the head under a larger limit.
    return !this->parser.is_header_done() && this->input.getBytes().size() >= this->core.getCallerLimits().headerBytes;
}

asio::awaitable<ReadResult> CallerRequestReader::parse(bool isWholeRequest, const DeadlineSource& getDeadline)
{
    this->parser.eager(isWholeRequest);
    while (isWholeRequest ? !this->parser.is_done() : !this->parser.is_header_done()) {
        if (!this->parser.is_header_done())
            this->applyLimits();
        boost::system::error_code failure;
        const std::size_t consumed = this->parser.put(this->input.getBytes(), failure);
        this->input.consume(consumed);
        if (failure && failure != http::error::need_more)
            co_return this->toReadResult(failure);
        if (consumed > 0 && !failure)
            continue;
        if (isWholeRequest ? this->parser.is_done() : this->parser.is_header_done())
            break;
        if (this->isHeadTooLarge())
            co_return this->toReadResult(http::error::header_limit);
        if (!co_await this->waitForMore(getDeadline))
            co_return this->input.isGone()    ? ReadResult::Disconnected
                : this->input.isInterrupted() ? ReadResult::Interrupted
                                              : ReadResult::TooSlow;
    }
    co_return ReadResult::Complete;
}

ReadResult CallerRequestReader::toReadResult(const boost::system::error_code& failure)
{
    this->fault = failure.message();
    if (failure == http::error::header_limit)
        return ReadResult::HeaderTooLarge;
    if (failure == http::error::body_limit)
        return ReadResult::BodyTooLarge;
    return ReadResult::Malformed;
}

std::string CallerRequestReader::getField(std::string_view name) const
{
    if (!this->parser.is_header_done())
        return {};
    return std::string(this->parser.get()[boost::beast::string_view(name.data(), name.size())]);
}

IncomingRequest CallerRequestReader::take()
{
    auto& message = this->parser.get();
    IncomingRequest request;
    request.method = std::string(message.method_string());
    request.target = std::string(message.target());
    request.keepAlive = message.keep_alive();
    request.arrivedAt = this->beganAt;
    request.headers = collectForwardableHeaders(message);
    request.body = std::move(message.body());
    this->reservation.resize(request.body.size());
    request.bodyMemory = std::move(this->reservation);
    return request;
}

} // namespace papayashelf
