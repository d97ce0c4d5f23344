#pragma once

#include "dispatch/messages/RequestMessages.h"
#include "entrance/server/EntranceServer.h"
#include "entrance/server/EntranceSettings.h"
#include "entrance/server/Signal.h"
#include "entrance/upstream/UpstreamPool.h"
#include "foundation/concurrency/Ring.h"
#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ssl/context.hpp>
#include <deque>
#include <thread>
#include <unordered_map>
#include <vector>

namespace papayashelf {

/** What all I/O threads share; set before they start. */
struct EntranceShared {
    EntranceSettings settings;
    std::function<void()> onReports;
    EntryProvider entryProvider;
    HeadCheck headCheck;
    RelayTransport relayTransport;
    std::unique_ptr<boost::asio::ssl::context> tls;
    std::atomic<bool> isLeaving = false;
    std::atomic<std::size_t> connections = 0;
};

/** The directives that wait for one request. */
struct DirectiveInbox {
    explicit DirectiveInbox(const boost::asio::any_io_executor& executor)
        : signal(executor)
    {
    }

    std::vector<RequestDirective> waiting;
    Signal signal; /**< Notified for each directive, and by the request's owner for other news. */
};

/**
    One I/O thread: its listener, its callers' requests, its connections to upstreams and its two rings.

    Thread safety: takeReport() and pushDirective() belong to the decision thread, start() and stop() to the owner of
    the server, everything else to the I/O thread itself.
*/
class IoThread {
public:
    /** @param shared  must outlive the thread */
    IoThread(std::size_t index, EntranceShared& shared);
    ~IoThread();
    IoThread(const IoThread&) = delete;
    IoThread& operator=(const IoThread&) = delete;

    /** Listens, sharing the port with the other threads. Precondition: not running. */
    Outcome<Endpoint> listen(const Endpoint& endpoint);

    void start();
    void stop();

    /** Runs a function on this thread soon. Any thread may call this. */
    void post(std::function<void()> function);

    std::optional<RequestReport> takeReport();
    bool pushDirective(RequestDirective&& directive);

    boost::asio::any_io_executor getExecutor() { return this->context.get_executor(); }
    EntranceShared& getShared() { return this->shared; }
    const EntranceSettings& getSettings() const { return this->shared.settings; }
    UpstreamPool& getPool() { return this->pool; }

    /** A number for the next request; carries this thread's index. */
    RequestId makeRequestId();

    /** Reports a new request. False if the decisions are too far behind to take it. */
    bool submit(RequestArrival&& arrival);

    /** Reports anything but a new request; it is kept until the ring has room. */
    void report(RequestReport&& report);

    /** Where directives for a request go from now on. */
    void addInbox(RequestId request, DirectiveInbox& inbox);
    void removeInbox(RequestId request);

    /** Serves a request that another VM relays. */
    void serveRelayed(RelayedRequest request, const std::shared_ptr<RelayExchange>& answer);

    /** Replaces the load sources. */
    void setLoadSources(std::vector<LoadSource> sources, Milliseconds period);

private:
    boost::asio::awaitable<void> acceptLoop();
    boost::asio::awaitable<void> housekeepingLoop();
    boost::asio::awaitable<void> turnAway(boost::asio::ip::tcp::socket socket);
    boost::asio::awaitable<void> pollLoop(std::uint64_t round, std::vector<LoadSource> sources, Milliseconds period);
    boost::asio::awaitable<void> pollOne(LoadSource source);
    void accept(boost::asio::ip::tcp::socket socket);
    void drainDirectives();
    void deliver(RequestDirective&& directive);
    void flushReports();
    void answerUnknown(const RequestDirective& directive);

    const std::size_t index;
    EntranceShared& shared;
    Ring<RequestReport> reports;
    Ring<RequestDirective> directives;
    std::atomic<bool> isDrainPending = false;
    std::deque<RequestReport> overflow; /**< Reports that wait for room; bounded by the requests under way. */
    bool isFlushPending = false;
    std::unordered_map<RequestId, DirectiveInbox*> inboxes;
    std::uint64_t requestCount = 0;
    std::uint64_t pollRound = 0;
    boost::asio::io_context context { 1 };
    boost::asio::ip::tcp::acceptor acceptor;
    UpstreamPool pool;
    boost::asio::steady_timer flushTimer;
    std::thread thread;
};

/** Runs a coroutine on an executor; an exception out of it is logged and goes no further. */
void spawnLogged(const boost::asio::any_io_executor& executor, boost::asio::awaitable<void> coroutine);

} // namespace papayashelf
