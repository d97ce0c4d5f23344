#pragma once

#include "foundation/logging/DecisionLog.h"
#include "foundation/outcomes/Outcome.h"
#include "gateway/core/GatewayCore.h"
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>

namespace papayashelf {

/**
    Exchanges digests between VMs as UDP datagrams. A lost datagram needs no resend, as the next one replaces it.

    Thread safety: none; owned by one I/O thread.
*/
class DigestExchange {
public:
    /** All references must outlive the exchange. */
    DigestExchange(const boost::asio::any_io_executor& executor, GatewayCore& core, DecisionLog& log);

    /** Binds the UDP port. Error: Unavailable if it cannot be bound. */
    Outcome<void> open(const Endpoint& at);

    /** Sends reports at a fixed interval until cancelled. Run once, after open(). */
    boost::asio::awaitable<void> sendPeriodically();

    /** Sends a message about the origins of streams; does nothing before open(). */
    void sendOrigins(const VmAnnouncement& receiver, const StreamOriginMessage& message);

    /** Sets a function that is called with each received message about the origins of streams, after it was processed;
        empty for none. */
    void setOriginHandler(std::function<void(const StreamOriginMessage&)> handler)
    {
        this->onOrigins = std::move(handler);
    }

    /** Receives datagrams and replies to reports while the socket is open. Run once, after open(). */
    boost::asio::awaitable<void> receive();

private:
    void handleDatagram(std::string_view bytes);
    void handleOrigins(Milliseconds now, const StreamOriginMessage& message);
    void send(const VmAnnouncement& receiver, const std::string& bytes);

    boost::asio::ip::udp::socket socket;
    boost::asio::steady_timer timer;
    GatewayCore& core;
    DecisionLog& log;
    Clock clock;
    std::function<void(const StreamOriginMessage&)> onOrigins;
};

} // namespace papayashelf
