#include "entrance/upstream/ConnectionEnd.h"

#include "entrance/upstream/UpstreamPool.h"
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/write.hpp>
#include <cppunit/extensions/HelperMacros.h>

namespace papayashelf {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

/** A connection of an UpstreamPool, and its other side. */
class ConnectedPair {
public:
    ConnectedPair()
        : pool(this->context.get_executor(), this->settings)
        , acceptor(this->context, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0))
        , upstream(this->context)
    {
        this->connection = this->pool.makeConnection({ "127.0.0.1", this->acceptor.local_endpoint().port() });
        this->connection->socket.connect(this->acceptor.local_endpoint());
        this->acceptor.accept(this->upstream);
        this->connection->socket.non_blocking(true);
    }

    /** Resets the connection from the other side, and waits until this side can see it. */
    void reset()
    {
        this->upstream.set_option(tcp::socket::linger(true, 0));
        this->close();
    }

    /** Ends the connection from the other side, and waits until this side can see it. */
    void close()
    {
        this->upstream.close();
        this->connection->socket.wait(tcp::socket::wait_read);
    }

    boost::system::error_code receive()
    {
        boost::system::error_code result;
        const auto run = [&]() -> asio::awaitable<void> {
            std::array<char, 16> space {};
            const auto [failure, bytes] = co_await this->connection->receive(asio::buffer(space));
            result = failure;
        };
        this->run(run());
        return result;
    }

    boost::system::error_code send()
    {
        boost::system::error_code result;
        const auto run = [&]() -> asio::awaitable<void> {
            const std::array<asio::const_buffer, 2> pieces { asio::buffer("x", 1), asio::const_buffer() };
            const auto [failure, bytes] = co_await this->connection->send(pieces);
            result = failure;
        };
        this->run(run());
        return result;
    }

    /** Receives, and cancels that before anything comes. */
    void receiveUntilCancelled()
    {
        asio::post(this->context, [this] { asio::post(this->context, [this] { this->connection->socket.cancel(); }); });
        CPPUNIT_ASSERT(this->receive() == asio::error::operation_aborted);
    }

    const ConnectionEnd& end() const { return this->connection->end; }

private:
    void run(asio::awaitable<void> work)
    {
        asio::co_spawn(this->context, std::move(work), asio::detached);
        this->context.restart();
        this->context.run();
    }

    asio::io_context context;
    EntranceSettings settings;

public:
    UpstreamPool pool;
    std::unique_ptr<UpstreamConnection> connection;

private:
    tcp::acceptor acceptor;
    tcp::socket upstream;
};

} // namespace

/** A loss that one operation on a connection reports must not be an orderly end for those that follow. */
class ConnectionEndTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(ConnectionEndTest);
    CPPUNIT_TEST(testResetThatAPeekTookIsNoOrderlyEnd);
    CPPUNIT_TEST(testResetThatASendTookIsNoOrderlyEnd);
    CPPUNIT_TEST(testResetAfterACancelledReadIsNoOrderlyEnd);
    CPPUNIT_TEST(testOrderlyEndStaysOrderlyAfterAPeek);
    CPPUNIT_TEST(testOwnCloseTellsNothing);
    CPPUNIT_TEST(testResetConnectionIsNotKept);
    CPPUNIT_TEST_SUITE_END();

public:
    void testResetThatAPeekTookIsNoOrderlyEnd()
    {
        ConnectedPair pair;
        CPPUNIT_ASSERT(pair.connection->peek() == asio::error::would_block);
        CPPUNIT_ASSERT(!pair.end().isKnown());
        pair.reset();
        CPPUNIT_ASSERT(pair.connection->peek() == asio::error::connection_reset);
        CPPUNIT_ASSERT(pair.receive() == asio::error::eof);
        CPPUNIT_ASSERT(pair.end().isKnown() && !pair.end().isOrderly());
    }

    void testResetThatASendTookIsNoOrderlyEnd()
    {
        ConnectedPair pair;
        pair.reset();
        CPPUNIT_ASSERT(pair.send().failed());
        CPPUNIT_ASSERT(pair.receive() == asio::error::eof);
        CPPUNIT_ASSERT(!pair.end().isOrderly());
    }

    void testResetAfterACancelledReadIsNoOrderlyEnd()
    {
        ConnectedPair pair;
        pair.receiveUntilCancelled();
        CPPUNIT_ASSERT(!pair.end().isKnown());
        pair.reset();
        pair.receive();
        pair.receive();
        CPPUNIT_ASSERT(pair.end().isKnown() && !pair.end().isOrderly());
    }

    void testOrderlyEndStaysOrderlyAfterAPeek()
    {
        ConnectedPair pair;
        pair.close();
        CPPUNIT_ASSERT(pair.connection->peek() == asio::error::eof);
        CPPUNIT_ASSERT(pair.receive() == asio::error::eof);
        CPPUNIT_ASSERT(pair.end().isOrderly());
    }

    void testOwnCloseTellsNothing()
    {
        ConnectedPair pair;
        pair.connection->socket.close();
        CPPUNIT_ASSERT(pair.connection->peek().failed());
        CPPUNIT_ASSERT(!pair.end().isKnown());
    }

    void testResetConnectionIsNotKept()
    {
        ConnectedPair pair;
        const Endpoint endpoint = pair.connection->endpoint;
        pair.reset();
        pair.connection->peek();
        pair.pool.giveBack(std::move(pair.connection));
        CPPUNIT_ASSERT(!pair.pool.takeIdle(endpoint));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConnectionEndTest);

} // namespace papayashelf
