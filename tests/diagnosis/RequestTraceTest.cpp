#include "diagnosis/diagnosis.h"

#include <cppunit/extensions/HelperMacros.h>

namespace papayashelf {

namespace {

std::string makeLogLine(
    std::int64_t time, const std::string& vm, const std::string& event, const std::string& rest = {})
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

class RequestTraceTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(RequestTraceTest);
    CPPUNIT_TEST(testStaleRefusalIsExplainedByStoreChangesOfSameVm);
    CPPUNIT_TEST(testBrokenStreamIsExplainedByChangesOfItsUpstream);
    CPPUNIT_TEST(testStepsOfAllVmsAreSortedByTime);
    CPPUNIT_TEST(testOtherRequestsAndDamagedLinesAreIgnored);
    CPPUNIT_TEST(testUnknownRequestHasNoDecisiveStep);
    CPPUNIT_TEST_SUITE_END();

public:
    // Store changes of another VM, or too long before the refusal, must not be reported as its reason.
    void testStaleRefusalIsExplainedByStoreChangesOfSameVm()
    {
        RequestTrace trace("r-1");
        trace.add(makeLogLine(20'000, "vm-a", "request_refused", R"(,"request":"r-1","cause":"stale_configuration")"));
        trace.add(makeLogLine(14'000, "vm-a", "store_lost", R"(,"detail":"status 503")"));
        trace.add(makeLogLine(14'500, "vm-b", "store_lost"));
        trace.add(makeLogLine(1'000, "vm-a", "store_lost"));
        CPPUNIT_ASSERT_EQUAL(std::string("stale_configuration"), trace.findDecisiveStep()->cause);
        const std::vector<LoggedDecision> background = trace.findRelatedChanges();
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, background.size());
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 14'000 }, background.front().timeMilliseconds);
    }

    // Keys are compared by the whole id of the upstream: u-77 must not be taken for u-7.
    void testBrokenStreamIsExplainedByChangesOfItsUpstream()
    {
        RequestTrace trace("r-1");
        trace.add(makeLogLine(20'000, "vm-a", "attempt_failed", R"(,"request":"r-1","upstream":"u-7","end":"broken")"));
        trace.add(makeLogLine(20'000, "vm-a", "request_failed", R"(,"request":"r-1","last_upstream":"u-7")"));
        trace.add(makeLogLine(22'000, "vm-a", "upstream_removed", R"(,"key":"list/u-7")"));
        trace.add(makeLogLine(22'000, "vm-a", "upstream_removed", R"(,"key":"list/u-77")"));
        CPPUNIT_ASSERT_EQUAL(std::string("attempt_failed"), trace.findDecisiveStep()->event);
        CPPUNIT_ASSERT(std::vector<std::string> { "upstream_removed" } == eventsOf(trace.findRelatedChanges()));
        CPPUNIT_ASSERT_EQUAL(std::string("list/u-7"), trace.findRelatedChanges().front().upstream);
    }

    void testStepsOfAllVmsAreSortedByTime()
    {
        RequestTrace trace("r-1");
        trace.add(makeLogLine(30, "vm-a", "request_answered", R"(,"request":"r-1")"));
        trace.add(makeLogLine(30, "vm-a", "relay_failed", R"(,"request":"r-1")"));
        trace.add("12.5 vm-b " + makeLogLine(20, "vm-b", "request_refused", R"(,"request":"r-1","cause":"all_full")"));
        const std::vector<std::string> expected { "request_refused", "relay_failed", "request_answered" };
        CPPUNIT_ASSERT(expected == eventsOf(trace.getSteps()));
    }

    void testOtherRequestsAndDamagedLinesAreIgnored()
    {
        RequestTrace trace("r-1");
        trace.add(makeLogLine(30, "vm-a", "request_answered", R"(,"request":"r-10")"));
        trace.add(R"({"time_ms":30,"event":"request_answered","request":"r-1")");
        trace.add("no log line");
        trace.add(R"({"event":"request_answered","request":"r-1"})");
        trace.add("");
        CPPUNIT_ASSERT(trace.getSteps().empty());
    }

    void testUnknownRequestHasNoDecisiveStep()
    {
        const RequestTrace trace("r-1");
        CPPUNIT_ASSERT(!trace.findDecisiveStep());
        CPPUNIT_ASSERT(trace.findRelatedChanges().empty());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RequestTraceTest);

} // namespace papayashelf
