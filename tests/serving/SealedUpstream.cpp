#include "serving/SealedUpstream.h"

#include <array>
#include <boost/asio/post.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/write.hpp>

namespace papayashelf {

namespace asio = boost::asio;

namespace {

constexpr int eventsPerStream = 5;

std::string formatResponseHead(const std::string& status, const std::string& id, bool isSealed)
{
    std::string head = "HTTP/1.1 " + status + "\r\n";
    if (!id.empty())
        head += "Attempt-Id: " + id + "\r\n";
    if (isSealed)
        head += "Response-Seal: seal-of-" + id + "\r\nServer-Load: 2,0,8\r\n";
    return head;
}

std::string formatWithLength(const std::string& head, const std::string& body)
{
    return head + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string chunk(const std::string& text)
{
    std::ostringstream size;
    size << std::hex << text.size();
    return size.str() + "\r\n" + text + "\r\n";
}

std::string formatLargeEvents(int first)
{
    constexpr std::size_t eventBytes = 60'000;
    std::string text;
    for (int id = first; id <= SealedUpstream::largeStreamEvents; ++id)
        text += chunk("id: " + std::to_string(id) + "\ndata: " + std::string(eventBytes, 'x') + "\n\n");
    return text + "0\r\n\r\n";
}

std::string formatEvents(int first, bool isTruncated)
{
    std::string text;
    for (int id = first; id <= eventsPerStream; ++id) {
        if (isTruncated && id == first + 2)
            return text + "10\r\nid: " + std::to_string(id) + "\ndata";
        text += chunk("id: " + std::to_string(id) + "\ndata: piece " + std::to_string(id) + "\n\n");
    }
    return text + "0\r\n\r\n";
}

std::string getHeader(const StandinHttp::Request& request, const char* name)
{
    const auto value = request[name];
    return { value.data(), value.size() };
}

bool hasDeadlyPart(const StandinHttp::Request& request)
{
    return getHeader(request, "Prompt-Prefix").find(std::string(SealedUpstream::deadlyPart) + ':') != std::string::npos;
}

bool hasDeadlyTarget(const StandinHttp::Request& request)
{
    return request.target().find(SealedUpstream::deadlyTarget) != std::string_view::npos
        && request.body() != SealedUpstream::harmlessBody;
}

std::string makeStreamAnswer(const StandinHttp::Request& request, AnswerKind kind)
{
    const std::string last = getHeader(request, "Last-Event-Id");
    const int first = last.empty() ? 1 : std::stoi(last) + 1;
    const std::string head
        = formatResponseHead("200 OK", getHeader(request, "Attempt-Id"), kind != AnswerKind::Unsealed)
        + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
    return head
        + (kind == AnswerKind::Large ? formatLargeEvents(first)
                                     : formatEvents(first, kind == AnswerKind::TruncatedEvent));
}

std::string makePlainAnswer(const StandinHttp::Request& request, AnswerKind kind)
{
    const std::string id = getHeader(request, "Attempt-Id");
    const std::string body = "body of " + id;
    const std::string statements = "Server-Leaving: 1\r\nServer-Limit: 0\r\nRetry-After: 30\r\n";
    std::string completeAnswer = formatWithLength(formatResponseHead("200 OK", id, true), body);
    switch (kind) {
    case AnswerKind::Failure:
        return formatWithLength(formatResponseHead("500 Internal Server Error", id, true), "failed");
    case AnswerKind::NotRun:
        return formatWithLength(
            formatResponseHead("503 Service Unavailable", "", false) + "Not-Executed: 1\r\n", "full");
    case AnswerKind::Rejected:
    case AnswerKind::LateRejected:
        return formatWithLength(
            formatResponseHead("503 Service Unavailable", id, false) + "Not-Executed: 1\r\n", "full");
    case AnswerKind::Misdirected:
        return formatWithLength(formatResponseHead("421 Misdirected Request", id, false), "another");
    case AnswerKind::EarlierNotRun:
        return formatWithLength(
                   formatResponseHead("503 Service Unavailable", "", false) + "Not-Executed: 1\r\n", "full")
            + completeAnswer;
    case AnswerKind::TruncatedHead:
        return formatResponseHead("200 OK", id, true);
    case AnswerKind::TruncatedHeadLine:
        return formatResponseHead("200 OK", id, true) + "Content-Le";
    case AnswerKind::Unsealed:
        return formatWithLength(formatResponseHead("200 OK", id, false), body);
    case AnswerKind::OtherId:
        return formatWithLength(formatResponseHead("200 OK", "another", true), "body of another") + completeAnswer;
    case AnswerKind::ManyOtherIds: {
        const std::string other = formatWithLength(formatResponseHead("200 OK", "another", true), "body of another");
        return other + other + other + other + other + other + other + other + completeAnswer;
    }
    case AnswerKind::Truncated:
        return formatResponseHead("200 OK", id, true) + "Content-Length: 100\r\n\r\n" + body;
    case AnswerKind::Coded:
        return formatResponseHead("200 OK", id, true) + "Transfer-Encoding: gzip\r\n\r\n" + body;
    case AnswerKind::CodedWithLength:
        return formatWithLength(formatResponseHead("200 OK", id, true) + "Transfer-Encoding: identity\r\n", body);
    case AnswerKind::CodedInChunks:
        return formatResponseHead("200 OK", id, true) + "Transfer-Encoding: gzip, chunked\r\n\r\n" + chunk(body)
            + "0\r\n\r\n";
    case AnswerKind::WithoutLength:
        return formatResponseHead("200 OK", id, true) + "Connection: close\r\n\r\n" + body;
    case AnswerKind::StatedInInterim:
        return "HTTP/1.1 103 Early Hints\r\n" + statements + "\r\n" + completeAnswer;
    case AnswerKind::StatedInTrailer:
        return formatResponseHead("200 OK", id, true) + "Transfer-Encoding: chunked\r\n\r\n" + chunk(body) + "0\r\n"
            + statements + "\r\n";
    case AnswerKind::TrailingBytes:
        return completeAnswer + "bytes of no answer";
    default:
        return completeAnswer;
    }
}

/** The beginning of an answer without end, and what follows it again and again. */
struct EndlessAnswer {
    std::string begin;
    std::string repeated;
};

std::optional<EndlessAnswer> makeEndlessAnswer(AnswerKind kind, const std::string& id)
{
    const std::string chunked = "Transfer-Encoding: chunked\r\n\r\n";
    const std::string line = std::string(1'000, 'x') + "\n";
    switch (kind) {
    case AnswerKind::EndlessHead:
        return EndlessAnswer { formatResponseHead("200 OK", id, true), "X-More: " + std::string(1'000, 'x') + "\r\n" };
    case AnswerKind::EndlessInterim:
        return EndlessAnswer { "", "HTTP/1.1 102 Processing\r\n\r\n" };
    case AnswerKind::EndlessUnsealedBody:
        return EndlessAnswer { formatResponseHead("200 OK", id, false) + chunked, chunk(line) };
    case AnswerKind::EndlessBody:
    case AnswerKind::EndlessEvent:
        return EndlessAnswer { formatResponseHead("200 OK", id, true) + chunked, chunk(line) };
    case AnswerKind::EndlessComments:
        return EndlessAnswer { formatResponseHead("200 OK", id, true) + chunked, chunk(": nothing\n\n") };
    case AnswerKind::EndlessEmptyLines:
        return EndlessAnswer { formatResponseHead("200 OK", id, true) + chunked, chunk("\n\n\n\n") };
    case AnswerKind::EndlessRepeats:
        return EndlessAnswer { formatResponseHead("200 OK", id, true) + chunked, chunk("id: 1\ndata: piece 1\n\n") };
    case AnswerKind::EndlessChunkExtension:
        return EndlessAnswer { formatResponseHead("200 OK", id, true) + chunked + "10;name=", std::string(1'000, 'x') };
    default:
        return std::nullopt;
    }
}

bool closesConnection(AnswerKind kind)
{
    return kind == AnswerKind::Truncated || kind == AnswerKind::TruncatedEvent || kind == AnswerKind::Reset
        || kind == AnswerKind::WithoutLength || kind == AnswerKind::Coded || kind == AnswerKind::TruncatedHead
        || kind == AnswerKind::TruncatedHeadLine;
}

} // namespace

SealedUpstream::SealedUpstream() = default;

Endpoint SealedUpstream::start()
{
    this->listen({ "127.0.0.1", 0 });
    return this->endpoint;
}

void SealedUpstream::listen(const Endpoint& at)
{
    {
        const std::scoped_lock lock(this->mutex);
        this->requests.clear();
    }
    this->http = std::make_unique<StandinHttp>(at);
    this->http->setRecording(false);
    this->endpoint = this->http->start([this](const StandinHttp::Request& request, StandinHttp::Stream& stream) {
        return this->handle(request, stream);
    });
}

void SealedUpstream::end()
{
    if (this->http)
        this->http->stop();
    this->http.reset();
}

void SealedUpstream::startAgain()
{
    this->coldUntil = std::chrono::steady_clock::now() + coldTime;
    this->listen(Endpoint(this->endpoint));
}

std::vector<StandinRequest> SealedUpstream::getRequests() const
{
    const std::scoped_lock lock(this->mutex);
    return this->http ? this->requests : std::vector<StandinRequest>();
}

void SealedUpstream::setStatedColdTime(const std::string& milliseconds)
{
    const std::scoped_lock lock(this->mutex);
    this->statedColdTime = milliseconds;
}

std::string SealedUpstream::makeHealthAnswer() const
{
    const auto left
        = std::chrono::duration_cast<std::chrono::milliseconds>(this->coldUntil - std::chrono::steady_clock::now());
    const std::scoped_lock lock(this->mutex);
    const std::string time = this->statedColdTime.empty() ? std::to_string(left.count()) : this->statedColdTime;
    const bool isCold = left.count() > 0 || !this->statedColdTime.empty();
    const std::string cold = isCold ? "Cold-Ms: " + time + "\r\n" : std::string();
    return formatWithLength("HTTP/1.1 200 OK\r\n" + cold, "{}");
}

void SealedUpstream::queueAnswers(std::deque<AnswerKind> kinds)
{
    const std::scoped_lock lock(this->mutex);
    this->queuedAnswers = std::move(kinds);
}

void SealedUpstream::setStatedLimit(const std::string& limit)
{
    const std::scoped_lock lock(this->mutex);
    this->statedLimit = limit;
}

void SealedUpstream::setStatedHeaders(const std::string& lines)
{
    const std::scoped_lock lock(this->mutex);
    this->statedHeaders = lines;
}

std::string SealedUpstream::addStatements(std::string answer) const
{
    const std::scoped_lock lock(this->mutex);
    const std::string limit = this->statedLimit.empty() ? "" : "Server-Limit: " + this->statedLimit + "\r\n";
    const std::size_t named = answer.find("Attempt-Id");
    if (named != std::string::npos)
        answer.insert(named, this->statedHeaders);
    const std::size_t sealed = answer.find("Response-Seal");
    return sealed == std::string::npos ? answer : answer.insert(sealed, limit);
}

std::string SealedUpstream::repeatRefusal(
    const StandinHttp::Request& request, unsigned short port, const std::string& answer)
{
    std::string& refusal = this->refusals[{ port, getHeader(request, "Attempt-Id") }];
    std::string text = refusal + answer;
    const bool isRefusal = answer.starts_with("HTTP/1.1 421") || answer.find("Not-Executed") != std::string::npos;
    refusal = isRefusal ? answer : std::string();
    return text;
}

AnswerKind SealedUpstream::receive(const StandinHttp::Request& request, unsigned short port)
{
    const std::scoped_lock lock(this->mutex);
    this->ports.push_back(port);
    this->requests.push_back(StandinHttp::makeRecord(request));
    if (hasDeadlyPart(request) || hasDeadlyTarget(request) || this->queuedAnswers.empty())
        return AnswerKind::Complete;
    const AnswerKind kind = this->queuedAnswers.front();
    this->queuedAnswers.pop_front();
    return kind;
}

std::size_t SealedUpstream::countConnectionsUsed() const
{
    const std::scoped_lock lock(this->mutex);
    return std::set<unsigned short>(this->ports.begin(), this->ports.end()).size();
}

asio::awaitable<void> SealedUpstream::waitUntilClosed(StandinHttp::Stream& stream)
{
    std::array<char, 1> byte {};
    co_await stream.async_read_some(asio::buffer(byte), standinResult);
    this->http->count("abandoned");
}

asio::awaitable<bool> SealedUpstream::sendEndlessly(
    std::string begin, std::string repeated, StandinHttp::Stream& stream)
{
    constexpr std::size_t pieceBytes = 65'536;
    std::string piece;
    while (piece.size() < pieceBytes)
        piece += repeated;
    co_await asio::async_write(stream, asio::buffer(begin), standinResult);
    while (true) {
        const auto [failure, count] = co_await asio::async_write(stream, asio::buffer(piece), standinResult);
        this->endlessBytes += count;
        if (failure)
            co_return false;
    }
}

asio::awaitable<bool> SealedUpstream::crash(const StandinHttp::Request& request, StandinHttp::Stream& stream)
{
    this->http->stopListening();
    std::string text = formatResponseHead("200 OK", getHeader(request, "Attempt-Id"), true)
        + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
    const std::string last = getHeader(request, "Last-Event-Id");
    int id = last.empty() ? 1 : std::stoi(last) + 1;
    for (int event = 0; event < this->eventsBeforeCrash; ++event, ++id)
        text += chunk("id: " + std::to_string(id) + "\ndata: piece " + std::to_string(id) + "\n\n");
    text += "10\r\nid: " + std::to_string(id);
    co_await asio::async_write(stream, asio::buffer(text), standinResult);
    co_return false;
}

asio::awaitable<bool> SealedUpstream::sendWithPause(const StandinHttp::Request& request, StandinHttp::Stream& stream)
{
    const std::string text = makeStreamAnswer(request, AnswerKind::Complete);
    const std::size_t thirdEvent = text.find("\r\n", text.find("piece 2")) + 2;
    const std::string_view begin = std::string_view(text).substr(0, thirdEvent);
    co_await asio::async_write(stream, asio::buffer(begin.data(), begin.size()), standinResult);
    asio::steady_timer timer(co_await asio::this_coro::executor, pause);
    co_await timer.async_wait(standinResult);
    const std::string_view rest = std::string_view(text).substr(thirdEvent);
    const auto [failure, count]
        = co_await asio::async_write(stream, asio::buffer(rest.data(), rest.size()), standinResult);
    co_return !failure;
}

asio::awaitable<bool> SealedUpstream::stall(const StandinHttp::Request& request, StandinHttp::Stream& stream)
{
    const std::string text = formatResponseHead("200 OK", getHeader(request, "Attempt-Id"), true)
        + "Content-Type: text/event-stream\r\nConnection: close\r\n\r\n"
        + "id: 1\ndata: piece 1\n\nid: 2\ndata: piece 2\n\n";
    co_await asio::async_write(stream, asio::buffer(text), standinResult);
    asio::steady_timer timer(co_await asio::this_coro::executor, asio::steady_timer::time_point::max());
    this->stalled.insert(&timer);
    co_await timer.async_wait(standinResult);
    this->stalled.erase(&timer);
    stream.socket().set_option(asio::ip::tcp::socket::linger(true, 0));
    co_return false;
}

void SealedUpstream::resetStalled()
{
    asio::post(this->http->getExecutor(), [this] {
        for (asio::steady_timer* timer : this->stalled)
            timer->cancel();
    });
}

asio::awaitable<bool> SealedUpstream::handle(const StandinHttp::Request& request, StandinHttp::Stream& stream)
{
    if (request.target() == healthPath) {
        const std::string answer = this->makeHealthAnswer();
        co_await asio::async_write(stream, asio::buffer(answer), standinResult);
        co_return true;
    }
    const unsigned short port = stream.socket().remote_endpoint().port();
    const AnswerKind kind = this->receive(request, port);
    if (hasDeadlyPart(request))
        co_return co_await this->crash(request, stream);
    if (hasDeadlyTarget(request)) {
        this->http->stopListening();
        co_return false;
    }
    if (kind == AnswerKind::NoResponse) {
        co_await this->waitUntilClosed(stream);
        co_return false;
    }
    if (kind == AnswerKind::Reset)
        co_return false;
    if (kind == AnswerKind::Late || kind == AnswerKind::LateRejected) {
        asio::steady_timer timer(co_await asio::this_coro::executor, lateness);
        co_await timer.async_wait(standinResult);
    }
    if (kind == AnswerKind::Stalled)
        co_return co_await this->stall(request, stream);
    if (kind == AnswerKind::Paused)
        co_return co_await this->sendWithPause(request, stream);
    if (const auto endless = makeEndlessAnswer(kind, getHeader(request, "Attempt-Id")))
        co_return co_await this->sendEndlessly(endless->begin, endless->repeated, stream);
    const bool isStream = request.target().starts_with("/stream/");
    const bool isStreamKind = kind == AnswerKind::Complete || kind == AnswerKind::Late
        || kind == AnswerKind::TruncatedEvent || kind == AnswerKind::Unsealed || kind == AnswerKind::Large;
    std::string text = this->addStatements(
        isStream && isStreamKind ? makeStreamAnswer(request, kind) : makePlainAnswer(request, kind));
    if (this->repeatsRefusals)
        text = this->repeatRefusal(request, port, text);
    co_await asio::async_write(stream, asio::buffer(text), standinResult);
    co_return !closesConnection(kind);
}

} // namespace papayashelf
