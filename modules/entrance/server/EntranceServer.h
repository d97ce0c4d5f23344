#pragma once

#include "dispatch/messages/RequestMessages.h"
#include "entrance/relay/RelayTransport.h"
#include "entrance/server/EntranceSettings.h"
#include "foundation/outcomes/Outcome.h"
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace papayashelf {

/** A caller's question about the gateway itself, such as which VMs to use. */
struct EntryQuery {
    std::string path;
    std::string query; /**< Without the question mark; empty when there is none. */
    std::string callerAddress; /**< IP number. */

    bool operator==(const EntryQuery&) const = default;
};

/** A whole answer that needs no upstream. */
struct HttpText {
    int status = 200;
    std::string contentType = "application/json";
    std::string body;

    bool operator==(const HttpText&) const = default;
};

/** Answers GET /v1/entries, /healthz and /v1/models; with nothing, the request is routed like any other. */
using EntryProvider = std::function<std::optional<HttpText>(const EntryQuery&)>;

/** Refuses a request by its key's digest and path before its body is read. */
using HeadCheck = std::function<std::optional<RefusalCode>(const KeyDigest& key, const std::string& path)>;

/** An upstream whose load report is fetched regularly. */
struct LoadSource {
    UpstreamId upstream;
    Endpoint endpoint;

    bool operator==(const LoadSource&) const = default;
};

/**
    Serves callers over HTTP on I/O threads of its own and talks to upstreams for them.

    Each I/O thread is joined to the decision thread by two bounded rings: reports go out, directives come in. A
    request's number carries the index of its thread in the top bits.

    Thread safety: the functions that set hooks, start() and stop() belong to one owning thread; takeReport() and
    pushDirective() to the decision thread; beginLeaving(), serveRelayed() and setLoadSources() to any thread between
    start() and stop(). Hooks are called from I/O threads and must be safe for that.
*/
class EntranceServer {
public:
    /**
        @param settings   what to listen on and what to bound
        @param onReports  called from an I/O thread after it pushed reports; must not block
    */
    EntranceServer(EntranceSettings settings, std::function<void()> onReports);
    ~EntranceServer();
    EntranceServer(const EntranceServer&) = delete;
    EntranceServer& operator=(const EntranceServer&) = delete;

    /** Sets what answers questions about the gateway itself. Precondition: not started. */
    void setEntryProvider(EntryProvider provider);

    /** Sets what may refuse a request before its body is read. Precondition: not started. */
    void setHeadCheck(HeadCheck check);

    /** Sets what carries requests to other VMs; without one a StartRelay ends as NotSent. Precondition: not started. */
    void setRelayTransport(RelayTransport transport);

    /**
        Opens the listener and starts the I/O threads.

        @returns where it listens; InvalidArgument for settings that contradict themselves or a certificate that cannot
                 be read, Unavailable if the address cannot be had
    */
    Outcome<Endpoint> start();

    /** From now on every answer tells the caller to use another VM and closes its connection after it. */
    void beginLeaving();

    /** Closes every connection, ends the threads and waits for them. Idempotent. */
    void stop();

    /** How many I/O threads, and so pairs of rings, there are. */
    std::size_t getThreadCount() const;

    /** Callers' connections that are open, over all threads. Thread safety: any thread. */
    std::size_t getConnectionCount() const;

    /** Takes the oldest report of a thread, or nothing if none waits. */
    std::optional<RequestReport> takeReport(std::size_t thread);

    /**
        Hands a directive to a thread and wakes it.

        @returns false, with the directive untouched, if the thread's ring is full; push it again later
    */
    bool pushDirective(std::size_t thread, RequestDirective&& directive);

    /** The thread that owns a request. */
    static std::size_t threadOf(RequestId request);

    /** Serves a request that another VM relays; the answer goes into the exchange. */
    void serveRelayed(RelayedRequest request, std::shared_ptr<RelayExchange> answer);

    /** Fetches GET /load of each source once a period and reports it on thread 0; replaces the earlier sources. */
    void setLoadSources(std::vector<LoadSource> sources, Milliseconds period);

private:
    struct State;
    std::unique_ptr<State> state;
};

} // namespace papayashelf
