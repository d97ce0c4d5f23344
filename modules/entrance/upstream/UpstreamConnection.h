#pragma once

#include "entrance/server/Deadline.h"
#include "entrance/server/Signal.h"
#include "entrance/upstream/ConnectionEnd.h"
#include "entrance/upstream/SentRequests.h"
#include "foundation/identity/Identifier.h"
#include <array>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace papayashelf {

/** Whose answer was read from a connection. */
enum class AnswerOwner {
    Request, /**< That of the request under way, which it names. */
    FirstRequest, /**< That of the request under way, as it is the first answer to the connection's first request. */
    Uncertain, /**< That of another request, or perhaps so. */
};

/**
    One connection to an upstream.

    An upstream may send an answer again later, where the answer to another request is due. So no request is sent twice
    over one connection, and noteAnswer() alone decides whose answer was read.

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

    /**
        Sends all bytes of both pieces of a request. Precondition: the connection was opened, nothing else is being
        sent, and mayCarry().

        @param requestId  the id that the answer is to name; empty if the protocol has none
    */
    boost::asio::awaitable<Transfer> send(std::string_view requestId, std::array<boost::asio::const_buffer, 2> pieces);

    /** Returns true if the request has not been sent over this connection and can be remembered. */
    bool mayCarry(std::string_view requestId) const
    {
        return !this->sentRequests.isFull() && !this->sentRequests.contains(requestId);
    }

    /**
        Records that the head of a final answer was read, and returns whose answer it is. Call once for each.
        Precondition: a request was sent.

        @param namedRequest  the id that the answer names; empty for none
    */
    AnswerOwner noteAnswer(std::string_view namedRequest);

    /** Returns the number of requests that were sent before the one under way. */
    std::size_t countEarlierRequests() const
    {
        return this->sentRequests.count() == 0 ? 0 : this->sentRequests.count() - 1;
    }

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
    TimePoint openedAt;
    TimePoint idleSince;
    Milliseconds idleLimit; /**< After which it is not used again. */
    std::shared_ptr<void> idleWatch; /**< Exists while the pool watches the connection for its end. */
    std::uint64_t generation = 0; /**< Of its endpoint when it was opened. */
    ConnectionEnd end; /**< How the upstream ended the connection. */

private:
    SentRequests sentRequests;
    std::string requestId; /**< Of the request under way. */
    std::size_t answers = 0; /**< Final answers read so far. */
};

} // namespace papayashelf
