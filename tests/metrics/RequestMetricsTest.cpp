#include "metrics/metrics.h"

#include <cppunit/extensions/HelperMacros.h>

namespace papayashelf {

class RequestMetricsTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(RequestMetricsTest);
    CPPUNIT_TEST(testFollowsRequestsByWorkspace);
    CPPUNIT_TEST(testQuantilesOfAKnownDistribution);
    CPPUNIT_TEST(testStrangersAreIgnored);
    CPPUNIT_TEST_SUITE_END();

    RequestMetrics metrics;
    const WorkspaceId club = WorkspaceId("club");

    void testFollowsRequestsByWorkspace()
    {
        this->metrics.noteArrival(Milliseconds(100), 1, this->club);
        this->metrics.noteArrival(Milliseconds(100), 2, this->club);
        this->metrics.noteBegan(Milliseconds(150), 1);
        this->metrics.noteBegan(Milliseconds(190), 1);
        this->metrics.noteFinished(Milliseconds(300), 1);
        this->metrics.noteRefused(2, "over_share");
        this->metrics.noteUsed(this->club, 70);

        const WorkspaceFigures figures = this->metrics.getFigures().at(this->club);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t { 2 }, figures.arrived);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t { 1 }, figures.finished);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t { 1 }, figures.refused.at("over_share"));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t { 70 }, figures.usedTokens);
        CPPUNIT_ASSERT_EQUAL(50.0, figures.firstByte.meanMilliseconds);
        CPPUNIT_ASSERT_EQUAL(200.0, figures.whole.longestMilliseconds);
    }

    void testQuantilesOfAKnownDistribution()
    {
        LatencySummary summary;
        for (int step = 0; step < 10000; ++step)
            summary.add(Milliseconds((step * 7919) % 1000));
        const LatencyFigures figures = summary.getFigures();
        CPPUNIT_ASSERT_DOUBLES_EQUAL(500.0, figures.medianMilliseconds, 25.0);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(990.0, figures.p99Milliseconds, 10.0);
    }

    void testStrangersAreIgnored()
    {
        this->metrics.noteBegan(Milliseconds(1), 9);
        this->metrics.noteFinished(Milliseconds(1), 9);
        this->metrics.noteRefused(9, "leaving");
        CPPUNIT_ASSERT(this->metrics.getFigures().empty());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RequestMetricsTest);

} // namespace papayashelf
