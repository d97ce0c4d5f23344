#pragma once

#include "entrance/upstream/UpstreamPool.h"
#include "foundation/foundation.h"
#include "gateway/gateway.h"
#include "serving/http/HeaderNames.h"
#include "serving/upstream/ReachCheck.h"
#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <random>
#include <set>

namespace papayashelf {

/**
    Finds out whether an upstream's process has ended once it ends or refuses connections, and tells the core.

    An upstream may also end single connections, and it refuses those beyond its maximum. Only one whose process has
    ended refuses new ones while this VM has none left. One that accepts a connection may have started again meanwhile,
    so it is asked for how long it is cold.

    Thread safety: none; owned by one I/O thread.
*/
class UpstreamWatch {
public:
    /** All references must outlive the watch. */
    UpstreamWatch(boost::asio::any_io_executor executor, UpstreamPool& pool, GatewayCore& core, DecisionLog& log,
        const HeaderNames& names, ReachCheck& reach);

    /**
        Returns true if nothing accepts connections at an upstream that has ended one.

        @param limit  time after which an endpoint without any reaction counts as accepting
    */
    boost::asio::awaitable<bool> refusesConnections(UpstreamRecord upstream, Milliseconds limit);

    /** Does the same without waiting for the result, unless it is doing so for the endpoint already. */
    void checkSoon(const UpstreamRecord& upstream);

    /** Records that an upstream refused a connection. */
    void noteRefusal(const UpstreamRecord& upstream);

    /** Records that an idle connection to an endpoint has ended. */
    void noteIdleConnectionEnded(const Endpoint& endpoint);

    /** Finds out whether an upstream has ended or this VM has lost its links; see ReachCheck::reachesOthers(). */
    boost::asio::awaitable<bool> reachesOthers(const UpstreamId& ended) { return this->reach.reachesOthers(ended); }

    /** Asks the upstreams whose end is uncertain whether they have started anew. Call once upstreams are reached again.
     */
    void askUncertain();

private:
    using Connection = std::unique_ptr<UpstreamConnection>;

    /** Asks an upstream for its health over a new connection, unless it is being asked already. */
    void askSoon(const UpstreamRecord& upstream, Connection connection);
    boost::asio::awaitable<void> ask(UpstreamRecord upstream, ServingService service, Connection connection);
    boost::asio::awaitable<void> confirmEnd(UpstreamId upstream);
    boost::asio::awaitable<void> askLater(UpstreamRecord upstream, Milliseconds delay);
    /** Returns for how long the upstream says that it is cold, or nothing if it does not answer. */
    boost::asio::awaitable<std::optional<Milliseconds>> readColdTime(
        const std::string& healthPath, UpstreamConnection& connection);
    void noteProbableEnd(Milliseconds now, const UpstreamRecord& upstream, std::string_view evidence);
    void logEnd(Milliseconds now, const UpstreamRecord& upstream, std::string_view evidence);

    boost::asio::any_io_executor executor;
    UpstreamPool& pool;
    GatewayCore& core;
    DecisionLog& log;
    const HeaderNames& names;
    ReachCheck& reach;
    Clock clock;
    std::mt19937_64 random { std::random_device {}() };
    std::set<Endpoint> endpointsInCheck;
    std::set<Endpoint> endpointsInQuestion;
};

} // namespace papayashelf
