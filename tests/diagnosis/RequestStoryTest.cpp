#include "diagnosis/diagnosis.h"

#include <cppunit/extensions/HelperMacros.h>

namespace papayashelf {

namespace {

std::string line(std::int64_t time, const std::string& vm, const std::string& event, const std::string& rest = {})
{
    return R"({"time_ms":)" + std::to_string(time) + R"(,"event":")" + event + R"(","vm":")" + vm + '"' + rest + "}";
}

std::vector<std::string> eventsOf(const std::vector<LoggedDecision>& decisions)
{
    std::vector<std::string> events;
    for (const LoggedDecision& decision : decisions)
        events.push_back(decision.event);
    return events;
}

} // namespace

class RequestStoryTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(RequestStoryTest);
    CPPUNIT_TEST(testRefusalAsStaleShowsTheStoreOfItsVm);
    CPPUNIT_TEST(testBrokenStreamShowsWhatTheListSaidOfItsUpstream);
    CPPUNIT_TEST(testStepsOfAllVmsStandByTime);
    CPPUNIT_TEST(testOtherRequestsAndDamagedLinesArePassedOver);
    CPPUNIT_TEST(testUnknownRequestHasNoStory);
    CPPUNIT_TEST_SUITE_END();

public:
    void testRefusalAsStaleShowsTheStoreOfItsVm()
    {
        RequestTrace story("r-1");
        story.add(line(20'000, "vm-a", "request_refused", R"(,"request":"r-1","cause":"stale_configuration")"));
        story.add(line(14'000, "vm-a", "store_lost", R"(,"detail":"status 503")"));
        story.add(line(14'500, "vm-b", "store_lost"));
        story.add(line(1'000, "vm-a", "store_lost"));
        CPPUNIT_ASSERT_EQUAL(std::string("stale_configuration"), story.findDecisiveStep()->cause);
        const std::vector<LoggedDecision> background = story.findRelatedChanges();
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, background.size());
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 14'000 }, background.front().timeMilliseconds);
    }

    void testBrokenStreamShowsWhatTheListSaidOfItsUpstream()
    {
        RequestTrace story("r-1");
        story.add(line(20'000, "vm-a", "attempt_failed", R"(,"request":"r-1","upstream":"u-7","end":"broken")"));
        story.add(line(20'000, "vm-a", "request_failed", R"(,"request":"r-1","last_upstream":"u-7")"));
        story.add(line(22'000, "vm-a", "upstream_removed", R"(,"key":"list/u-7")"));
        story.add(line(22'000, "vm-a", "upstream_removed", R"(,"key":"list/u-77")"));
        CPPUNIT_ASSERT_EQUAL(std::string("attempt_failed"), story.findDecisiveStep()->event);
        CPPUNIT_ASSERT(std::vector<std::string> { "upstream_removed" } == eventsOf(story.findRelatedChanges()));
        CPPUNIT_ASSERT_EQUAL(std::string("list/u-7"), story.findRelatedChanges().front().upstream);
    }

    void testStepsOfAllVmsStandByTime()
    {
        RequestTrace story("r-1");
        story.add(line(30, "vm-a", "request_answered", R"(,"request":"r-1")"));
        story.add(line(30, "vm-a", "relay_failed", R"(,"request":"r-1")"));
        story.add("12.5 vm-b " + line(20, "vm-b", "request_refused", R"(,"request":"r-1","cause":"all_full")"));
        const std::vector<std::string> expected { "request_refused", "relay_failed", "request_answered" };
        CPPUNIT_ASSERT(expected == eventsOf(story.getSteps()));
    }

    void testOtherRequestsAndDamagedLinesArePassedOver()
    {
        RequestTrace story("r-1");
        story.add(line(30, "vm-a", "request_answered", R"(,"request":"r-10")"));
        story.add(R"({"time_ms":30,"event":"request_answered","request":"r-1")");
        story.add("no log line");
        story.add(R"({"event":"request_answered","request":"r-1"})");
        story.add("");
        CPPUNIT_ASSERT(story.getSteps().empty());
    }

    void testUnknownRequestHasNoStory()
    {
        const RequestTrace story("r-1");
        CPPUNIT_ASSERT(!story.findDecisiveStep());
        CPPUNIT_ASSERT(story.findRelatedChanges().empty());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RequestStoryTest);

} // namespace papayashelf
