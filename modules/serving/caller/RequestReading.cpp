#include "serving/caller/RequestReading.h"

#include <boost/beast/http/error.hpp>

namespace papayashelf {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

constexpr Milliseconds bodyTime { 10'000 }; /**< For a body of the largest size over a slow link. */

TimePoint after(Milliseconds time)
{
    return std::chrono::steady_clock::now() + std::chrono::milliseconds(time.count());
}

} // namespace

RequestReading::RequestReading(CallerStream& stream, CallerInput& input, const CallerLimits& limits)
    : stream(stream)
    , input(input)
    , limits(limits)
{
    this->parser.header_limit(static_cast<std::uint32_t>(limits.headerBytes));
    this->parser.body_limit(limits.bodyBytes);
}

asio::awaitable<ReadResult> RequestReading::read()
{
    if (this->input.isEmpty() && !co_await this->input.waitForMore(after(this->limits.idleTimeout)))
        co_return ReadResult::Gone;
    this->beganAt = std::chrono::steady_clock::now();
    const ReadResult head = co_await this->parse(false, after(this->limits.headerTimeout));
    if (head != ReadResult::Whole)
        co_return head;
    if (boost::beast::iequals(this->parser.get()[http::field::expect], "100-continue")) {
        static constexpr std::string_view goOn = "HTTP/1.1 100 Continue\r\n\r\n";
        const std::vector<asio::const_buffer> pieces(1, asio::buffer(goOn));
        co_await this->stream.write(pieces, this->limits.headerTimeout);
    }
    co_return co_await this->parse(true, after(bodyTime));
}

asio::awaitable<ReadResult> RequestReading::parse(bool isWholeRequest, TimePoint until)
{
    this->parser.eager(isWholeRequest);
    while (isWholeRequest ? !this->parser.is_done() : !this->parser.is_header_done()) {
        boost::system::error_code failure;
        const std::size_t taken = this->parser.put(this->input.getBytes(), failure);
        this->input.consume(taken);
        if (failure && failure != http::error::need_more)
            co_return this->resultOf(failure);
        if (taken > 0 && !failure)
            continue;
        if (isWholeRequest ? this->parser.is_done() : this->parser.is_header_done())
            break;
        if (!co_await this->input.waitForMore(until))
            co_return this->input.isGone() ? ReadResult::Gone : ReadResult::TooSlow;
    }
    co_return ReadResult::Whole;
}

ReadResult RequestReading::resultOf(const boost::system::error_code& failure) const
{
    if (failure == http::error::header_limit)
        return ReadResult::HeaderTooLarge;
    if (failure == http::error::body_limit)
        return ReadResult::BodyTooLarge;
    return ReadResult::Malformed;
}

IncomingRequest RequestReading::take()
{
    auto& message = this->parser.get();
    IncomingRequest request;
    request.method = std::string(message.method_string());
    request.target = std::string(message.target());
    request.keepAlive = message.keep_alive();
    request.arrivedAt = this->beganAt;
    request.headers = takePassableHeaders(message);
    request.body = std::move(message.body());
    return request;
}

} // namespace papayashelf
