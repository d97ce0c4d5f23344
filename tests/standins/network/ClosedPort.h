#pragma once

#include "foundation/identity/Identifier.h"
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

namespace papayashelf {

/** A port of loopback that refuses connections and that no other process can take, for as long as the object lives. */
class ClosedPort {
public:
    /** Takes a free port. */
    ClosedPort()
    {
        const boost::asio::ip::tcp::endpoint any(boost::asio::ip::address_v4::loopback(), 0);
        this->socket.open(any.protocol());
        this->socket.bind(any);
    }

    /** Returns the port's endpoint. */
    Endpoint getEndpoint() const { return { "127.0.0.1", this->socket.local_endpoint().port() }; }

private:
    boost::asio::io_context context;
    boost::asio::ip::tcp::socket socket { this->context };
};

} // namespace papayashelf
