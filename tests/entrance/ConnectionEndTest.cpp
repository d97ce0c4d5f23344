#include "entrance/ConnectedPair.h"

#include <cppunit/extensions/HelperMacros.h>

namespace papayashelf {

namespace asio = boost::asio;

/** A loss that one operation on a connection reports must not be an orderly end for those that follow. */
class ConnectionEndTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(ConnectionEndTest);
    CPPUNIT_TEST(testResetThatAPeekTookIsNoOrderlyEnd);
    CPPUNIT_TEST(testResetThatASendTookIsNoOrderlyEnd);
    CPPUNIT_TEST(testResetAfterACancelledReadIsNoOrderlyEnd);
    CPPUNIT_TEST(testOrderlyEndStaysOrderlyAfterAPeek);
    CPPUNIT_TEST(testOwnCloseTellsNothing);
    CPPUNIT_TEST(testResetConnectionIsNotKept);
    CPPUNIT_TEST(testUnaskedBytesAreNoEndOfTheUpstream);
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
        CPPUNIT_ASSERT(!pair.pool.takeIdle(endpoint, {}));
    }

    void testUnaskedBytesAreNoEndOfTheUpstream()
    {
        for (const IdleEnd expected : { IdleEnd::Ended, IdleEnd::UnaskedBytes }) {
            ConnectedPair pair;
            const Endpoint endpoint = pair.connection->endpoint;
            std::vector<IdleEnd> ends;
            if (expected == IdleEnd::Ended)
                pair.close();
            else
                pair.sendBack();
            pair.pool.giveBack(std::move(pair.connection));
            pair.pool.setIdleEndHandler([&](const UpstreamConnection&, IdleEnd end) { ends.push_back(end); });
            CPPUNIT_ASSERT(!pair.pool.takeIdle(endpoint, {}));
            CPPUNIT_ASSERT(ends == std::vector<IdleEnd> { expected });
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConnectionEndTest);

} // namespace papayashelf
