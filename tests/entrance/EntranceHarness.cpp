#include "entrance/EntranceHarness.h"

#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/read.hpp>
#include <chrono>
#include <cppunit/TestAssert.h>
#include <sys/time.h>

namespace papayashelf {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

constexpr std::chrono::seconds implausibleWait { 20 };

} // namespace

TestCaller::TestCaller(const Endpoint& endpoint, int receiveBufferBytes)
{
    const asio::ip::tcp::endpoint target(asio::ip::make_address(endpoint.address), endpoint.port);
    this->socket.open(target.protocol());
    if (receiveBufferBytes > 0)
        this->socket.set_option(asio::socket_base::receive_buffer_size(receiveBufferBytes));
    this->socket.connect(target);
    const timeval limit { implausibleWait.count(), 0 };
    ::setsockopt(this->socket.native_handle(), SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
    ::setsockopt(this->socket.native_handle(), SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof limit);
}

void TestCaller::send(const std::string& bytes)
{
    boost::system::error_code ignored;
    asio::write(this->socket, asio::buffer(bytes), ignored);
}

std::optional<HttpResponse> TestCaller::readAnswer()
{
    http::response_parser<http::string_body> parser;
    parser.body_limit(boost::none);
    boost::system::error_code error;
    http::read(this->socket, this->buffer, parser, error);
    if (error)
        return std::nullopt;
    return parser.release();
}

std::string TestCaller::readSome()
{
    std::string bytes(4096, '\0');
    boost::system::error_code error;
    const std::size_t count = this->socket.read_some(asio::buffer(bytes), error);
    bytes.resize(error ? 0 : count);
    return bytes;
}

std::string TestCaller::readAll()
{
    std::string all;
    for (std::string piece = this->readSome(); !piece.empty(); piece = this->readSome())
        all += piece;
    return all;
}

std::string TestCaller::readUntil(const std::string& text)
{
    std::string all;
    while (all.find(text) == std::string::npos) {
        const std::string piece = this->readSome();
        CPPUNIT_ASSERT_MESSAGE(all, !piece.empty());
        all += piece;
    }
    return all;
}

void TestCaller::close()
{
    this->socket.close();
}

void TestCaller::assertUnreadAnswerIsHeldBack(const Endpoint& entry, StandinHttp& engine, int tokens)
{
    TestCaller quick(entry);
    for (const int length : { tokens, 3 }) {
        quick.send(chatRequest(false, length));
        CPPUNIT_ASSERT(quick.readAnswer());
    }
    CPPUNIT_ASSERT(engine.waitForCount("completed", 2));
    CPPUNIT_ASSERT_EQUAL(2, engine.getCount("completed"));
}

std::string TestCaller::chatRequest(bool isStreamed, int tokens, const std::string& extraHeaders)
{
    std::string body
        = R"({"model":"shepherd","messages":[{"role":"user","content":"Which heat is mine?"}],"max_tokens":)";
    body += std::to_string(tokens);
    body += isStreamed ? R"(,"stream":true})" : R"(,"stream":false})";
    std::string request = "POST /v1/chat/completions HTTP/1.1\r\nhost: gateway\r\nauthorization: Bearer ";
    request += key;
    request += "\r\n";
    request += extraHeaders;
    request += "content-type: application/json\r\ncontent-length: " + std::to_string(body.size());
    request += "\r\n\r\n";
    request += body;
    return request;
}

EntranceHarness::EntranceHarness(EntranceSettings settings)
    : server(std::move(settings), [this] {
        const std::lock_guard lock(this->mutex);
        this->hasReports = true;
        this->changed.notify_all();
    })
{
}

EntranceHarness::~EntranceHarness()
{
    this->stop();
}

Endpoint EntranceHarness::start(Script newScript)
{
    this->script = std::move(newScript);
    const auto endpoint = this->server.start();
    CPPUNIT_ASSERT_MESSAGE(endpoint ? "" : endpoint.error().detail, endpoint.has_value());
    this->thread = std::thread([this] { this->decide(); });
    return endpoint.value();
}

Endpoint EntranceHarness::start(const Endpoint& upstream, ServiceKind kind)
{
    return this->start(
        [this, upstream, kind](const RequestReport& report) { this->playDefault(report, upstream, kind); });
}

void EntranceHarness::direct(const RequestDirective& directive)
{
    const RequestId request = std::visit([](const auto& one) { return one.request; }, directive);
    while (!this->server.pushDirective(EntranceServer::threadOf(request), RequestDirective(directive)))
        std::this_thread::yield();
}

StartAttempt EntranceHarness::attemptOf(RequestId request, const Endpoint& upstream, ServiceKind kind)
{
    StartAttempt start;
    start.request = request;
    start.attempt = 1;
    start.workspace = WorkspaceId("trial-entries");
    start.upstream = UpstreamId("stand-in");
    start.endpoint = upstream;
    start.kind = kind;
    start.firstByteLimit = Milliseconds(20'000);
    start.betweenBytesLimit = Milliseconds(20'000);
    start.remaining = Milliseconds(60'000);
    return start;
}

AttemptEnded EntranceHarness::waitForEnd(RequestId request, std::uint32_t attempt)
{
    return std::get<AttemptEnded>(this->waitFor([request, attempt](const RequestReport& report) {
        const auto* const ended = std::get_if<AttemptEnded>(&report);
        return ended && ended->request == request && ended->attempt == attempt;
    }));
}

RequestReport EntranceHarness::waitFor(const std::function<bool(const RequestReport&)>& condition)
{
    std::unique_lock lock(this->mutex);
    std::size_t checked = 0;
    const bool isFound = this->changed.wait_for(lock, implausibleWait, [&] {
        for (; checked < this->seen.size(); ++checked) {
            if (condition(this->seen[checked]))
                return true;
        }
        return false;
    });
    CPPUNIT_ASSERT_MESSAGE("the awaited report never came", isFound);
    return this->seen[checked];
}

EntranceHarness::Script EntranceHarness::retryOver(const std::vector<Endpoint>& endpoints)
{
    return [this, endpoints](const RequestReport& report) {
        if (const auto* const arrival = std::get_if<RequestArrival>(&report))
            this->direct(attemptOf(arrival->request, endpoints.front(), ServiceKind::ModelEngine));
        const auto* const ended = std::get_if<AttemptEnded>(&report);
        if (!ended)
            return;
        if (ended->result == AttemptResult::Completed)
            return this->direct(FinishRequest { ended->request });
        if (ended->attempt >= endpoints.size())
            return this->direct(
                RefuseRequest { ended->request, RefusalCode::UpstreamFailed, Ran::Unknown, std::nullopt, {} });
        StartAttempt next = attemptOf(ended->request, endpoints[ended->attempt], ServiceKind::ModelEngine);
        next.attempt = ended->attempt + 1;
        next.resumeFromToken = ended->answerTokens;
        this->direct(next);
    };
}

EntranceHarness::Script EntranceHarness::impatient(const Endpoint& upstream, ServiceKind kind, Milliseconds limit)
{
    return [this, upstream, kind, limit](const RequestReport& report) {
        if (const auto* const arrival = std::get_if<RequestArrival>(&report)) {
            StartAttempt start = attemptOf(arrival->request, upstream, kind);
            start.firstByteLimit = limit;
            start.betweenBytesLimit = limit;
            start.remaining = Milliseconds(20 * limit.count());
            this->direct(start);
        }
        if (const auto* const ended = std::get_if<AttemptEnded>(&report)) {
            if (ended->result == AttemptResult::Completed)
                this->direct(FinishRequest { ended->request });
            else
                this->direct(
                    RefuseRequest { ended->request, RefusalCode::UpstreamFailed, Ran::Unknown, std::nullopt, {} });
        }
    };
}

void EntranceHarness::assertVisiblyIncomplete(const std::string& answer)
{
    CPPUNIT_ASSERT(answer.find("HTTP/1.1 200") == 0);
    CPPUNIT_ASSERT(answer.find("data: {\"error\":{\"code\":") != std::string::npos);
    CPPUNIT_ASSERT(answer.find("[DONE]") == std::string::npos);
    CPPUNIT_ASSERT(answer.find("\r\n0\r\n") == std::string::npos);
}

void EntranceHarness::stop()
{
    {
        const std::lock_guard lock(this->mutex);
        this->isStopping = true;
        this->changed.notify_all();
    }
    if (this->thread.joinable())
        this->thread.join();
    this->server.stop();
}

void EntranceHarness::decide()
{
    std::unique_lock lock(this->mutex);
    while (!this->isStopping) {
        this->changed.wait(lock, [this] { return this->hasReports || this->isStopping; });
        this->hasReports = false;
        lock.unlock();
        std::vector<RequestReport> reports;
        for (std::size_t index = 0; index < this->server.getThreadCount(); ++index) {
            while (auto report = this->server.takeReport(index))
                reports.push_back(std::move(*report));
        }
        for (const RequestReport& report : reports)
            this->script(report);
        lock.lock();
        this->seen.insert(this->seen.end(), reports.begin(), reports.end());
        this->changed.notify_all();
    }
}

void EntranceHarness::playDefault(const RequestReport& report, const Endpoint& upstream, ServiceKind kind)
{
    if (const auto* const arrival = std::get_if<RequestArrival>(&report))
        this->direct(attemptOf(arrival->request, upstream, kind));
    const auto* const ended = std::get_if<AttemptEnded>(&report);
    if (!ended)
        return;
    if (ended->result == AttemptResult::Completed)
        this->direct(FinishRequest { ended->request });
    else
        this->direct(RefuseRequest { ended->request, RefusalCode::UpstreamFailed, Ran::Unknown, std::nullopt, {} });
}

} // namespace papayashelf
