#pragma once

#include "foundation/time/Clock.h"
#include "gateway/core/GatewayCore.h"
#include "serving/process/DigestExchange.h"
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <list>
#include <set>

namespace papayashelf {

/**
    Tells other VMs what began the streams of this one, and asks them what began a stream that a caller takes up here.

    Thread safety: none; owned by one I/O thread.
*/
class StreamOriginClient {
public:
    /** All references must outlive the client. */
    StreamOriginClient(const boost::asio::any_io_executor& executor, GatewayCore& core, DigestExchange& exchange);

    /** Records the origin of a stream and tells the VMs that keep it. Does not wait for them. */
    void noteOrigin(const StreamOriginNotice& notice);

    /**
        Returns the origin of a stream, or nothing if neither this VM nor any that keeps it knows it.

        @param limit  longest time to wait for other VMs
    */
    boost::asio::awaitable<std::optional<StreamOrigin>> find(std::string request, Milliseconds limit);

private:
    /** A question that other VMs have not answered yet. */
    struct Question {
        Question(const boost::asio::any_io_executor& executor, const std::string& request)
            : request(request)
            , timer(executor)
        {
        }

        const std::string& request;
        std::set<VmId> asked; /**< VMs that have not answered. */
        std::set<VmId> unaware; /**< VMs that have answered that they do not know it. */
        boost::asio::steady_timer timer;
    };

    void ask(Question& question);
    void noteMessage(const StreamOriginMessage& message);

    boost::asio::any_io_executor executor;
    GatewayCore& core;
    DigestExchange& exchange;
    Clock clock;
    std::list<Question*> questions;
};

} // namespace papayashelf
