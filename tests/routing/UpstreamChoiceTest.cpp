#include "routing/RoutingFixture.h"

#include <cppunit/extensions/HelperMacros.h>
#include <set>

namespace papayashelf {

using namespace routing_fixture;

class UpstreamChoiceTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(UpstreamChoiceTest);
    CPPUNIT_TEST(testLeavingUpstreamGetsNoNewWork);
    CPPUNIT_TEST(testFailingUpstreamIsEjectedUntilTrialSucceeds);
    CPPUNIT_TEST(testAtMostOneThirdOfUpstreamsIsEjected);
    CPPUNIT_TEST(testFullUpstreamsAreReportedBusy);
    CPPUNIT_TEST(testOwnRequestsAreAddedToTheLastReport);
    CPPUNIT_TEST(testPrefixAffinityStopsAtTheLoadBound);
    CPPUNIT_TEST(testPrefixIndexStaysBounded);
    CPPUNIT_TEST(testVmsUseDifferentSubsets);
    CPPUNIT_TEST(testRetrySkipsTriedUpstreams);
    CPPUNIT_TEST(testRecoveredUpstreamWithColdCacheGetsFewerRequests);
    CPPUNIT_TEST_SUITE_END();

    std::mt19937_64 random { 1 };

    std::set<UpstreamId> chooseRepeatedly(Router& router, Milliseconds now)
    {
        std::set<UpstreamId> chosen;
        for (int round = 0; round < 300; ++round) {
            const auto choice = router.choose(now, makeQuery(), this->random);
            if (const auto* const upstream = std::get_if<UpstreamChoice>(&choice))
                chosen.insert(upstream->upstream);
        }
        return chosen;
    }

    UpstreamChoice makeChoice(const Upstream& upstream)
    {
        return { upstream.id, assistant, upstream.endpoint, ServiceKind::ModelEngine };
    }

    void reportFailures(Router& router, Milliseconds now, const Upstream& upstream, int times)
    {
        for (int time = 0; time < times; ++time) {
            router.noteStarted(now, this->makeChoice(upstream), {});
            router.noteEnded(now, this->makeChoice(upstream), AttemptSignal::Failed, Milliseconds(1), this->random);
        }
    }

    void testLeavingUpstreamGetsNoNewWork()
    {
        Router router = makeRouter(makeGovernance(4));
        const Upstream leaving = makeUpstream(home, 0);
        const Upstream removed = makeUpstream(home, 1);
        const Upstream selfReported = makeUpstream(home, 2);
        VmRecord leavingRecord { VmId("a"), home, {}, leaving.endpoint.address, false };
        const VmRecord removedRecord { VmId("b"), home, {}, removed.endpoint.address, false };
        router.setVmList({ leavingRecord, removedRecord });
        CPPUNIT_ASSERT_EQUAL(std::size_t { 4 }, this->chooseRepeatedly(router, Milliseconds(1)).size());

        leavingRecord.isLeaving = true;
        router.setVmList({ leavingRecord });
        router.markLeaving(selfReported.id);
        // The fourth upstream was never listed, so it stays in use: the VM list may be out of date.
        const std::set<UpstreamId> expected { makeUpstream(home, 3).id };
        CPPUNIT_ASSERT(this->chooseRepeatedly(router, Milliseconds(2)) == expected);
    }

    void testFailingUpstreamIsEjectedUntilTrialSucceeds()
    {
        const RoutingSettings settings;
        Router router = makeRouter(makeGovernance(4), settings);
        const Upstream failing = makeUpstream(home, 0);
        this->reportFailures(router, Milliseconds(1), failing, settings.failuresToEject);
        CPPUNIT_ASSERT(!this->chooseRepeatedly(router, Milliseconds(2)).contains(failing.id));

        // After its longest jittered ejection it gets one trial request, and no second one while that runs.
        const Milliseconds later = settings.firstEjectionDuration * 2;
        CPPUNIT_ASSERT(this->chooseRepeatedly(router, later).contains(failing.id));
        router.noteStarted(later, this->makeChoice(failing), {});
        CPPUNIT_ASSERT(!this->chooseRepeatedly(router, later).contains(failing.id));
        router.noteEnded(later, this->makeChoice(failing), AttemptSignal::Failed, Milliseconds(1), this->random);
        // The second ejection lasts longer than the maximum of the first.
        CPPUNIT_ASSERT(
            !this->chooseRepeatedly(router, later + settings.firstEjectionDuration * 5 / 4).contains(failing.id));

        const Milliseconds muchLater = later + settings.firstEjectionDuration * 3;
        router.noteStarted(muchLater, this->makeChoice(failing), {});
        router.noteEnded(muchLater, this->makeChoice(failing), AttemptSignal::Answered, Milliseconds(1), this->random);
        CPPUNIT_ASSERT(this->chooseRepeatedly(router, muchLater).contains(failing.id));
        CPPUNIT_ASSERT(router.getEjected(muchLater).empty());
    }

