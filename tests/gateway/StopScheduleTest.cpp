#include "gateway/gateway.h"

#include <cppunit/extensions/HelperMacros.h>

namespace papayashelf {

class StopScheduleTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(StopScheduleTest);
    CPPUNIT_TEST(testRequestsMayRunUntilTheLastSixthOfAnyGrace);
    CPPUNIT_TEST(testLongGraceDoesNotProlongAcceptance);
    CPPUNIT_TEST_SUITE_END();

public:
    void testRequestsMayRunUntilTheLastSixthOfAnyGrace()
    {
        for (const std::int64_t seconds : { 1, 2, 4, 5, 6, 8, 30, 600 }) {
            const Milliseconds grace = Milliseconds::fromSeconds(seconds);
            const StopSchedule stop(beganAt, grace);
            CPPUNIT_ASSERT(stop.getRequestsEnd() >= beganAt + grace * 5 / 6);
            CPPUNIT_ASSERT(stop.getRequestsEnd() < stop.getProcessEnd());
            CPPUNIT_ASSERT(stop.getProcessEnd() < beganAt + grace);
        }
    }

    void testLongGraceDoesNotProlongAcceptance()
    {
        for (const std::int64_t seconds : { 8, 30, 600 }) {
            const StopSchedule stop(beganAt, Milliseconds::fromSeconds(seconds));
            CPPUNIT_ASSERT(stop.takesRequests(beganAt + Milliseconds(2'000)));
            CPPUNIT_ASSERT(!stop.takesRequests(beganAt + Milliseconds(3'000)));
        }
    }

private:
    static constexpr Milliseconds beganAt { 5'000 };
};

CPPUNIT_TEST_SUITE_REGISTRATION(StopScheduleTest);

} // namespace papayashelf
