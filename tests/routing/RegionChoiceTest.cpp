#include "routing/RoutingFixture.h"

#include <cppunit/extensions/HelperMacros.h>
#include <type_traits>

namespace papayashelf {

using namespace routing_fixture;

// A relayed request cannot cross to a third region, because no such choice exists for it.
static_assert(std::is_same_v<RelayedChoice, std::variant<UpstreamChoice, NoChoice>>);

class RegionChoiceTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(RegionChoiceTest);
    CPPUNIT_TEST(testNoChoiceEverLeavesTheResidency);
    CPPUNIT_TEST(testWorkspaceBoundElsewhereIsRefusedHere);
    CPPUNIT_TEST(testStaysWhileTheRegionHasRoom);
    CPPUNIT_TEST(testSpillsWhenWaitingCostsMoreThanTheLink);
    CPPUNIT_TEST(testBytesOnANarrowLinkKeepRequestsHere);
    CPPUNIT_TEST(testARegionNotHeardFromGetsNothing);
    CPPUNIT_TEST(testAReturnedRegionIsRampedUp);
    CPPUNIT_TEST(testVmsOfOneRegionDoNotAllFollowOneSummary);
    CPPUNIT_TEST(testNoUpstreamAnywhere);
    CPPUNIT_TEST_SUITE_END();

    std::mt19937_64 random { 1 };

    void summarise(Router& router, Milliseconds now, const RegionId& region, int running, int slots = 64)
    {
        router.handleRegionSummary(now, { region, assistant, slots, running, 0 });
    }

    void testNoChoiceEverLeavesTheResidency()
    {
        // Every condition under which a request could be tempted away, in random combinations.
        Router router = makeRouter(makeGovernance(4));
        for (int round = 0; round < 3000; ++round) {
            const Milliseconds now = Milliseconds(100) * round;
            reportLoad(router, now, static_cast<std::int64_t>(this->random() % 20));
            this->summarise(router, now, second, static_cast<int>(this->random() % 80));
            this->summarise(router, now, third, static_cast<int>(this->random() % 80));
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

    void testWorkspaceBoundElsewhereIsRefusedHere()
    {
        Governance governance = makeGovernance(4);
        governance.workspaces[restrictedWorkspace].residency = { second };
        Router router = makeRouter(governance);
        this->summarise(router, Milliseconds(1), second, 0);
        const NoChoice refused { NoChoiceReason::OutsideResidency };
        CPPUNIT_ASSERT(std::get<NoChoice>(router.choose(Milliseconds(2), makeQuery(restrictedWorkspace), this->random))
            == refused);
        const RelayedQuery relayed { makeQuery(restrictedWorkspace) };
        CPPUNIT_ASSERT(std::get<NoChoice>(router.choose(Milliseconds(2), relayed, this->random)) == refused);
        CPPUNIT_ASSERT(
            std::get<NoChoice>(router.choose(Milliseconds(2), makeQuery(WorkspaceId("unheard")), this->random))
            == refused);
    }

    void testStaysWhileTheRegionHasRoom()
    {
        Router router = makeRouter(makeGovernance(4));
        reportLoad(router, Milliseconds(1), 6);
        this->summarise(router, Milliseconds(1), second, 0);
        for (int round = 0; round < 100; ++round) {
            const auto choice = router.choose(Milliseconds(2), makeQuery(), this->random);
            CPPUNIT_ASSERT(std::holds_alternative<UpstreamChoice>(choice));
        }
    }

    void testSpillsWhenWaitingCostsMoreThanTheLink()
    {
        Router router = makeRouter(makeGovernance(4));
        reportLoad(router, Milliseconds(1), 16);
        this->summarise(router, Milliseconds(1), second, 60);
        this->summarise(router, Milliseconds(1), third, 5);
        const auto choice = router.choose(Milliseconds(2), makeQuery(), this->random);
        CPPUNIT_ASSERT(std::get<RegionChoice>(choice).region == third);

        RoutingQuery tried = makeQuery();
        tried.triedRegions = { third };
        const auto next = router.choose(Milliseconds(2), tried, this->random);
        CPPUNIT_ASSERT(std::get<RegionChoice>(next).region == second);
    }

    void testBytesOnANarrowLinkKeepRequestsHere()
    {
        Router router = makeRouter(makeGovernance(4, 0.5));
        reportLoad(router, Milliseconds(1), 9);
        this->summarise(router, Milliseconds(1), second, 0);
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

    void testARegionNotHeardFromGetsNothing()
    {
        const RoutingSettings settings;
        Router router = makeRouter(makeGovernance(4), settings);
        this->summarise(router, Milliseconds(1), second, 0);
        const Milliseconds later = Milliseconds(2) + settings.summaryLifetime;
        reportLoad(router, later, 30);
        const auto choice = router.choose(later, makeQuery(), this->random);
        CPPUNIT_ASSERT(std::get<NoChoice>(choice).reason == NoChoiceReason::Busy);
    }

    int countRelays(Router& router, Milliseconds now)
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

    void testAReturnedRegionIsRampedUp()
    {
        const RoutingSettings settings;
        Router router = makeRouter(makeGovernance(4), settings);
        this->summarise(router, Milliseconds(1), second, 0, 640);
        const Milliseconds back = Milliseconds(2) + settings.summaryLifetime;
        this->summarise(router, back, second, 0, 640);
        reportLoad(router, back, 30);
        // 640 slots shared by two VMs: a stampede would send hundreds, the start of the ramp allows a twentieth.
        CPPUNIT_ASSERT_EQUAL(16, this->countRelays(router, back));
        const Milliseconds warm = back + settings.warmUp;
        for (Milliseconds at = back; at <= warm; at += Milliseconds(2000))
            this->summarise(router, at, second, 16, 640);
        reportLoad(router, warm, 30);
        CPPUNIT_ASSERT(this->countRelays(router, warm) > 100);
    }

    void testVmsOfOneRegionDoNotAllFollowOneSummary()
    {
        Router router = makeRouter(makeGovernance(4));
        reportLoad(router, Milliseconds(1), 16);
        this->summarise(router, Milliseconds(1), second, 0, 64);
        // Two VMs see the same 64 free slots: each may count on about half of them, with some excess load.
        const int relays = this->countRelays(router, Milliseconds(2));
        CPPUNIT_ASSERT(relays >= 32 && relays <= 64);
    }

    void testNoUpstreamAnywhere()
    {
        Router router = makeRouter(makeGovernance(0));
        const auto choice = router.choose(Milliseconds(1), makeQuery(), this->random);
        CPPUNIT_ASSERT(std::get<NoChoice>(choice).reason == NoChoiceReason::NoUpstream);
        this->summarise(router, Milliseconds(1), second, 0);
        const auto relayed = router.choose(Milliseconds(1), makeQuery(), this->random);
        CPPUNIT_ASSERT(std::get<RegionChoice>(relayed).region == second);

        // A region that is a revision behind still tells of a service that is no more.
        Governance newer = makeGovernance(0);
        newer.services.clear();
        router.setGovernance(std::make_shared<const Governance>(newer));
        this->summarise(router, Milliseconds(2), second, 0);
        const auto removed = router.choose(Milliseconds(2), makeQuery(), this->random);
        CPPUNIT_ASSERT(std::get<NoChoice>(removed).reason == NoChoiceReason::NoUpstream);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RegionChoiceTest);

} // namespace papayashelf