    void testAtMostOneThirdOfUpstreamsIsEjected()
    {
        // Guards against ejecting most of a service when all its upstreams fail, which would overload the rest.
        const RoutingSettings settings;
        Router router = makeRouter(makeGovernance(9), settings);
        for (int number = 0; number < 9; ++number)
            this->reportFailures(router, Milliseconds(1), makeUpstream(home, number), settings.failuresToEject * 2);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 3 }, router.getEjected(Milliseconds(2)).size());
    }

    void testFullUpstreamsAreReportedBusy()
    {
        Router router = makeRouter(makeGovernance(2));
        reportLoad(router, Milliseconds(1), 8);
        const auto choice = router.choose(Milliseconds(2), makeQuery(), this->random);
        CPPUNIT_ASSERT(std::get<NoChoice>(choice).reason == NoChoiceReason::Busy);
    }

    void testOwnRequestsAreAddedToTheLastReport()
    {
        // Guards against overfilling an upstream between reports: 5 reported and 3 started requests fill its 8 slots.
        Router router = makeRouter(makeGovernance(1));
        reportLoad(router, Milliseconds(1), 5);
        for (int request = 0; request < 3; ++request) {
            const auto choice = router.choose(Milliseconds(2), makeQuery(), this->random);
            router.noteStarted(Milliseconds(2), std::get<UpstreamChoice>(choice), {});
        }
        CPPUNIT_ASSERT(std::holds_alternative<NoChoice>(router.choose(Milliseconds(3), makeQuery(), this->random)));
    }

    void testPrefixAffinityStopsAtTheLoadBound()
    {
        // The upstream that holds the prefix is chosen until its load exceeds the affinity bound.
        Router router = makeRouter(makeGovernance(4));
        const Upstream holder = makeUpstream(home, 2);
        RoutingQuery query = makeQuery();
        query.prefixHashes = { 11, 12, 13 };
        UpstreamLoadReport load;
        load.upstream = holder.id;
        load.prefixesAdded = { 11, 12 };
        router.handleLoad(Milliseconds(1), load);
        for (int round = 0; round < 50; ++round) {
            const auto choice = router.choose(Milliseconds(2), query, this->random);
            CPPUNIT_ASSERT(std::get<UpstreamChoice>(choice).upstream == holder.id);
        }
        load.running = 7;
        router.handleLoad(Milliseconds(3), load);
        const auto choice = router.choose(Milliseconds(4), query, this->random);
        CPPUNIT_ASSERT(std::get<UpstreamChoice>(choice).upstream != holder.id);
    }

    void testPrefixIndexStaysBounded()
    {
        PrefixIndex index(100);
        const UpstreamId holder("a");
        for (std::uint64_t prefix = 1; prefix <= 1000; ++prefix)
            index.add(holder, { prefix });
        CPPUNIT_ASSERT_EQUAL(std::size_t { 100 }, index.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, index.matchLength(holder, { 1000 }));
        index.remove(holder, { 1000 });
        CPPUNIT_ASSERT_EQUAL(std::size_t { 0 }, index.matchLength(holder, { 1000 }));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 0 }, index.matchLength(holder, { 1 }));
    }

    void testVmsUseDifferentSubsets()
    {
        // Guards against unused upstreams: the subsets of 40 VMs together cover all 60 upstreams.
        const RoutingSettings settings;
        const auto governance = std::make_shared<const Governance>(makeGovernance(60));
        std::set<UpstreamId> used;
        for (int number = 0; number < 40; ++number) {
            Router router(settings, home, VmId("vm" + std::to_string(number)));
            router.setGovernance(governance);
            const auto watched = router.getWatchedUpstreams();
            CPPUNIT_ASSERT_EQUAL(settings.subsetSize, watched.size());
            for (const Upstream& upstream : watched)
                used.insert(upstream.id);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t { 60 }, used.size());
    }

    void testRetrySkipsTriedUpstreams()
    {
        Router router = makeRouter(makeGovernance(3));
        RoutingQuery query = makeQuery();
        query.triedUpstreams = { makeUpstream(home, 0).id, makeUpstream(home, 1).id };
        for (int round = 0; round < 50; ++round) {
            const auto choice = router.choose(Milliseconds(1), query, this->random);
            CPPUNIT_ASSERT(std::get<UpstreamChoice>(choice).upstream == makeUpstream(home, 2).id);
        }
    }

    void testRecoveredUpstreamWithColdCacheGetsFewerRequests()
    {
        // An upstream that reports again after a gap, with an empty cache, starts with a quarter of its 8 slots.
        const RoutingSettings settings;
        Router router = makeRouter(makeGovernance(1), settings);
        reportLoad(router, Milliseconds(1), 0);
        const Milliseconds recoveredAt = Milliseconds(2) + settings.summaryLifetime;
        reportLoad(router, recoveredAt, 0, 0.0);
        int startedCount = 0;
        for (auto choice = router.choose(recoveredAt, makeQuery(), this->random);
             std::holds_alternative<UpstreamChoice>(choice);
             choice = router.choose(recoveredAt, makeQuery(), this->random)) {
            router.noteStarted(recoveredAt, std::get<UpstreamChoice>(choice), {});
            ++startedCount;
        }
        CPPUNIT_ASSERT_EQUAL(2, startedCount);
        CPPUNIT_ASSERT_EQUAL(2, router.summariseOwnRegion(recoveredAt, {}).front().slots);
        CPPUNIT_ASSERT_EQUAL(8, router.summariseOwnRegion(recoveredAt + settings.warmUp, {}).front().slots);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(UpstreamChoiceTest);

} // namespace papayashelf
