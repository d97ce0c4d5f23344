#include "entrance/ConnectedPair.h"

#include <cppunit/extensions/HelperMacros.h>

namespace papayashelf {

/** A late copy of an answer must not pass for the answer to the request under way. */
class AnswerOwnerTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(AnswerOwnerTest);
    CPPUNIT_TEST(testConnectionIsNotTakenForARequestThatItCarried);
    CPPUNIT_TEST(testOtherConnectionIsTakenForARequestThatOneCarried);
    CPPUNIT_TEST(testConnectionWithoutMemoryLeftIsNotKept);
    CPPUNIT_TEST(testNamedAnswerBelongsToItsRequestOnly);
    CPPUNIT_TEST(testUnnamedAnswerIsCertainOnlyAsTheFirstOne);
    CPPUNIT_TEST_SUITE_END();

public:
    void testConnectionIsNotTakenForARequestThatItCarried()
    {
        ConnectedPair pair;
        const Endpoint endpoint = pair.connection->endpoint;
        for (const char* id : { "id-1", "id-2" }) {
            CPPUNIT_ASSERT(!pair.send(id));
            CPPUNIT_ASSERT(pair.connection->noteAnswer(id) == AnswerOwner::Request);
            pair.pool.giveBack(std::move(pair.connection));
            CPPUNIT_ASSERT(!pair.pool.takeIdle(endpoint, "id-1"));
            CPPUNIT_ASSERT(!pair.pool.takeIdle(endpoint, id));
            pair.connection = pair.pool.takeIdle(endpoint, "id-3");
            CPPUNIT_ASSERT(pair.connection);
        }
    }

    void testOtherConnectionIsTakenForARequestThatOneCarried()
    {
        ConnectedPair pair;
        const Endpoint endpoint = pair.connection->endpoint;
        boost::asio::io_context context;
        boost::asio::ip::tcp::socket otherSide(context);
        std::unique_ptr<UpstreamConnection> older = pair.connectAnother(otherSide);
        const std::uint64_t olderNumber = older->number;
        pair.pool.giveBack(std::move(older));
        CPPUNIT_ASSERT(!pair.send("id-1"));
        pair.pool.giveBack(std::move(pair.connection));
        const auto taken = pair.pool.takeIdle(endpoint, "id-1");
        CPPUNIT_ASSERT(taken && taken->number == olderNumber);
        CPPUNIT_ASSERT(pair.pool.takeIdle(endpoint, "id-2"));
    }

    void testConnectionWithoutMemoryLeftIsNotKept()
    {
        ConnectedPair pair;
        const Endpoint endpoint = pair.connection->endpoint;
        for (std::size_t request = 1; request <= SentRequests::capacity; ++request) {
            CPPUNIT_ASSERT(pair.connection);
            CPPUNIT_ASSERT(!pair.send("id-" + std::to_string(request)));
            pair.pool.giveBack(std::move(pair.connection));
            pair.connection = pair.pool.takeIdle(endpoint, "next");
        }
        CPPUNIT_ASSERT(!pair.connection);
    }

    void testNamedAnswerBelongsToItsRequestOnly()
    {
        ConnectedPair pair;
        pair.send("id-1");
        CPPUNIT_ASSERT(pair.connection->noteAnswer("id-1") == AnswerOwner::Request);
        pair.send("id-2");
        CPPUNIT_ASSERT(pair.connection->noteAnswer("id-1") == AnswerOwner::Uncertain);
        CPPUNIT_ASSERT(pair.connection->noteAnswer("id-2x") == AnswerOwner::Uncertain);
        CPPUNIT_ASSERT(pair.connection->noteAnswer("id-2") == AnswerOwner::Request);
    }

    void testUnnamedAnswerIsCertainOnlyAsTheFirstOne()
    {
        ConnectedPair pair;
        pair.send("id-1");
        CPPUNIT_ASSERT(pair.connection->noteAnswer({}) == AnswerOwner::FirstRequest);
        CPPUNIT_ASSERT(pair.connection->noteAnswer({}) == AnswerOwner::Uncertain);
        pair.send("id-2");
        CPPUNIT_ASSERT(pair.connection->noteAnswer({}) == AnswerOwner::Uncertain);
        // A request that got no answer leaves its own to the next one.
        ConnectedPair abandoned;
        abandoned.send("id-1");
        abandoned.send("id-2");
        CPPUNIT_ASSERT(abandoned.connection->noteAnswer({}) == AnswerOwner::Uncertain);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AnswerOwnerTest);

} // namespace papayashelf
