#pragma once

#include "entrance/server/Deadline.h"
#include "entrance/server/Signal.h"
#include "entrance/upstream/ConnectionEnd.h"
#include "foundation/identity/Identifier.h"
#include <array>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <cstdint>
#include <memory>

namespace papayashelf {

/**
    One connection to an upstream.

    Bytes are sent, received and peeked at through the functions below, so that all of them tell how the connection
    ended. Thread safety: none; owned by one I/O thread.
*/
struct UpstreamConnection {
    explicit UpstreamConnection(const boost::asio::any_io_executor& executor)
        : socket(executor)
        , deadline(this->socket)
    {
    }

    /** Result of sending or receiving. */
    struct Transfer {
        boost::system::error_code failure;
        std::size_t bytes = 0;
    };

    /** Sends all bytes of both pieces. Precondition: the connection was opened, and nothing else is being sent. */
    boost::asio::awaitable<Transfer> send(std::array<boost::asio::const_buffer, 2> pieces);

    /** Receives at least one byte. Precondition: the connection was opened, and nothing else is being received. */
    boost::asio::awaitable<Transfer> receive(boost::asio::mutable_buffer space);

    /**
        Looks for a byte without taking it. Returns no failure if there is one, and would_block if there is none yet.
        Precondition: the socket does not block.
    */
    boost::system::error_code peek();

    boost::asio::ip::tcp::socket socket;
    Deadline deadline;
    boost::beast::flat_buffer buffer;
    Endpoint endpoint;
    std::uint64_t number = 0; /**< Tells it from all others of its pool. */
    std::size_t requests = 0; /**< Requests sent over it so far. */
    TimePoint openedAt;
    TimePoint idleSince;
    Milliseconds idleLimit; /**< After which it is not used again. */
    std::shared_ptr<void> idleWatch; /**< Exists while the pool watches the connection for its end. */
    std::uint64_t generation = 0; /**< Of its endpoint when it was opened. */
    bool isReused = false;
    ConnectionEnd end; /**< How the upstream ended the connection. */
};

} // namespace papayashelf
