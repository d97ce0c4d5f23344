#include "routing/RoutingFixture.h"

#include <cppunit/extensions/HelperMacros.h>
#include <type_traits>

namespace papayashelf {

using namespace routing_fixture;

// A relayed request cannot be relayed again to a third region, because its result type has no such choice.
static_assert(std::is_same_v<RelayedChoice, std::variant<UpstreamChoice, NoChoice>>);

class RegionChoiceTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(RegionChoiceTest);
    CPPUNIT_TEST(testChoicesStayWithinResidency);
    CPPUNIT_TEST(testRegionOutsideResidencyRejectsWorkspace);
    CPPUNIT_TEST(testRequestStaysLocalWhileRegionHasCapacity);
    CPPUNIT_TEST(testRequestIsRelayedWhenLocalWaitExceedsRelayCost);
    CPPUNIT_TEST(testSlowLinkKeepsLargeRequestsLocal);
    CPPUNIT_TEST(testRegionWithStaleSummaryGetsNoRelays);
    CPPUNIT_TEST(testRecoveredRegionIsRampedUp);
    CPPUNIT_TEST(testLoadEstimateCountsRelaysOfOtherVms);
    CPPUNIT_TEST(testServiceWithoutLocalUpstreams);
    CPPUNIT_TEST_SUITE_END();

    std::mt19937_64 random { 1 };

    void reportRegionLoad(Router& router, Milliseconds now, const RegionId& region, int running, int slots = 64)
    {
        router.handleRegionSummary(now, { region, assistant, slots, running, 0 });
    }

    void testChoicesStayWithinResidency()
    {
        // Guards against a request that leaves its permitted region because of load, queue wait, tried upstreams or
        // failures. The loop combines these conditions at random.
        Router router = makeRouter(makeGovernance(4));
        for (int round = 0; round < 3000; ++round) {
            const Milliseconds now = Milliseconds(100) * round;
            reportLoad(router, now, static_cast<std::int64_t>(this->random() % 20));
            this->reportRegionLoad(router, now, second, static_cast<int>(this->random() % 80));
            this->reportRegionLoad(router, now, third, static_cast<int>(this->random() % 80));
            RoutingQuery query = makeQuery(restrictedWorkspace);
            query.queueWait = Milliseconds(static_cast<std::int64_t>(this->random() % 60000));
            for (int tried = 0; tried < 4; ++tried) {
                if (this->random() % 2)
                    query.triedUpstreams.push_back(makeUpstream(home, tried).id);
            }
            const RoutingChoice choice = router.choose(now, query, this->random);
            CPPUNIT_ASSERT(!std::holds_alternative<RegionChoice>(choice));
            if (const auto* const upstream = std::get_if<UpstreamChoice>(&choice)) {
                CPPUNIT_ASSERT(upstream->upstream.string().starts_with(home.string()));
                router.noteStarted(now, *upstream, {});
                const auto signal = static_cast<AttemptSignal>(this->random() % 4);
                router.noteEnded(now, *upstream, signal, Milliseconds(100), this->random);
            }
        }
    }

    void testRegionOutsideResidencyRejectsWorkspace()
    {
        // Guards against upstreams of this region getting data of a workspace that is restricted to another region or
        // unknown.
        Governance governance = makeGovernance(4);
        governance.workspaces[restrictedWorkspace].residency = { second };
        Router router = makeRouter(governance);
        this->reportRegionLoad(router, Milliseconds(1), second, 0);
        const NoChoice refused { NoChoiceReason::OutsideResidency };
        CPPUNIT_ASSERT(std::get<NoChoice>(router.choose(Milliseconds(2), makeQuery(restrictedWorkspace), this->random))
            == refused);
        const RelayedQuery relayed { makeQuery(restrictedWorkspace) };
        CPPUNIT_ASSERT(std::get<NoChoice>(router.choose(Milliseconds(2), relayed, this->random)) == refused);
        CPPUNIT_ASSERT(
            std::get<NoChoice>(router.choose(Milliseconds(2), makeQuery(WorkspaceId("unheard")), this->random))
            == refused);
    }

    void testRequestStaysLocalWhileRegionHasCapacity()
    {
        // Guards against needless relays: the other region is idle, but the local upstreams have 2 free slots each.
        Router router = makeRouter(makeGovernance(4));
        reportLoad(router, Milliseconds(1), 6);
        this->reportRegionLoad(router, Milliseconds(1), second, 0);
        for (int round = 0; round < 100; ++round) {
            const auto choice = router.choose(Milliseconds(2), makeQuery(), this->random);
            CPPUNIT_ASSERT(std::holds_alternative<UpstreamChoice>(choice));
        }
    }

