#include "serving/caller/CallerSession.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace papayashelf {

namespace asio = boost::asio;

namespace {

constexpr std::size_t readAhead = 64 * kibibyte; /**< Bytes of a request, or of later ones, that may wait unread. */
constexpr Milliseconds lingerTime { 500 }; /**< For a caller to read the last answer before the connection ends. */

struct AnswerToFault {
    int status;
    const char* reason;
    const char* code;
};

AnswerToFault faultOf(ReadResult result)
{
    switch (result) {
    case ReadResult::HeaderTooLarge:
        return { 431, "Request Header Fields Too Large", "header_too_large" };
    case ReadResult::BodyTooLarge:
        return { 413, "Content Too Large", "body_too_large" };
    case ReadResult::TooSlow:
        return { 408, "Request Timeout", "request_too_slow" };
    default:
        return { 400, "Bad Request", "malformed_request" };
    }
}

} // namespace

CallerSession::CallerSession(asio::ip::tcp::socket socket, SenderKind sender, ServingContext& context)
    : stream(std::move(socket), nullptr)
    , input(this->stream, readAhead)
    , sender(sender)
    , context(context)
{
}

void CallerSession::start()
{
    const auto self = this->shared_from_this();
    const auto executor = this->stream.getExecutor();
    asio::co_spawn(
        executor, [self]() { return self->input.run([self] { self->onCallerGone(); }); }, asio::detached);
    asio::co_spawn(
        executor, [self]() { return self->run(); }, asio::detached);
}

void CallerSession::onCallerGone()
{
    if (this->active)
        this->active->leave();
}

asio::awaitable<void> CallerSession::run()
{
    const auto self = this->shared_from_this();
    while (co_await this->serveOne()) { }
    co_await this->linger();
    this->stream.close();
}

asio::awaitable<bool> CallerSession::serveOne()
{
    const CallerLimits limits = this->context.core.getCallerLimits();
    RequestReading reading(this->stream, this->input, limits);
    const ReadResult result = co_await reading.read();
    if (result == ReadResult::Gone)
        co_return false;
    if (result != ReadResult::Whole) {
        co_await this->answerFault(result);
        co_return false;
    }
    const IncomingRequest request = reading.take();
    CallerAnswer answer(
        this->stream, request.keepAlive, request.method == "HEAD", [this] { return this->context.core.isStopping(); });
    ActiveRequest current;
    this->active = &current;
    if (this->input.isGone())
        current.leave();
    RequestServer server(this->context, request, answer, current);
    if (this->sender == SenderKind::Caller)
        co_await server.serveCaller();
    else
        co_await server.serveRelayed();
    this->active = nullptr;
    co_return answer.mayGoOn() && !this->input.isGone();
}

asio::awaitable<void> CallerSession::answerFault(ReadResult result)
{
    const AnswerToFault fault = faultOf(result);
    CallerAnswer answer(this->stream, false, false, [] { return true; });
    this->context.figures.noteRequest(fault.code);
    this->context.log.write(this->context.clock.now(), LogWeight::Notable, "request_unreadable",
        { { "cause", fault.code }, { "status", boost::json::value(fault.status) } });
    const std::string body = std::string("{\"error\":\"") + fault.code + "\"}";
    ResponseHead head { fault.status, fault.reason, {} };
    head.headers.emplace_back("Content-Type", "application/json");
    co_await answer.writeWhole(head, body);
}

asio::awaitable<void> CallerSession::linger()
{
    // Closing with bytes unread resets the connection, and the caller may lose the answer.
    this->stream.finishSending();
    this->input.discard();
    const TimePoint until = std::chrono::steady_clock::now() + std::chrono::milliseconds(lingerTime.count());
    while (!this->input.isGone() && std::chrono::steady_clock::now() < until)
        co_await this->input.waitForMore(until);
}

} // namespace papayashelf
