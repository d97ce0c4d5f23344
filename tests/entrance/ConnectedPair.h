#pragma once

#include "entrance/upstream/UpstreamPool.h"
#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/write.hpp>
#include <cppunit/TestAssert.h>
#include <memory>
#include <string>

namespace papayashelf {

/**
    A connection of an UpstreamPool, and its other side.

    Thread safety: none; owned by one thread.
*/
class ConnectedPair {
public:
    ConnectedPair()
        : pool(this->context.get_executor(), this->settings)
        , acceptor(this->context, boost::asio::ip::tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0))
        , upstream(this->context)
    {
        this->connection = this->connectAnother(this->upstream);
    }

    /** Resets the connection from the other side, and waits until this side can see it. */
    void reset()
    {
        this->upstream.set_option(boost::asio::ip::tcp::socket::linger(true, 0));
        this->close();
    }

    /** Ends the connection from the other side, and waits until this side can see it. */
    void close()
    {
        this->upstream.close();
        this->connection->socket.wait(boost::asio::ip::tcp::socket::wait_read);
    }

    /** Sends a byte from the other side, and waits until this side can see it. */
    void sendBack()
    {
        boost::asio::write(this->upstream, boost::asio::buffer("x", 1));
        this->connection->socket.wait(boost::asio::ip::tcp::socket::wait_read);
    }

    boost::system::error_code receive()
    {
        boost::system::error_code result;
        const auto run = [&]() -> boost::asio::awaitable<void> {
            std::array<char, 16> space {};
            const auto [failure, bytes] = co_await this->connection->receive(boost::asio::buffer(space));
            result = failure;
        };
        this->run(run());
        return result;
    }

    /** Sends a request of one byte. */
    boost::system::error_code send(const std::string& requestId = "id")
    {
        boost::system::error_code result;
        const auto run = [&]() -> boost::asio::awaitable<void> {
            const std::array<boost::asio::const_buffer, 2> pieces { boost::asio::buffer("x", 1),
                boost::asio::const_buffer() };
            const auto [failure, bytes] = co_await this->connection->send(requestId, pieces);
            result = failure;
        };
        this->run(run());
        return result;
    }

    /** Receives, and cancels that before anything comes. */
    void receiveUntilCancelled()
    {
        boost::asio::post(
            this->context, [this] { boost::asio::post(this->context, [this] { this->connection->socket.cancel(); }); });
        CPPUNIT_ASSERT(this->receive() == boost::asio::error::operation_aborted);
    }

    /** Opens one more connection of the pool to the same endpoint, and sets its other side. */
    std::unique_ptr<UpstreamConnection> connectAnother(boost::asio::ip::tcp::socket& otherSide)
    {
        auto another = this->pool.makeConnection({ "127.0.0.1", this->acceptor.local_endpoint().port() });
        another->socket.connect(this->acceptor.local_endpoint());
        this->acceptor.accept(otherSide);
        another->socket.non_blocking(true);
        return another;
    }

    const ConnectionEnd& end() const { return this->connection->end; }

private:
    void run(boost::asio::awaitable<void> work)
    {
        boost::asio::co_spawn(this->context, std::move(work), boost::asio::detached);
        this->context.restart();
        this->context.run();
    }

    boost::asio::io_context context;
    EntranceSettings settings;

public:
    UpstreamPool pool;
    std::unique_ptr<UpstreamConnection> connection;

private:
    boost::asio::ip::tcp::acceptor acceptor;
    boost::asio::ip::tcp::socket upstream;
};

} // namespace papayashelf
