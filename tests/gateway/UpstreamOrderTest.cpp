#include "gateway/GatewayFixture.h"

#include <cppunit/extensions/HelperMacros.h>

namespace papayashelf {

using namespace gatewayfixture;

namespace {

constexpr Milliseconds now { 100'000 };
const UpstreamId upstreamId("engine-0");

UpstreamRecord makeEntry(std::int64_t sequence, std::int64_t startedAt = 1'700'000'000'000)
{
    UpstreamRecord record = makeUpstream(upstreamId.string(), "north");
    record.startedAt = startedAt;
    record.sequence = sequence;
    return record;
}

UpstreamRecord makeLeavingEntry(std::int64_t sequence)
{
    UpstreamRecord record = makeEntry(sequence);
    record.isLeaving = true;
    return record;
}

bool isUsed(const UpstreamTable& table)
{
    return !table.getUsableUpstreams(ServiceId("engine"), RegionId("north")).empty();
}

/** Removes the upstream at once. */
void end(UpstreamTable& table, Milliseconds at)
{
    table.remove(upstreamId, at);
    table.expire(at);
}

} // namespace

class UpstreamOrderTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(UpstreamOrderTest);
    CPPUNIT_TEST(testLeavingUpstreamDoesNotReturnThroughAnOlderEntry);
    CPPUNIT_TEST(testLeavingUpstreamDoesNotReturnThroughALaterEntry);
    CPPUNIT_TEST(testUpstreamThatEndedAfterLeavingDoesNotReturn);
    CPPUNIT_TEST(testUpstreamThatEndedAfterStatingThatItLeavesDoesNotReturn);
    CPPUNIT_TEST(testEndedUpstreamDoesNotReturnThroughAnOlderEntry);
    CPPUNIT_TEST(testEndedIncarnationDoesNotReplaceItsSuccessor);
    CPPUNIT_TEST(testLapsedUpstreamReturnsWithALaterEntry);
    CPPUNIT_TEST(testOlderEntryDoesNotProlongALapsedUpstream);
    CPPUNIT_TEST(testRestartedUpstreamIsNotOrderedByItsFormerSequence);
    CPPUNIT_TEST(testEntriesWithoutASequenceApplyAsTheyCome);
    CPPUNIT_TEST(testEntriesWithoutAStartAreOrderedBySequence);
    CPPUNIT_TEST(testUpstreamRestartedWithoutAStartIsUsedBeforeLong);
    CPPUNIT_TEST(testOlderEntryThatStaysListedIsApplied);
    CPPUNIT_TEST(testOlderEntriesThatKeepComingAreApplied);
    CPPUNIT_TEST(testOlderEntryThatIsRemovedIsNotApplied);
    CPPUNIT_TEST(testLeavingUpstreamStaysUnusedWhileAnOlderEntryStaysListed);
    CPPUNIT_TEST(testEndedUpstreamsAreForgotten);
    CPPUNIT_TEST(testUnreadableEntryEndsTheGraceOfALapsedUpstream);
    CPPUNIT_TEST_SUITE_END();

public:
    void testLeavingUpstreamDoesNotReturnThroughAnOlderEntry()
    {
        UpstreamTable table;
        table.put(now, makeEntry(4));
        table.put(now, makeLeavingEntry(9));
        table.put(now, makeEntry(4));
        CPPUNIT_ASSERT(!isUsed(table));
    }

    void testLeavingUpstreamDoesNotReturnThroughALaterEntry()
    {
        UpstreamTable table;
        table.put(now, makeLeavingEntry(9));
        table.put(now, makeEntry(10));
        CPPUNIT_ASSERT(!isUsed(table));
    }

    void testUpstreamThatEndedAfterLeavingDoesNotReturn()
    {
        UpstreamTable table;
        table.put(now, makeLeavingEntry(9));
        end(table, now);
        table.put(now, makeEntry(10));
        CPPUNIT_ASSERT(!isUsed(table));
    }

    void testUpstreamThatEndedAfterStatingThatItLeavesDoesNotReturn()
    {
        UpstreamTable table;
        table.put(now, makeEntry(9));
        UpstreamStatement statement;
        statement.isLeaving = true;
        table.noteStatement(now, makeEntry(9), statement);
        end(table, now);
        table.put(now, makeEntry(10));
        CPPUNIT_ASSERT(!isUsed(table));
    }

