#pragma once

#include "entrance/upstream/UpstreamPool.h"
#include "foundation/foundation.h"
#include "gateway/gateway.h"
#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <functional>
#include <memory>

namespace papayashelf {

/**
    Checks whether this VM still reaches any upstream, by connections that it opens to a few of them, and tells the
   core.

    Thread safety: none; owned by one I/O thread.
*/
class ReachCheck {
public:
    /** All references must outlive the check. */
    ReachCheck(boost::asio::any_io_executor executor, UpstreamPool& pool, GatewayCore& core, DecisionLog& log);

    /** Sets a function that is called once upstreams are reached again; empty for none. */
    void setRegainedHandler(std::function<void()> handler) { this->onRegained = std::move(handler); }

    /** Begins a check if the core has one due. Call a few times a second. */
    void runIfDue();

    /**
        Finds out whether an upstream that cannot be reached has ended, or this VM has lost its links. Takes no longer
        than a connection may take to open.

        @returns false if this VM reaches none of the other upstreams that should run; true if it does, or if there are
                 too few of them to decide that
    */
    boost::asio::awaitable<bool> reachesOthers(UpstreamId ended);

private:
    /** Connections of one check that are still to be opened. */
    struct Round;

    void begin(const std::vector<UpstreamRecord>& upstreams);
    boost::asio::awaitable<void> connect(std::shared_ptr<Round> round, Endpoint endpoint);
    void finish(const std::shared_ptr<Round>& round);

    boost::asio::any_io_executor executor;
    UpstreamPool& pool;
    GatewayCore& core;
    DecisionLog& log;
    Clock clock;
    std::function<void()> onRegained;
    std::shared_ptr<Round> current; /**< Null unless a check is running. */
};

} // namespace papayashelf
