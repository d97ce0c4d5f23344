#pragma once

#include "entrance/entrance.h"
#include "standins/engine/StandinHttp.h"
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <condition_variable>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace papayashelf {

using HttpResponse = boost::beast::http::response<boost::beast::http::string_body>;

/** A caller with one connection and blocking calls, each of which fails after an implausibly long wait. */
class TestCaller {
public:
    explicit TestCaller(const Endpoint& endpoint, int receiveBufferBytes = 0);

    void send(const std::string& bytes);

    /** Reads one whole answer; nothing if it ends early. */
    std::optional<HttpResponse> readAnswer();

    /** Reads at least one byte of whatever comes; empty at the end of the connection. */
    std::string readSome();

    /** Reads until the connection ends. */
    std::string readAll();

    /** Reads until the text has come; what was read so far. */
    std::string readUntil(const std::string& text);

    void close();

    /**
        Fails the test if the engine has been able to send a stream of so many tokens that nobody reads. The engine
       works on all answers at once: when another answer of that length has arrived, the unread one is made too.
    */
    static void assertUnreadAnswerIsHeldBack(const Endpoint& entry, StandinHttp& engine, int tokens);

    /** A chat request with a test key. */
    static std::string chatRequest(bool isStreamed, int tokens, const std::string& extraHeaders = {});

    /**
        Receive buffer of a caller that reads slowly. With less than a segment of the loopback interface, TCP may go on
       by its probe timer alone, which takes minutes for an answer of some megabytes.
    */
    static constexpr int slowReceiveBufferBytes = 128 * 1024;

    static constexpr const char* key = "secret-key-of-a-handler";

private:
    boost::asio::io_context context;
    boost::asio::ip::tcp::socket socket { context };
    boost::beast::flat_buffer buffer;
};

/** A server with a decision thread that plays a script. */
class EntranceHarness {
public:
    /** Called on the decision thread for each report. */
    using Script = std::function<void(const RequestReport& report)>;

    explicit EntranceHarness(EntranceSettings settings = {});
    ~EntranceHarness();
    EntranceHarness(const EntranceHarness&) = delete;
    EntranceHarness& operator=(const EntranceHarness&) = delete;

    EntranceServer& getServer() { return this->server; }

    /** Starts with a script; without one, each request goes to the endpoint once. */
    Endpoint start(Script script);
    Endpoint start(const Endpoint& upstream, ServiceKind kind);

    /** Sends a directive to the thread of its request. */
    void direct(const RequestDirective& directive);

    /** A first attempt with generous limits. */
    static StartAttempt attemptOf(RequestId request, const Endpoint& upstream, ServiceKind kind);

    /** Each failed attempt is followed by one at the next endpoint, resumed where the caller stands. */
    Script retryOver(const std::vector<Endpoint>& endpoints);

    /** Each request goes to the endpoint once, with limits on its silence that pass soon, and twenty times that in all.
     */
    Script impatient(const Endpoint& upstream, ServiceKind kind, Milliseconds limit = Milliseconds(300));

    /** Fails the test unless a stream began and then broke off visibly, with an error event. */
    static void assertVisiblyIncomplete(const std::string& answer);

    /** Waits until some report satisfies the condition and returns it; fails the test if none ever does. */
    RequestReport waitFor(const std::function<bool(const RequestReport&)>& condition);

    /** Waits for the end of an attempt of a request. */
    AttemptEnded waitForEnd(RequestId request, std::uint32_t attempt);

    /** Waits for the first report of a type. */
    template <typename Report> Report waitForReport()
    {
        return std::get<Report>(
            this->waitFor([](const RequestReport& report) { return std::holds_alternative<Report>(report); }));
    }

    /** The first reports of a type so far. */
    template <typename Report> std::size_t countReports() const
    {
        const std::lock_guard lock(this->mutex);
        std::size_t count = 0;
        for (const RequestReport& report : this->seen)
            count += std::holds_alternative<Report>(report) ? 1 : 0;
        return count;
    }

    void stop();

private:
    void decide();
    void playDefault(const RequestReport& report, const Endpoint& upstream, ServiceKind kind);

    mutable std::mutex mutex;
    std::condition_variable changed;
    bool hasReports = false;
    bool isStopping = false;
    std::vector<RequestReport> seen;
    Script script;
    EntranceServer server;
    std::thread thread;
};

} // namespace papayashelf