    void testEndedUpstreamDoesNotReturnThroughAnOlderEntry()
    {
        UpstreamTable table;
        table.put(now, makeEntry(9));
        end(table, now);
        table.put(now + Milliseconds(3'000), makeEntry(4));
        CPPUNIT_ASSERT(!isUsed(table));
        table.put(now + Milliseconds(3'000), makeEntry(9));
        CPPUNIT_ASSERT(!isUsed(table));
    }

    void testEndedIncarnationDoesNotReplaceItsSuccessor()
    {
        UpstreamTable table;
        table.put(now, makeEntry(50, 1'000));
        table.put(now, makeEntry(1, 2'000));
        table.put(now, makeEntry(50, 1'000));
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 2'000 }, table.find(upstreamId)->record.startedAt);
        end(table, now);
        table.put(now, makeEntry(50, 1'000));
        CPPUNIT_ASSERT(!isUsed(table));
    }

    void testLapsedUpstreamReturnsWithALaterEntry()
    {
        UpstreamTable table;
        table.put(now, makeEntry(9));
        end(table, now);
        table.put(now, makeEntry(10));
        CPPUNIT_ASSERT(isUsed(table));
        // An entry written again as it was, before the upstream is given up.
        table.remove(upstreamId, now + Milliseconds(2'000));
        table.put(now + Milliseconds(1'000), makeEntry(10));
        table.expire(now + Milliseconds(3'000));
        CPPUNIT_ASSERT(isUsed(table));
    }

    void testOlderEntryDoesNotProlongALapsedUpstream()
    {
        UpstreamTable table;
        table.put(now, makeEntry(9));
        table.remove(upstreamId, now + Milliseconds(2'000));
        table.put(now + Milliseconds(1'000), makeEntry(4));
        table.expire(now + Milliseconds(2'000));
        CPPUNIT_ASSERT(!isUsed(table));
    }

    void testRestartedUpstreamIsNotOrderedByItsFormerSequence()
    {
        UpstreamTable table;
        table.put(now, makeEntry(500, 1'000));
        table.put(now, makeEntry(1, 2'000));
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 1 }, table.find(upstreamId)->record.sequence);
        end(table, now);
        table.put(now, makeEntry(1, 3'000));
        CPPUNIT_ASSERT(isUsed(table));
        UpstreamRecord elsewhere = makeEntry(1, 3'000);
        elsewhere.endpoint.port = 9;
        table.put(now, makeEntry(7, 3'000));
        table.put(now, elsewhere);
        CPPUNIT_ASSERT(elsewhere == table.find(upstreamId)->record);
    }

    void testEntriesWithoutASequenceApplyAsTheyCome()
    {
        for (const std::int64_t startedAt : { std::int64_t { 0 }, std::int64_t { 1'000 } }) {
            UpstreamTable table;
            table.put(now, makeEntry(9, startedAt));
            table.put(now, makeEntry(0, startedAt));
            CPPUNIT_ASSERT_EQUAL(std::int64_t { 0 }, table.find(upstreamId)->record.sequence);
            end(table, now);
            table.put(now, makeEntry(0, startedAt));
            CPPUNIT_ASSERT(isUsed(table));
        }
    }

    void testEntriesWithoutAStartAreOrderedBySequence()
    {
        UpstreamTable table;
        UpstreamRecord leaving = makeLeavingEntry(9);
        leaving.startedAt = 0;
        table.put(now, makeEntry(4, 0));
        table.put(now, leaving);
        table.put(now, makeEntry(4, 0));
        CPPUNIT_ASSERT(!isUsed(table));
        end(table, now);
        table.put(now, makeEntry(4, 0));
        CPPUNIT_ASSERT(!isUsed(table));
    }

    void testUpstreamRestartedWithoutAStartIsUsedBeforeLong()
    {
        UpstreamTable table;
        UpstreamRecord leaving = makeLeavingEntry(9);
        leaving.startedAt = 0;
        table.put(now, leaving);
        UpstreamRecord elsewhere = makeEntry(1, 0);
        elsewhere.endpoint.port = 9;
        table.put(now, elsewhere);
        CPPUNIT_ASSERT(isUsed(table));
        table.put(now, leaving);
        table.put(now, makeEntry(1, 0));
        table.expire(now + Milliseconds(20'000));
        CPPUNIT_ASSERT(isUsed(table));
    }

    void testOlderEntryThatStaysListedIsApplied()
    {
        // The entry of an upstream that has ended is removed before long; this one is kept alive.
        UpstreamTable table;
        table.put(now, makeEntry(9));
        end(table, now);
        table.put(now, makeEntry(4));
        table.expire(now + Milliseconds(5'000));
        CPPUNIT_ASSERT(!isUsed(table));
        table.expire(now + Milliseconds(20'000));
        CPPUNIT_ASSERT(isUsed(table));
    }

    void testOlderEntriesThatKeepComingAreApplied()
    {
        UpstreamTable table;
        table.put(now, makeEntry(1'000));
        end(table, now);
        for (int second = 0; second < 20; ++second) {
            table.put(now + Milliseconds::fromSeconds(second), makeEntry(1 + second));
            table.expire(now + Milliseconds::fromSeconds(second));
        }
        CPPUNIT_ASSERT(isUsed(table));
    }

    void testOlderEntryThatIsRemovedIsNotApplied()
    {
        UpstreamTable table;
        table.put(now, makeEntry(9));
        end(table, now);
        table.put(now, makeEntry(4));
        table.remove(upstreamId, now + Milliseconds(4'000));
        table.expire(now + Milliseconds(20'000));
        CPPUNIT_ASSERT(!isUsed(table));
    }

    void testLeavingUpstreamStaysUnusedWhileAnOlderEntryStaysListed()
    {
        UpstreamTable table;
        table.put(now, makeLeavingEntry(9));
        table.put(now, makeEntry(4));
        table.expire(now + Milliseconds(20'000));
        CPPUNIT_ASSERT(!isUsed(table));
    }

    void testEndedUpstreamsAreForgotten()
    {
        UpstreamTable table;
        for (int number = 0; number < 20'000; ++number) {
            UpstreamRecord record = makeEntry(9);
            record.id = UpstreamId("engine-" + std::to_string(number));
            table.put(now, record);
            table.remove(record.id, now);
        }
        table.expire(now);
        CPPUNIT_ASSERT(table.countRemembered() > 0 && table.countRemembered() <= 10'000);
        table.expire(now + Milliseconds(600'000));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 0 }, table.countRemembered());
        table.put(now + Milliseconds(600'000), makeEntry(9));
        CPPUNIT_ASSERT(isUsed(table));
    }

    void testUnreadableEntryEndsTheGraceOfALapsedUpstream()
    {
        UpstreamTable table;
        table.put(now, makeEntry(9));
        table.remove(upstreamId, now + Milliseconds(2'000));
        table.remove(upstreamId, now + Milliseconds(100));
        table.expire(now + Milliseconds(100));
        CPPUNIT_ASSERT(!isUsed(table));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(UpstreamOrderTest);

} // namespace papayashelf
