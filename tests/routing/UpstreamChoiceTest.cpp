#include "routing/RoutingFixture.h"

#include <cppunit/extensions/HelperMacros.h>
#include <set>

namespace papayashelf {

using namespace routing_fixture;

class UpstreamChoiceTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(UpstreamChoiceTest);
    CPPUNIT_TEST(testLeavingUpstreamGetsNoNewWork);
    CPPUNIT_TEST(testFailingUpstreamIsEjectedAndComesBackByTrial);
    CPPUNIT_TEST(testAtMostAThirdIsEjected);
    CPPUNIT_TEST(testAFullUpstreamGetsNothingMore);
    CPPUNIT_TEST(testLateReportsAreCorrectedByOwnRequests);
    CPPUNIT_TEST(testAffinityFollowsThePrefixUpToTheBound);
    CPPUNIT_TEST(testPrefixIndexStaysBounded);
    CPPUNIT_TEST(testVmsUseDifferentSubsets);
    CPPUNIT_TEST(testARetryGoesElsewhere);
    CPPUNIT_TEST(testAReturnedUpstreamWithColdCacheTakesLess);
    CPPUNIT_TEST_SUITE_END();

    std::mt19937_64 random { 1 };

    std::set<UpstreamId> drawMany(Router& router, Milliseconds now)
    {
        std::set<UpstreamId> drawn;
        for (int round = 0; round < 300; ++round) {
            const auto choice = router.choose(now, makeQuery(), this->random);
            if (const auto* const upstream = std::get_if<UpstreamChoice>(&choice))
                drawn.insert(upstream->upstream);
        }
        return drawn;
    }

    UpstreamChoice choiceOf(const Upstream& upstream)
    {
        return { upstream.id, assistant, upstream.endpoint, ServiceKind::ModelEngine };
    }

    void fail(Router& router, Milliseconds now, const Upstream& upstream, int times)
    {
        for (int time = 0; time < times; ++time) {
            router.noteStarted(now, this->choiceOf(upstream), {});
            router.noteEnded(now, this->choiceOf(upstream), AttemptSignal::Failed, Milliseconds(1), this->random);
        }
    }

    void testLeavingUpstreamGetsNoNewWork()
    {
        Router router = makeRouter(makeGovernance(4));
        const Upstream leaving = makeUpstream(home, 0);
        const Upstream gone = makeUpstream(home, 1);
        const Upstream saysSo = makeUpstream(home, 2);
        VmRecord first { VmId("a"), home, {}, leaving.endpoint.address, false };
        const VmRecord other { VmId("b"), home, {}, gone.endpoint.address, false };
        router.setVmList({ first, other });
        CPPUNIT_ASSERT_EQUAL(std::size_t { 4 }, this->drawMany(router, Milliseconds(1)).size());

        first.isLeaving = true;
        router.setVmList({ first });
        router.markLeaving(saysSo.id);
        // The fourth was never listed: the list lags, so it is used.
        const std::set<UpstreamId> expected { makeUpstream(home, 3).id };
        CPPUNIT_ASSERT(this->drawMany(router, Milliseconds(2)) == expected);
    }

    void testFailingUpstreamIsEjectedAndComesBackByTrial()
    {
        const RoutingSettings settings;
        Router router = makeRouter(makeGovernance(4), settings);
        const Upstream bad = makeUpstream(home, 0);
        this->fail(router, Milliseconds(1), bad, settings.failuresToEject);
        CPPUNIT_ASSERT(!this->drawMany(router, Milliseconds(2)).contains(bad.id));

        // Past its longest jittered ejection it gets one trial request, and no second one meanwhile.
        const Milliseconds later = settings.firstEjection * 2;
        CPPUNIT_ASSERT(this->drawMany(router, later).contains(bad.id));
        router.noteStarted(later, this->choiceOf(bad), {});
        CPPUNIT_ASSERT(!this->drawMany(router, later).contains(bad.id));
        router.noteEnded(later, this->choiceOf(bad), AttemptSignal::Failed, Milliseconds(1), this->random);
        // The second ejection is longer than the first could be.
        CPPUNIT_ASSERT(!this->drawMany(router, later + settings.firstEjection * 5 / 4).contains(bad.id));

        const Milliseconds muchLater = later + settings.firstEjection * 3;
        router.noteStarted(muchLater, this->choiceOf(bad), {});
        router.noteEnded(muchLater, this->choiceOf(bad), AttemptSignal::Answered, Milliseconds(1), this->random);
        CPPUNIT_ASSERT(this->drawMany(router, muchLater).contains(bad.id));
        CPPUNIT_ASSERT(router.getEjected(muchLater).empty());
    }

    void testAtMostAThirdIsEjected()
    {
        const RoutingSettings settings;
        Router router = makeRouter(makeGovernance(9), settings);
        for (int number = 0; number < 9; ++number)
            this->fail(router, Milliseconds(1), makeUpstream(home, number), settings.failuresToEject * 2);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 3 }, router.getEjected(Milliseconds(2)).size());
    }

    void testAFullUpstreamGetsNothingMore()
    {
        Router router = makeRouter(makeGovernance(2));
        reportLoad(router, Milliseconds(1), 8);
        const auto choice = router.choose(Milliseconds(2), makeQuery(), this->random);
        CPPUNIT_ASSERT(std::get<NoChoice>(choice).reason == NoChoiceReason::Busy);
    }

    void testLateReportsAreCorrectedByOwnRequests()
    {
        Router router = makeRouter(makeGovernance(1));
        reportLoad(router, Milliseconds(1), 5);
        for (int request = 0; request < 3; ++request) {
            const auto choice = router.choose(Milliseconds(2), makeQuery(), this->random);
            router.noteStarted(Milliseconds(2), std::get<UpstreamChoice>(choice), {});
        }
        CPPUNIT_ASSERT(std::holds_alternative<NoChoice>(router.choose(Milliseconds(3), makeQuery(), this->random)));
    }

    void testAffinityFollowsThePrefixUpToTheBound()
    {
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

    void testARetryGoesElsewhere()
    {
        Router router = makeRouter(makeGovernance(3));
        RoutingQuery query = makeQuery();
        query.triedUpstreams = { makeUpstream(home, 0).id, makeUpstream(home, 1).id };
        for (int round = 0; round < 50; ++round) {
            const auto choice = router.choose(Milliseconds(1), query, this->random);
            CPPUNIT_ASSERT(std::get<UpstreamChoice>(choice).upstream == makeUpstream(home, 2).id);
        }
    }

    void testAReturnedUpstreamWithColdCacheTakesLess()
    {
        const RoutingSettings settings;
        Router router = makeRouter(makeGovernance(1), settings);
        reportLoad(router, Milliseconds(1), 0);
        const Milliseconds back = Milliseconds(2) + settings.summaryLifetime;
        reportLoad(router, back, 0, 0.0);
        int taken = 0;
        for (auto choice = router.choose(back, makeQuery(), this->random);
             std::holds_alternative<UpstreamChoice>(choice); choice = router.choose(back, makeQuery(), this->random)) {
            router.noteStarted(back, std::get<UpstreamChoice>(choice), {});
            ++taken;
        }
        CPPUNIT_ASSERT_EQUAL(2, taken);
        CPPUNIT_ASSERT_EQUAL(2, router.summariseOwnRegion(back, {}).front().slots);
        CPPUNIT_ASSERT_EQUAL(8, router.summariseOwnRegion(back + settings.warmUp, {}).front().slots);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(UpstreamChoiceTest);

} // namespace papayashelf
