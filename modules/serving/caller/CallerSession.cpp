#include "serving/caller/CallerSession.h"

#include "serving/http/RelayHeaders.h"
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace papayashelf {

namespace asio = boost::asio;

namespace {

/** Bytes of the current and later requests that may be buffered unparsed. */
constexpr std::size_t maximumReadAhead = 64 * kibibyte;
/** Time for the caller to read the last answer before the connection is closed. */
constexpr Milliseconds lingerTimeout { 500 };

struct ReadErrorAnswer {
    int status;
    const char* reason;
    const char* code;
};

ReadErrorAnswer toErrorAnswer(ReadResult result)
{
    switch (result) {
    case ReadResult::HeaderTooLarge:
        return { 431, "Request Header Fields Too Large", "header_too_large" };
    case ReadResult::BodyTooLarge:
        return { 413, "Content Too Large", "body_too_large" };
    case ReadResult::TooSlow:
        return { 408, "Request Timeout", "request_too_slow" };
    case ReadResult::Interrupted:
        return { 503, "Service Unavailable", "stopping" };
    case ReadResult::NoMemory:
        return { 503, "Service Unavailable", "no_memory" };
    default:
        return { 400, "Bad Request", "malformed_request" };
    }
}

} // namespace

CallerSession::CallerSession(asio::ip::tcp::socket socket, SenderKind sender, ServingContext& context)
    : stream(std::move(socket), nullptr)
    , input(this->stream, maximumReadAhead)
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
    if (this->activeRequest)
        this->activeRequest->noteCallerGone();
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
    CallerRequestReader reader(this->stream, this->input, this->context.core, this->context.requestMemory);
    if (!co_await reader.awaitRequest())
        co_return false;
    ActiveRequest current;
    const OpenRequests::Entry entry(this->context.openRequests, current);
    current.setStopHandler([this] { this->input.interrupt(); });
    const ReadResult result = co_await reader.read();
    current.setStopHandler({});
    if (result == ReadResult::Disconnected)
        co_return false;
    if (result != ReadResult::Complete) {
        co_await this->sendErrorAnswer(result, reader);
        co_return false;
    }
    const IncomingRequest request = reader.take(); // Holds its memory until the answer has been sent.
    CallerAnswer answer(
        this->stream, request.keepAlive, request.method == "HEAD", [this] { return this->context.core.isStopping(); });
    this->activeRequest = &current;
    if (this->input.isGone())
        current.noteCallerGone();
    RequestServer server(this->context, request, answer, current);
    if (this->sender == SenderKind::Caller)
        co_await server.serveCaller();
    else
        co_await server.serveRelayed();
    this->activeRequest = nullptr;
    co_return answer.mayServeNextRequest() && !this->input.isGone();
}

asio::awaitable<void> CallerSession::sendErrorAnswer(ReadResult result, const CallerRequestReader& reader)
{
    const ReadErrorAnswer errorAnswer = toErrorAnswer(result);
    CallerAnswer answer(this->stream, false, false, [] { return true; });
    this->context.metrics.noteRequest(errorAnswer.code);
    this->context.log.write(this->context.clock.now(), LogWeight::Notable, "request_unreadable",
        { { "cause", errorAnswer.code }, { "status", boost::json::value(errorAnswer.status) },
            { "detail", reader.getFault() } });
    const std::string body = std::string("{\"error\":\"") + errorAnswer.code + "\"}";
    ResponseHead head { errorAnswer.status, errorAnswer.reason, {} };
    head.headers.emplace_back("Content-Type", "application/json");
    if (const std::string requestId = reader.getField(this->context.names.requestId); !requestId.empty())
        head.headers.emplace_back(this->context.names.requestId, requestId);
    if (this->sender == SenderKind::Vm) {
        head.headers.emplace_back(std::string(relayheaders::notRun), "1");
        head.headers.emplace_back(std::string(relayheaders::notSent), "1");
    }
    if (result == ReadResult::Interrupted || result == ReadResult::NoMemory)
        head.headers.emplace_back(
            this->context.names.retryAfter, std::to_string(RequestServer::stoppingRetryDelay.seconds()));
    co_await answer.writeComplete(head, body);
}

asio::awaitable<void> CallerSession::linger()
{
    // Closing a socket with unread bytes resets the connection, and the caller may lose the answer.
    this->stream.finishSending();
    this->input.discard();
    const TimePoint until = std::chrono::steady_clock::now() + std::chrono::milliseconds(lingerTimeout.count());
    while (!this->input.isGone() && std::chrono::steady_clock::now() < until)
        co_await this->input.waitForMore(until);
}

} // namespace papayashelf
