#include "serving/GatewayFleet.h"

#include <cppunit/extensions/HelperMacros.h>
#include <future>

namespace papayashelf {

namespace {

constexpr std::chrono::seconds implausibleWait { 10 };

/** Enough for a VM to have seen what had happened on its sockets before the first one. */
constexpr int turns = 50;

} // namespace

/** Streams without length whose connection is reset while their VM tries another upstream for their silence. */
class ResetWhileSilentTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(ResetWhileSilentTest);
    CPPUNIT_TEST(testPartOfAStreamIsNotCompleteAfterAReset);
    CPPUNIT_TEST_SUITE_END();

public:
    void testPartOfAStreamIsNotCompleteAfterAReset()
    {
        GatewayFleet fleet({ "north" });
        SealedUpstream& silent = fleet.addUpstream("v1");
        SealedUpstream& other = fleet.addUpstream("v1");
        silent.queueAnswers({ AnswerKind::Stalled });
        other.queueAnswers({ AnswerKind::NoResponse });
        fleet.start();
        fleet.unlist(1);
        auto answer = std::async(std::launch::async, [&fleet] { return fleet.call(0, "id-1"); });
        this->awaitArrivals(fleet, 1);
        fleet.relist(1, "v1");
        this->awaitArrivals(fleet, 2);
        silent.resetStalled();
        for (int turn = 0; turn < turns; ++turn)
            fleet.ask(0, [](GatewayCore&) { return true; });
        other.end();
        const RawAnswer received = answer.get();
        CPPUNIT_ASSERT_MESSAGE(received.text, received.has("piece 2") && !received.has("piece 3"));
        CPPUNIT_ASSERT_MESSAGE(received.text, !received.isComplete());
    }

private:
    void awaitArrivals(const GatewayFleet& fleet, std::size_t count)
    {
        const auto end = std::chrono::steady_clock::now() + implausibleWait;
        while (fleet.findVersions("id-1").size() < count && std::chrono::steady_clock::now() < end)
            std::this_thread::yield();
        CPPUNIT_ASSERT_EQUAL(count, fleet.findVersions("id-1").size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ResetWhileSilentTest);

} // namespace papayashelf
