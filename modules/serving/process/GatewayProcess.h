#pragma once

#include "serving/caller/CallerSession.h"
#include "serving/origins/StreamOriginClient.h"
#include "serving/process/DigestExchange.h"
#include "serving/process/SimpleHttpListener.h"
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <functional>

namespace papayashelf {

/** Callbacks of the platform's adapter. */
struct ProcessHooks {
    SimpleHttpHandler readiness; /**< Answers the platform's check whether callers may be sent to this VM. */
    SimpleHttpHandler entries; /**< Answers callers that ask which VMs to connect to. */
    std::function<void()> onStopping; /**< Called once when the process begins to stop. */
    std::function<void()> onReload; /**< Called on SIGHUP, when the settings may have changed. */
    /** Called when the quarantine of a prompt begins, is confirmed or ends. */
    std::function<void(const QuarantineChange&)> onQuarantineChange;
};

/**
    One gateway process with its listeners, its decision core and its log.

    Everything runs on one thread, because a VM has only a fraction of a core and a second thread would only add
    wake-ups. Thread safety: none; use it from the thread that calls run().
*/
class GatewayProcess {
public:
    /** @param names  names of the platform's headers */
    GatewayProcess(const GatewaySettings& settings, HeaderNames names);

    /** Opens all listeners. Error: that of the first listener that cannot be opened. */
    Outcome<void> open(ProcessHooks hooks);

    /** Serves until a signal stops the process and all requests have ended or the grace period is almost over. */
    void run();

    /**
        Begins a planned stop, as SIGTERM does: run() returns once all requests have ended or the grace period is almost
        over. Later calls change nothing. Call it from the thread that calls run().
    */
    void beginStopping();

    /** Makes run() return soon, without waiting for requests. May be called from any thread. */
    void stop() { this->context.stop(); }

    /** Returns the endpoint for callers, with the port that was bound. Precondition: open() succeeded. */
    const Endpoint& getCallersEndpoint() const { return this->callersEndpoint; }

    /** Returns the endpoint for other VMs, with the port that was bound. Precondition: open() succeeded. */
    const Endpoint& getRelaysEndpoint() const { return this->relaysEndpoint; }

    /** Returns the I/O context that run() runs. */
    boost::asio::io_context& getContext() { return this->context; }

    /** Returns the core that makes the decisions of this process. */
    GatewayCore& getCore() { return this->core; }

    /** Returns the decision log of this process. */
    DecisionLog& getLog() { return this->log; }

    /** Returns all metrics in the Prometheus text format. Call it from the thread that calls run(). */
    std::string formatMetrics() const;

    /** Returns the clock that all times passed to the core come from. */
    Clock getClock() const { return this->serving.clock; }

private:
    Outcome<void> listenForSimpleRequests(const Endpoint& at, const SimpleHttpHandler& handler);
    Outcome<Endpoint> listenForRequests(const Endpoint& at, SenderKind sender);
    boost::asio::awaitable<void> watchSignals();
    boost::asio::awaitable<void> runPeriodicTasks();
    boost::asio::awaitable<void> stopGracefully();
    static std::string_view nameQuarantineStep(QuarantineStep step);
    void reportQuarantineChanges();

    GatewaySettings settings;
    HeaderNames names;
    MemoryBudget answerMemory; /**< Outlives the answers of requests that end with the context. */
    RequestMemory requestMemory; /**< Outlives the requests, in the same way. */
    OpenRequests openRequests; /**< Outlives the requests that end with the context. */
    boost::asio::io_context context { 1 };
    DecisionLog log;
    GatewayCore core;
    EntranceSettings poolSettings;
    UpstreamPool pool;
    ReachCheck reachCheck;
    UpstreamWatch upstreamWatch;
    ServingMetrics metrics;
    DigestExchange digests;
    StreamOriginClient streamOrigins;
    ServingContext serving;
    ProcessHooks hooks;
    boost::asio::signal_set signals;
    Endpoint callersEndpoint;
    Endpoint relaysEndpoint;
};

} // namespace papayashelf
