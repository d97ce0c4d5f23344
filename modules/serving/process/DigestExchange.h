#pragma once

#include "foundation/logging/DecisionLog.h"
#include "foundation/outcomes/Outcome.h"
#include "gateway/core/GatewayCore.h"
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>

namespace papayashelf {

/**
    Carries digests between VMs as datagrams: one that is lost is made good by the next.

    Thread safety: none; owned by one I/O thread.
*/
class DigestExchange {
public:
    /** All references must outlive the exchange. */
    DigestExchange(const boost::asio::any_io_executor& executor, GatewayCore& core, DecisionLog& log);

    /** Takes the UDP port. Error: Unavailable if it cannot be had. */
    Outcome<void> open(const Endpoint& at);

    /** Sends reports at an interval. Run once, after open(). */
    boost::asio::awaitable<void> sendOften();

    /** Takes what comes and answers it. Run once, after open(). */
    boost::asio::awaitable<void> receive();

private:
    void take(std::string_view bytes);
    void send(const VmAnnouncement& receiver, const std::string& bytes);

    boost::asio::ip::udp::socket socket;
    boost::asio::steady_timer timer;
    GatewayCore& core;
    DecisionLog& log;
    Clock clock;
};

} // namespace papayashelf
