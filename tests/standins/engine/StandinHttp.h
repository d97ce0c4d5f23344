#pragma once

#include "foundation/identity/Identifier.h"
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <condition_variable>
#include <functional>
#include <mutex>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

namespace papayashelf {

constexpr auto standinResult = boost::asio::as_tuple(boost::asio::use_awaitable);

/** What a stand-in does wrong, on command. */
enum class StandinFault {
    None,
    Die, /**< Closes the connection after some tokens; a service, after half its answer. */
    GoSilent, /**< Keeps the connection open but sends nothing after some tokens. */
    Slow, /**< Takes a long time for each step. */
    LoseAnswer, /**< Does the work and closes the connection without an answer. */
    RefuseBusy, /**< Refuses, saying that it has not run the request. */
    SkipToken, /**< Leaves a token out. */
    RepeatTokens, /**< Sends each token twice. */
    EndWithoutMark, /**< Ends the stream in order, but without its end mark. */
};

/** A fault for the next requests. */
struct StandinFaultOrder {
    StandinFault fault = StandinFault::None;
    int afterTokens = 0;
    int times = 1; /**< How many requests it strikes. */

    bool operator==(const StandinFaultOrder&) const = default;
};

/** A request as a stand-in received it. */
struct StandinRequest {
    std::string method;
    std::string target;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;

    /** The value of a field in any case, or nothing. */
    std::string header(std::string_view name) const;

    /** True if the text stands anywhere in the request. */
    bool contains(std::string_view text) const;
};

/**
    A small HTTP server on a thread of its own: the part that all stand-ins share.

    Thread safety: start() and stop() belong to the owner, the functions on faults and records to any thread, answer()
    to the server's thread.
*/
class StandinHttp {
public:
    using Request = boost::beast::http::request<boost::beast::http::string_body>;
    using Stream = boost::beast::tcp_stream;

    /** Serves one request and returns whether the connection goes on. */
    using Handler = std::function<boost::asio::awaitable<bool>(const Request&, Stream&)>;

    /** @param listen  where to listen; port 0 takes a free one */
    explicit StandinHttp(Endpoint listen);
    ~StandinHttp();
    StandinHttp(const StandinHttp&) = delete;
    StandinHttp& operator=(const StandinHttp&) = delete;

    /** Listens and serves until stopped. */
    Endpoint start(Handler handler);
    void stop();

    /** Refuses new connections from now on. Only for the handler. */
    void stopListening();

    boost::asio::any_io_executor getExecutor() { return this->context.get_executor(); }

    /** Sets the fault for the next requests. */
    void setFault(StandinFaultOrder order);

    /** Reads an order from JSON as POST /fault takes it; false if it makes no sense. */
    bool setFault(const std::string& json);

    /** The fault that strikes a request now; counts it. */
    StandinFaultOrder takeFault();

    /** Whether requests are kept for inspection; on unless switched off. */
    void setRecording(bool enabled);

    /** The requests received so far, apart from those that control the stand-in. */
    std::vector<StandinRequest> getRequests() const;

    /** Waits until so many requests were received; false if that takes implausibly long. */
    bool waitForRequests(std::size_t count) const;

    /** Counts an event by name and wakes those who wait for it. */
    void count(const std::string& event);

    /** Waits until an event was counted so often; false if that takes implausibly long. */
    bool waitForCount(const std::string& event, int count) const;

    /** How often an event was counted. */
    int getCount(const std::string& event) const;

    /** Returns what getRequests() keeps of a request. */
    static StandinRequest makeRecord(const Request& request);

    /** Writes a whole JSON answer; returns whether the connection goes on. */
    static boost::asio::awaitable<bool> answer(
        Stream& stream, const Request& request, unsigned status, std::string body, bool saysNotRun = false);

private:
    boost::asio::awaitable<void> acceptLoop();
    boost::asio::awaitable<void> serve(boost::asio::ip::tcp::socket socket);
    void record(const Request& request);

    boost::asio::io_context context { 1 };
    boost::asio::ip::tcp::acceptor acceptor;
    Endpoint listen;
    Handler handler;
    std::thread thread;
    mutable std::mutex mutex;
    mutable std::condition_variable changed;
    bool isRecording = true;
    std::vector<StandinRequest> requests;
    std::vector<std::pair<std::string, int>> counts;
    StandinFaultOrder fault { StandinFault::None, 0, 0 };
};

} // namespace papayashelf
