#include "standins/platform/FakeStore.h"

#include <cppunit/extensions/HelperMacros.h>

namespace papayashelf {

namespace {

StoreRequest get(const std::string& key)
{
    return { StoreOperation::Get, key, {}, 0, {} };
}

StoreRequest swap(const std::string& key, const std::string& value, StoreVersion expected)
{
    return { StoreOperation::CompareAndSwap, key, value, expected, {} };
}

StoreRequest watch(const std::string& key, StoreVersion expected, Milliseconds wait)
{
    return { StoreOperation::Watch, key, {}, expected, wait };
}

StoreEntry readEntry(FakeStore& store, const std::string& key)
{
    return store.apply(get(key)).value().front();
}

} // namespace

class FakeStoreTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(FakeStoreTest);
    CPPUNIT_TEST(testSwapNeedsTheExpectedVersion);
    CPPUNIT_TEST(testRemoveAndList);
    CPPUNIT_TEST(testWatchAnswersAtAChangeOrAtItsEnd);
    CPPUNIT_TEST(testLeaseRunsOutUnlessRenewed);
    CPPUNIT_TEST(testLostAnswerKeepsItsEffect);
    CPPUNIT_TEST(testLostRequestHasNoEffect);
    CPPUNIT_TEST(testOutageRefusesAndDelayPostpones);
    CPPUNIT_TEST(testRatesRefuseWhatIsOver);
    CPPUNIT_TEST(testReturnToAnOlderState);
    CPPUNIT_TEST(testLargestValue);
    CPPUNIT_TEST_SUITE_END();

    void testSwapNeedsTheExpectedVersion()
    {
        FakeStore store;
        CPPUNIT_ASSERT_EQUAL(StoreVersion { 0 }, readEntry(store, "k").version);
        CPPUNIT_ASSERT_EQUAL(StoreVersion { 1 }, store.apply(swap("k", "a", 0)).value().front().version);
        CPPUNIT_ASSERT(ErrorCode::Conflict == store.apply(swap("k", "b", 0)).error().code);
        CPPUNIT_ASSERT_EQUAL(std::string("a"), readEntry(store, "k").value);
        CPPUNIT_ASSERT_EQUAL(StoreVersion { 2 }, store.apply(swap("k", "b", 1)).value().front().version);
    }

    void testRemoveAndList()
    {
        FakeStore store;
        for (const std::string key : { "a/1", "a/2", "b/1" })
            CPPUNIT_ASSERT(store.apply(swap(key, "x", 0)));
        const auto listed = store.apply({ StoreOperation::List, "a/", {}, 0, {} });
        CPPUNIT_ASSERT((std::vector<StoreEntry> { { "a/1", {}, 1 }, { "a/2", {}, 1 } }) == listed.value());
        CPPUNIT_ASSERT(ErrorCode::Conflict == store.apply({ StoreOperation::Remove, "a/1", {}, 7, {} }).error().code);
        CPPUNIT_ASSERT(store.apply({ StoreOperation::Remove, "a/1", {}, 1, {} }));
        CPPUNIT_ASSERT_EQUAL(StoreVersion { 0 }, readEntry(store, "a/1").version);
    }

