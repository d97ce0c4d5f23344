#include "timeline/timeline.h"

#include <cppunit/extensions/HelperMacros.h>

namespace papayashelf {

class TimelineTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(TimelineTest);
    CPPUNIT_TEST(testEffectFollowsCauseDespiteClockDifference);
    CPPUNIT_TEST(testOldEventsAreDroppedButCounted);
    CPPUNIT_TEST(testDuplicateEventsAreMergedOnce);
    CPPUNIT_TEST_SUITE_END();

    // The cause has a later local time and a larger VM id than its effect, so only the logical time orders them.
    void testEffectFollowsCauseDespiteClockDifference()
    {
        Timeline sender(VmId("vm-z"), 1, 10);
        Timeline receiver(VmId("vm-a"), 1, 10);
        for (int count = 0; count < 5; ++count)
            sender.record(Milliseconds(9000), "busy");
        sender.record(Milliseconds(9000), "cause");
        receiver.observeLogicalTime(sender.getLogicalTime());
        receiver.record(Milliseconds(10), "effect");

        const auto merged = mergeTimelines({ receiver.getEventsAfter(0), sender.getEventsAfter(0) });
        CPPUNIT_ASSERT_EQUAL(std::string("cause"), merged.at(5).kind);
        CPPUNIT_ASSERT_EQUAL(std::string("effect"), merged.at(6).kind);
    }

    void testOldEventsAreDroppedButCounted()
    {
        Timeline timeline(VmId("vm-a"), 1, 2);
        for (int count = 0; count < 5; ++count)
            timeline.record(Milliseconds(count), "event");
        CPPUNIT_ASSERT_EQUAL(std::uint64_t { 5 }, timeline.getLastSequence());
        CPPUNIT_ASSERT_EQUAL(std::size_t { 2 }, timeline.getEventsAfter(0).size());
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, timeline.getEventsAfter(4).size());
    }

    void testDuplicateEventsAreMergedOnce()
    {
        Timeline timeline(VmId("vm-a"), 1, 10);
        timeline.record(Milliseconds(1), "event");
        const auto events = timeline.getEventsAfter(0);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, mergeTimelines({ events, events }).size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TimelineTest);

} // namespace papayashelf
