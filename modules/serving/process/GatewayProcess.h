#pragma once

#include "serving/caller/CallerSession.h"
#include "serving/process/DigestExchange.h"
#include "serving/process/PlainListener.h"
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <functional>

namespace papayashelf {

/** What the platform's adapter adds to a process. */
struct ProcessHooks {
    PlainHandler readiness; /**< Answers the platform's question whether callers may be sent here. */
    PlainHandler entries; /**< Answers callers that ask where to connect. */
    std::function<void()> onStopping; /**< Called once when the process begins to stop. */
    std::function<void()> onReload; /**< Called when the settings may have changed. */
};

/**
    One gateway process: its listeners, its decisions and its log on one thread.

    One thread serves everything, because a VM here has a part of one core: a second thread would only add wake-ups.
    Thread safety: none; use it from the thread that calls run().
*/
class GatewayProcess {
public:
    /** @param names  how the platform spells headers */
    GatewayProcess(const GatewaySettings& settings, HeaderNames names);

    /** Opens every listener. Error: the first that cannot be opened. */
    Outcome<void> open(ProcessHooks hooks);

    /** Serves until a signal ends the process and every request is answered, or the grace is nearly over. */
    void run();

    /** Ends run() soon, without waiting for requests. Any thread. */
    void stop() { this->context.stop(); }

    /** Where requests are taken, with the port that was had. Precondition: open() succeeded. */
    const Endpoint& getCallersEndpoint() const { return this->callersEndpoint; }
    const Endpoint& getRelaysEndpoint() const { return this->relaysEndpoint; }

    boost::asio::io_context& getContext() { return this->context; }
    GatewayCore& getCore() { return this->core; }
    DecisionLog& getLog() { return this->log; }
    Clock getClock() const { return this->serving.clock; }

private:
    Outcome<void> listenPlain(const Endpoint& at, const PlainHandler& handler);
    Outcome<Endpoint> listenForRequests(const Endpoint& at, SenderKind sender);
    boost::asio::awaitable<void> watchSignals();
    boost::asio::awaitable<void> tickOften();
    boost::asio::awaitable<void> stopInOrder();
    std::string formatMetrics() const;

    GatewaySettings settings;
    HeaderNames names;
    boost::asio::io_context context { 1 };
    DecisionLog log;
    GatewayCore core;
    EntranceSettings poolSettings;
    UpstreamPool pool;
    ServingFigures figures;
    ServingContext serving;
    ProcessHooks hooks;
    DigestExchange digests;
    boost::asio::signal_set signals;
    Endpoint callersEndpoint;
    Endpoint relaysEndpoint;
};

} // namespace papayashelf