    void testWatchAnswersAtAChangeOrAtItsEnd()
    {
        FakeStore store;
        store.submit(1, watch("k", 0, Milliseconds(100)));
        store.submit(2, watch("other", 0, Milliseconds(100)));
        CPPUNIT_ASSERT(store.advanceTo(Milliseconds(50)).empty());
        CPPUNIT_ASSERT(store.apply(swap("k", "a", 0)));
        const auto changed = store.advanceTo(Milliseconds(51));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, changed.size());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t { 1 }, changed[0].ticket);
        CPPUNIT_ASSERT_EQUAL(std::string("a"), changed[0].reply.value().front().value);
        const auto ended = store.advanceTo(Milliseconds(100));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t { 2 }, ended.at(0).ticket);
        CPPUNIT_ASSERT_EQUAL(StoreVersion { 0 }, ended[0].reply.value().front().version);
    }

    void testLeaseRunsOutUnlessRenewed()
    {
        FakeStore store;
        CPPUNIT_ASSERT(store.apply(swap("holder", "vm-1", 0), Milliseconds(100)));
        store.advanceTo(Milliseconds(90));
        CPPUNIT_ASSERT(store.apply(swap("holder", "vm-1", 1), Milliseconds(100)));
        store.advanceTo(Milliseconds(189));
        CPPUNIT_ASSERT_EQUAL(StoreVersion { 2 }, readEntry(store, "holder").version);
        store.advanceTo(Milliseconds(190));
        CPPUNIT_ASSERT_EQUAL(StoreVersion { 0 }, readEntry(store, "holder").version);
    }

    void testLostAnswerKeepsItsEffect()
    {
        FakeStore store;
        FakeStoreFaults faults;
        faults.lostAnswers = 1;
        store.setFaults(faults);
        CPPUNIT_ASSERT(ErrorCode::OutcomeUnknown == store.apply(swap("k", "a", 0)).error().code);
        CPPUNIT_ASSERT_EQUAL(std::string("a"), readEntry(store, "k").value);
        CPPUNIT_ASSERT(store.apply(swap("k", "b", 1)));
    }

    void testLostRequestHasNoEffect()
    {
        FakeStore store;
        FakeStoreFaults faults;
        faults.lostRequests = 2;
        store.setFaults(faults);
        CPPUNIT_ASSERT(ErrorCode::OutcomeUnknown == store.apply(swap("k", "a", 0)).error().code);
        CPPUNIT_ASSERT(ErrorCode::Unavailable == store.apply(get("k")).error().code);
        CPPUNIT_ASSERT_EQUAL(StoreVersion { 0 }, readEntry(store, "k").version);
    }

    void testOutageRefusesAndDelayPostpones()
    {
        FakeStore store;
        FakeStoreFaults faults;
        faults.isOut = true;
        store.setFaults(faults);
        CPPUNIT_ASSERT(ErrorCode::Unavailable == store.apply(swap("k", "a", 0)).error().code);
        faults = {};
        faults.delay = Milliseconds(40);
        store.setFaults(faults);
        store.submit(1, swap("k", "a", 0));
        CPPUNIT_ASSERT(store.advanceTo(Milliseconds(39)).empty());
        CPPUNIT_ASSERT_EQUAL(StoreVersion { 1 }, readEntry(store, "k").version);
        CPPUNIT_ASSERT_EQUAL(Milliseconds(40).count(), store.nextDue()->count());
        CPPUNIT_ASSERT(store.advanceTo(Milliseconds(40)).at(0).reply);
    }

    void testRatesRefuseWhatIsOver()
    {
        FakeStore store({ 2, 3 });
        CPPUNIT_ASSERT(store.apply(swap("k", "a", 0)));
        CPPUNIT_ASSERT(store.apply(swap("k", "b", 1)));
        CPPUNIT_ASSERT(ErrorCode::Unavailable == store.apply(swap("k", "c", 2)).error().code);
        CPPUNIT_ASSERT_EQUAL(std::string("b"), readEntry(store, "k").value);
        store.advanceTo(Milliseconds(500));
        CPPUNIT_ASSERT(store.apply(swap("k", "c", 2)));
        CPPUNIT_ASSERT((FakeStoreCounts { 1, 3, 1 }) == store.counts());
    }

    void testReturnToAnOlderState()
    {
        FakeStore store;
        CPPUNIT_ASSERT(store.apply(swap("k", "old", 0)));
        store.saveState();
        CPPUNIT_ASSERT(store.apply(swap("k", "new", 1)));
        store.submit(1, watch("k", 2, Milliseconds(1000)));
        store.restoreState();
        CPPUNIT_ASSERT_EQUAL(std::string("old"), readEntry(store, "k").value);
        CPPUNIT_ASSERT_EQUAL(StoreVersion { 1 }, store.advanceTo(Milliseconds(1)).at(0).reply.value().front().version);
    }

    void testLargestValue()
    {
        FakeStore store;
        CPPUNIT_ASSERT(store.apply(swap("k", std::string(maximumStoreValueBytes, 'x'), 0)));
        const auto reply = store.apply(swap("k", std::string(maximumStoreValueBytes + 1, 'x'), 1));
        CPPUNIT_ASSERT(ErrorCode::TooLarge == reply.error().code);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FakeStoreTest);

} // namespace papayashelf