    void testRequestIsRelayedWhenLocalWaitExceedsRelayCost()
    {
        Router router = makeRouter(makeGovernance(4));
        reportLoad(router, Milliseconds(1), 16);
        this->reportRegionLoad(router, Milliseconds(1), second, 60);
        this->reportRegionLoad(router, Milliseconds(1), third, 5);
        const auto choice = router.choose(Milliseconds(2), makeQuery(), this->random);
        CPPUNIT_ASSERT(std::get<RegionChoice>(choice).region == third);

        RoutingQuery tried = makeQuery();
        tried.triedRegions = { third };
        const auto retryChoice = router.choose(Milliseconds(2), tried, this->random);
        CPPUNIT_ASSERT(std::get<RegionChoice>(retryChoice).region == second);
    }

    void testSlowLinkKeepsLargeRequestsLocal()
    {
        // A large prompt takes longer to cross the slow link than to wait for a local slot.
        Router router = makeRouter(makeGovernance(4, 0.5));
        reportLoad(router, Milliseconds(1), 9);
        this->reportRegionLoad(router, Milliseconds(1), second, 0);
        RoutingQuery large = makeQuery();
        large.promptTokens = 50000;
        CPPUNIT_ASSERT(
            std::get<NoChoice>(router.choose(Milliseconds(2), large, this->random)).reason == NoChoiceReason::Busy);
        RoutingQuery small = makeQuery();
        small.promptTokens = 20;
        small.maximumTokens = 20;
        small.queueWait = Milliseconds(3000);
        CPPUNIT_ASSERT(std::holds_alternative<RegionChoice>(router.choose(Milliseconds(2), small, this->random)));
    }

    void testRegionWithStaleSummaryGetsNoRelays()
    {
        const RoutingSettings settings;
        Router router = makeRouter(makeGovernance(4), settings);
        this->reportRegionLoad(router, Milliseconds(1), second, 0);
        const Milliseconds later = Milliseconds(2) + settings.summaryLifetime;
        reportLoad(router, later, 30);
        const auto choice = router.choose(later, makeQuery(), this->random);
        CPPUNIT_ASSERT(std::get<NoChoice>(choice).reason == NoChoiceReason::Busy);
    }

    int startRelaysUntilRefused(Router& router, Milliseconds now)
    {
        int relays = 0;
        for (int request = 0; request < 200; ++request) {
            const auto choice = router.choose(now, makeQuery(), this->random);
            const auto* const relay = std::get_if<RegionChoice>(&choice);
            if (!relay)
                break;
            router.noteStarted(now, *relay);
            ++relays;
        }
        return relays;
    }

    void testRecoveredRegionIsRampedUp()
    {
        const RoutingSettings settings;
        Router router = makeRouter(makeGovernance(4), settings);
        this->reportRegionLoad(router, Milliseconds(1), second, 0, 640);
        const Milliseconds recoveredAt = Milliseconds(2) + settings.summaryLifetime;
        this->reportRegionLoad(router, recoveredAt, second, 0, 640);
        reportLoad(router, recoveredAt, 30);
        // Two VMs share 640 slots. Without the ramp they would send hundreds of requests at once to cold caches; the
        // start of the ramp allows a twentieth.
        CPPUNIT_ASSERT_EQUAL(16, this->startRelaysUntilRefused(router, recoveredAt));
        const Milliseconds warmedUpAt = recoveredAt + settings.warmUp;
        for (Milliseconds at = recoveredAt; at <= warmedUpAt; at += Milliseconds(2000))
            this->reportRegionLoad(router, at, second, 16, 640);
        reportLoad(router, warmedUpAt, 30);
        CPPUNIT_ASSERT(this->startRelaysUntilRefused(router, warmedUpAt) > 100);
    }

    void testLoadEstimateCountsRelaysOfOtherVms()
    {
        Router router = makeRouter(makeGovernance(4));
        reportLoad(router, Milliseconds(1), 16);
        this->reportRegionLoad(router, Milliseconds(1), second, 0, 64);
        // Guards against overload when all VMs of a region relay on the same summary. Two VMs see the same 64 free
        // slots, so each may use about half of them, with some excess load.
        const int relays = this->startRelaysUntilRefused(router, Milliseconds(2));
        CPPUNIT_ASSERT(relays >= 32 && relays <= 64);
    }

    void testServiceWithoutLocalUpstreams()
    {
        Router router = makeRouter(makeGovernance(0));
        const auto choice = router.choose(Milliseconds(1), makeQuery(), this->random);
        CPPUNIT_ASSERT(std::get<NoChoice>(choice).reason == NoChoiceReason::NoUpstream);
        this->reportRegionLoad(router, Milliseconds(1), second, 0);
        const auto relayed = router.choose(Milliseconds(1), makeQuery(), this->random);
        CPPUNIT_ASSERT(std::get<RegionChoice>(relayed).region == second);

        // A region on an older revision still sends summaries of a removed service.
        Governance newer = makeGovernance(0);
        newer.services.clear();
        router.setGovernance(std::make_shared<const Governance>(newer));
        this->reportRegionLoad(router, Milliseconds(2), second, 0);
        const auto removed = router.choose(Milliseconds(2), makeQuery(), this->random);
        CPPUNIT_ASSERT(std::get<NoChoice>(removed).reason == NoChoiceReason::NoUpstream);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RegionChoiceTest);

} // namespace papayashelf
