#include "entrance/caller/CallerConnection.h"

#include "entrance/request/ChatRequest.h"
#include "entrance/server/IoThread.h"
#include <algorithm>
#include <array>

namespace papayashelf {

namespace asio = boost::asio;

namespace {

constexpr std::size_t readAheadBytes = 4 * kibibyte;
constexpr std::chrono::seconds lingerLimit { 2 };
constexpr std::string_view chatPath = "/v1/chat/completions";
constexpr std::string_view goOnAnswer = "HTTP/1.1 100 Continue\r\n\r\n";

bool isProvided(const ReceivedHead& head)
{
    static constexpr std::array<std::string_view, 3> paths { "/v1/entries", "/healthz", "/v1/models" };
    return head.forwarded.method == "GET" && std::find(paths.begin(), paths.end(), head.path) != paths.end();
}

Outcome<ExchangeRequest> makeExchangeRequest(
    RequestReader& reader, RequestId request, std::int64_t defaultMaximumTokens)
{
    ReceivedHead& head = reader.getHead();
    ExchangeRequest made;
    made.isChat = head.forwarded.method == "POST" && head.path == chatPath;
    made.arrival.request = request;
    made.arrival.key = head.digest;
    made.arrival.method = head.forwarded.method;
    made.arrival.path = head.path;
    made.arrival.idempotencyKey = head.idempotencyKey;
    std::string body = reader.takeBody();
    if (made.isChat) {
        if (head.hasCodedBody)
            return Error { ErrorCode::InvalidArgument, "a chat request's body must not be compressed" };
        BOOST_OUTCOME_TRY(auto chat, parseChatRequest(body, head.digest.string(), defaultMaximumTokens));
        made.arrival.model = std::move(chat.model);
        made.arrival.promptTokens = chat.promptTokens;
        made.arrival.maximumTokens = chat.maximumTokens;
        made.arrival.isStreamed = chat.isStreamed;
        made.arrival.prefixHashes = std::move(chat.prefixHashes);
        body = std::move(chat.body);
    }
    made.head = std::move(head.forwarded);
    made.body = std::make_shared<const std::string>(std::move(body));
    return made;
}

} // namespace

CallerConnection::CallerConnection(IoThread& thread, asio::ip::tcp::socket socket)
    : thread(thread)
    , stream(std::move(socket), thread.getShared().tls.get())
    , input(this->stream, thread.getSettings().maximumHeaderBytes + readAheadBytes)
    , writer(this->stream, thread.getSettings(), thread.getShared().isLeaving)
{
}

CallerConnection::~CallerConnection()
{
    this->thread.getShared().connections.fetch_sub(1);
}

void CallerConnection::start()
{
    spawnLogged(this->stream.getExecutor(), this->run());
}

asio::awaitable<void> CallerConnection::run()
{
    const auto self = this->shared_from_this();
    if (!co_await this->stream.handshake(this->thread.getSettings().headTimeout))
        co_return;
    spawnLogged(this->stream.getExecutor(), this->readAhead());
    while (co_await this->serveOne()) { }
    co_await this->linger();
    this->stream.close();
    this->input.discard();
}

asio::awaitable<void> CallerConnection::readAhead()
{
    const auto self = this->shared_from_this();
    co_await this->input.run([this] {
        if (this->exchange)
            this->exchange->leave();
    });
}

asio::awaitable<bool> CallerConnection::serveOne()
{
    RequestReader reader(this->input, this->thread.getSettings());
    this->writer.reset(0, false, false);
    const auto result = co_await reader.readHead();
    if (result == RequestReader::Result::Gone)
        co_return false;
    if (result == RequestReader::Result::Fault)
        co_return co_await this->answerFault(reader.getFault());
    const ReceivedHead& head = reader.getHead();
    this->writer.reset(0, head.keepAlive, head.forwarded.method == "HEAD");
    const HeadCheck& check = this->thread.getShared().headCheck;
    // Questions about the gateway itself need no key and have no route.
    const bool isAboutGateway = isProvided(head) && this->thread.getShared().entryProvider;
    if (const auto refused = check && !isAboutGateway ? check(head.digest, head.path) : std::nullopt)
        co_return co_await this->refuseEarly(*refused, this->thread.makeRequestId(), head.hasBody);
    if (head.expectsContinue && head.hasBody) {
        const std::vector<asio::const_buffer> goOn { asio::buffer(goOnAnswer) };
        const bool isSent = co_await this->stream.write(goOn, this->thread.getSettings().writeTimeout);
        if (!isSent)
            co_return false;
    }
    const auto bodyResult = co_await reader.readBody();
    if (bodyResult == RequestReader::Result::Gone)
        co_return false;
    if (bodyResult == RequestReader::Result::Fault)
        co_return co_await this->answerFault(reader.getFault());
    co_return co_await this->serveWhole(reader);
}

asio::awaitable<bool> CallerConnection::serveWhole(RequestReader& reader)
{
    if (isProvided(reader.getHead()) && this->thread.getShared().entryProvider) {
        if (co_await this->serveByProvider(reader.getHead()))
            co_return this->writer.mayGoOn();
    }
    const RequestId request = this->thread.makeRequestId();
    this->writer.setRequest(request);
    auto made = makeExchangeRequest(reader, request, this->thread.getSettings().defaultMaximumTokens);
    if (!made) {
        const ErrorAnswer error = toErrorAnswer(EntranceFault::InvalidChatRequest, made.error().detail);
        co_await this->writer.refuse(error);
        co_return this->writer.mayGoOn();
    }
    co_return co_await this->serveByUpstream(std::move(made.value()));
}

asio::awaitable<bool> CallerConnection::serveByProvider(const ReceivedHead& head)
{
    const EntryQuery query { head.path, head.query, this->stream.getCallerAddress() };
    const auto text = this->thread.getShared().entryProvider(query);
    if (!text)
        co_return false;
    AnswerHead answer;
    answer.status = text->status;
    answer.headers.emplace_back("content-type", text->contentType);
    answer.length = text->body.size();
    this->writer.begin(answer);
    if (co_await this->writer.write(text->body))
        co_await this->writer.end();
    co_return true;
}

asio::awaitable<bool> CallerConnection::serveByUpstream(ExchangeRequest request)
{
    this->exchange = std::make_shared<Exchange<AnswerWriter>>(this->thread, std::move(request), this->writer);
    if (this->input.isGone())
        this->exchange->leave();
    co_await this->exchange->run();
    this->exchange.reset();
    co_return this->writer.mayGoOn();
}

asio::awaitable<bool> CallerConnection::answerFault(const ReadFault& fault)
{
    this->writer.reset(0, false, false);
    const ErrorAnswer error = toErrorAnswer(fault.fault, fault.detail);
    co_await this->writer.refuse(error);
    co_return false;
}

asio::awaitable<bool> CallerConnection::refuseEarly(RefusalCode code, RequestId request, bool hasUnreadBody)
{
    this->writer.reset(request, this->writer.isKeptAlive() && !hasUnreadBody, false);
    const RefuseRequest refusal { request, code, Ran::No, std::nullopt, {} };
    co_await this->writer.refuse(refusal);
    co_return this->writer.mayGoOn();
}

asio::awaitable<void> CallerConnection::linger()
{
    // Closing with unread input would reset the connection and could destroy the answer on its way.
    if (!this->writer.hasEnded())
        co_return;
    this->stream.finishSending();
    this->input.discard();
    const TimePoint until = std::chrono::steady_clock::now() + lingerLimit;
    while (!this->input.isGone() && std::chrono::steady_clock::now() < until)
        co_await this->input.waitForMore(until);
}

} // namespace papayashelf
