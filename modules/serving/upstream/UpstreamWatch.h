#pragma once

#include "entrance/upstream/UpstreamPool.h"
#include "foundation/foundation.h"
#include "gateway/gateway.h"
#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <set>

namespace papayashelf {

/**
    Finds out whether an upstream's process has ended once it ends or refuses connections, and tells the core.

    An upstream may also end single connections, and it refuses those beyond its maximum. Only one whose process has
   ended refuses new ones while this VM has none left.

    Thread safety: none; owned by one I/O thread.
*/
class UpstreamWatch {
public:
    /** All references must outlive the watch. */
    UpstreamWatch(boost::asio::any_io_executor executor, UpstreamPool& pool, GatewayCore& core, DecisionLog& log);

    /**
        Returns true if nothing accepts connections at an upstream that has ended one. A connection that it accepts goes
       to the pool.

        @param limit  time after which an endpoint without any reaction counts as accepting
    */
    boost::asio::awaitable<bool> refusesConnections(UpstreamRecord upstream, Milliseconds limit);

    /** Does the same without waiting for the result, unless it is doing so for the endpoint already. */
    void checkSoon(const UpstreamRecord& upstream);

    /** Records that an upstream refused a connection. */
    void noteRefusal(const UpstreamRecord& upstream);

    /** Records that an idle connection to an endpoint has ended. */
    void noteIdleConnectionEnded(const Endpoint& endpoint);

private:
    boost::asio::any_io_executor executor;
    UpstreamPool& pool;
    GatewayCore& core;
    DecisionLog& log;
    Clock clock;
    std::set<Endpoint> endpointsInCheck;
};

} // namespace papayashelf
