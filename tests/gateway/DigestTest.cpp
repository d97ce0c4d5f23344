#include "gateway/DigestFleet.h"

#include <cppunit/extensions/HelperMacros.h>

namespace papayashelf {

using namespace gatewayfixture;

namespace {

constexpr std::int64_t interval = DigestFleet::interval;

} // namespace

class DigestTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(DigestTest);
    CPPUNIT_TEST(testCollectorConfirmsFreshnessOfOtherVms);
    CPPUNIT_TEST(testConfirmationsCoverTimeBetweenStoreReads);
    CPPUNIT_TEST(testUnconfirmedVmConfirmsNoOtherVm);
    CPPUNIT_TEST(testVmThatMissedAChangeIsNotConfirmed);
    CPPUNIT_TEST(testConfirmationOfAnEarlierEraConfirmsNothing);
    CPPUNIT_TEST(testVmOfAnEarlierEraIsBehind);
    CPPUNIT_TEST(testStartingVmWithAnOlderConfigurationTrustsNoKeys);
    CPPUNIT_TEST(testConfigurationOnItsWayLeavesKeysTrusted);
    CPPUNIT_TEST(testVmWithAnOlderConfigurationConfirmsNothing);
    CPPUNIT_TEST(testConfirmationIsNeverNewerThanTheReport);
    CPPUNIT_TEST(testSilentCollectorIsReplaced);
    CPPUNIT_TEST(testEveryVmLearnsTheLoadOfEachUpstream);
    CPPUNIT_TEST(testLoadOfAVmThatIsGoneExpires);
    CPPUNIT_TEST(testLastVmOfARegionDoesNotRefuseForTheLoadOfOneThatIsGone);
    CPPUNIT_TEST(testDemandOfARegionThatIsGoneExpires);
    CPPUNIT_TEST(testLargeRegionWithFreeCapacityIsNotFull);
    CPPUNIT_TEST(testMessagesGrowLinearlyWithVms);
    CPPUNIT_TEST(testDemandOfOtherRegionsReducesTheShare);
    CPPUNIT_TEST(testDamagedDatagramsAreRejected);
    CPPUNIT_TEST_SUITE_END();

public:
    void testCollectorConfirmsFreshnessOfOtherVms()
    {
        DigestFleet fleet({ "a" }, 3);
        fleet.runUntil(12'000);
        fleet.at("a-0").noteConfigurationConfirmation(Milliseconds(11'900));
        fleet.runUntil(13'000);
        CPPUNIT_ASSERT(fleet.at("a-2").getConfigurationAge(Milliseconds(13'000)) < Milliseconds(1'700));
        CPPUNIT_ASSERT(fleet.at("a-0").mustQueryStore(Milliseconds(13'000)));
        CPPUNIT_ASSERT(!fleet.at("a-2").mustQueryStore(Milliseconds(13'000)));
    }

    void testConfirmationsCoverTimeBetweenStoreReads()
    {
        // A waiting store read that returns no change confirms the view at the time the read began. The confirmations
        // must be frequent enough that only the collector queries the store.
        constexpr std::int64_t wait = ConfigurationFreshness::confirmationInterval.count();
        constexpr std::int64_t travelTime = 100;
        DigestFleet fleet({ "a" }, 3);
        for (std::int64_t answerArrival = 10'400; answerArrival < 40'000; answerArrival += wait + travelTime) {
            fleet.runUntil(answerArrival);
            fleet.at("a-0").noteConfigurationConfirmation(Milliseconds(answerArrival - wait - travelTime));
            fleet.runUntil(answerArrival + wait + travelTime);
            if (answerArrival > 14'000)
                CPPUNIT_ASSERT(!fleet.at("a-2").mustQueryStore(Milliseconds(fleet.now - 1)));
        }
    }

    void testUnconfirmedVmConfirmsNoOtherVm()
    {
        DigestFleet fleet({ "a" }, 2);
        fleet.runUntil(14'000);
        CPPUNIT_ASSERT(fleet.at("a-1").mustQueryStore(Milliseconds(14'000)));
    }

    void testVmThatMissedAChangeIsNotConfirmed()
    {
        // The collector received a later change, such as a withdrawn key, that the other VM's failed watch missed.
        // Confirming the other VM would keep the withdrawn key in use there.
        DigestFleet fleet({ "a" }, 2);
        fleet.at("a-0").noteKnownRevision({ 0, 70 });
        fleet.at("a-0").noteConfigurationConfirmation(Milliseconds(11'000));
        fleet.at("a-1").noteKnownRevision({ 0, 69 });
        fleet.runUntil(13'000);
        CPPUNIT_ASSERT(fleet.at("a-1").getConfigurationAge(Milliseconds(13'000)) > Milliseconds(60'000));
        CPPUNIT_ASSERT(fleet.at("a-1").isBehind(Milliseconds(13'000)));
        fleet.at("a-1").noteKnownRevision({ 0, 70 });
        fleet.runUntil(14'000);
        CPPUNIT_ASSERT(!fleet.at("a-1").isBehind(Milliseconds(14'000)));
        CPPUNIT_ASSERT(fleet.at("a-1").getConfigurationAge(Milliseconds(14'000)) < Milliseconds(4'000));
    }

    void testConfirmationOfAnEarlierEraConfirmsNothing()
    {
        DigestFleet fleet({ "a" }, 2);
        fleet.at("a-0").noteKnownRevision({ 1, 69 });
        fleet.at("a-0").noteConfigurationConfirmation(Milliseconds(11'000));
        fleet.at("a-1").noteKnownRevision({ 2, 70 });
        fleet.runUntil(13'000);
        CPPUNIT_ASSERT(fleet.at("a-1").getConfigurationAge(Milliseconds(13'000)) > Milliseconds(60'000));
        CPPUNIT_ASSERT(!fleet.at("a-1").isBehind(Milliseconds(13'000)));
    }

    void testVmOfAnEarlierEraIsBehind()
    {
        // The restored store has fewer changes than the copy that the other VM still knows.
        DigestFleet fleet({ "a" }, 2);
        fleet.at("a-0").noteKnownRevision({ 2, 40 });
        fleet.at("a-0").noteConfigurationConfirmation(Milliseconds(11'000));
        fleet.at("a-1").noteKnownRevision({ 1, 70 });
        fleet.runUntil(13'000);
        CPPUNIT_ASSERT(fleet.at("a-1").isBehind(Milliseconds(13'000)));
        CPPUNIT_ASSERT(fleet.at("a-1").getConfigurationAge(Milliseconds(13'000)) > Milliseconds(60'000));
        fleet.at("a-1").noteKnownRevision({ 2, 40 });
        fleet.runUntil(14'000);
        CPPUNIT_ASSERT(!fleet.at("a-1").isBehind(Milliseconds(14'000)));
        CPPUNIT_ASSERT(fleet.at("a-1").getConfigurationAge(Milliseconds(14'000)) < Milliseconds(4'000));
    }

    void testStartingVmWithAnOlderConfigurationTrustsNoKeys()
    {
        // The store came back without version 7, and a VM that starts reads version 3 there.
        DigestFleet fleet({ "a" }, 2);
        GatewayCore& starting = fleet.at("a-1");
        fleet.at("a-0").applyConfiguration(makeDocument(7));
        fleet.at("a-0").noteStoredConfiguration({ 7, { 1, 34 } });
        fleet.at("a-0").noteKnownRevision({ 1, 40 });
        starting.applyConfiguration(makeDocument(3));
        starting.noteStoredConfiguration({ 3, { 2, 32 } });
        starting.noteKnownRevision({ 2, 33 });
        starting.noteConfigurationConfirmation(Milliseconds(11'000));
        fleet.runUntil(11'000);
        CPPUNIT_ASSERT(!starting.isReady(Milliseconds(11'000)));
        const AdmissionDecision decision
            = starting.admit(Milliseconds(11'000), { "h.example", "/a/x", "first-key", {} });
        CPPUNIT_ASSERT(std::get<Refusal>(decision).cause == RefusalCause::StaleConfiguration);
        CPPUNIT_ASSERT(starting.mustQueryStore(Milliseconds(11'000)));
        starting.applyConfiguration(makeDocument(7));
        CPPUNIT_ASSERT(starting.isReady(Milliseconds(11'000)));
    }

    void testConfigurationOnItsWayLeavesKeysTrusted()
    {
        DigestFleet fleet({ "a" }, 2);
        fleet.at("a-0").applyConfiguration(makeDocument(7));
        fleet.at("a-0").noteStoredConfiguration({ 7, { 1, 34 } });
        fleet.at("a-0").noteKnownRevision({ 1, 34 });
        fleet.at("a-1").applyConfiguration(makeDocument(3));
        fleet.at("a-1").noteStoredConfiguration({ 3, { 1, 32 } });
        fleet.at("a-1").noteKnownRevision({ 1, 33 });
        fleet.at("a-1").noteConfigurationConfirmation(Milliseconds(11'000));
        fleet.runUntil(11'000);
        CPPUNIT_ASSERT(fleet.at("a-1").isReady(Milliseconds(11'000)));
    }

    void testVmWithAnOlderConfigurationConfirmsNothing()
    {
        DigestFleet fleet({ "a" }, 2);
        fleet.at("a-0").applyConfiguration(makeDocument(3));
        fleet.at("a-0").noteConfigurationConfirmation(Milliseconds(11'000));
        fleet.at("a-1").applyConfiguration(makeDocument(7));
        fleet.runUntil(13'000);
        CPPUNIT_ASSERT(fleet.at("a-1").getConfigurationAge(Milliseconds(13'000)) > Milliseconds(60'000));
    }

    void testConfirmationIsNeverNewerThanTheReport()
    {
        // The reply arrives four seconds late. The age must still count from the time the report was sent.
        GatewayCore core(makeSettings("a-1", "a"), "key", 1);
        core.noteReply(Milliseconds(20'000), { VmId("a-0"), 16'000, 300, {}, {} });
        CPPUNIT_ASSERT(Milliseconds(4'300) == core.getConfigurationAge(Milliseconds(20'000)));
    }

    void testSilentCollectorIsReplaced()
    {
        DigestFleet fleet({ "a" }, 3);
        fleet.runUntil(12'000);
        fleet.makeUnreachable("a-0");
        fleet.runUntil(15'000);
        fleet.at("a-1").noteConfigurationConfirmation(Milliseconds(15'000));
        fleet.runUntil(16'000);
        CPPUNIT_ASSERT(fleet.at("a-2").getConfigurationAge(Milliseconds(16'000)) < Milliseconds(1'700));
    }

    void testEveryVmLearnsTheLoadOfEachUpstream()
    {
        DigestFleet fleet({ "north" }, 5);
        for (const auto& [vm, core] : fleet.cores) {
            core->getUpstreams().put(Milliseconds(fleet.now), makeUpstream("engine-1", "north"));
            core->getUpstreams().put(Milliseconds(fleet.now), makeUpstream("engine-2", "north"));
        }
        // Load pattern: all requests but one go to one engine, from VMs that each see only their own.
        for (int vm = 0; vm < 4; ++vm)
            fleet.at("north-" + std::to_string(vm)).getUpstreams().noteStarted(UpstreamId("engine-1"), 9'000);
        fleet.at("north-4").getUpstreams().noteStarted(UpstreamId("engine-2"), 1'000);
        fleet.runUntil(fleet.now + 4 * interval);
        for (const auto& [vm, core] : fleet.cores) {
            const KnownUpstream* upstream = core->getUpstreams().find(UpstreamId("engine-1"));
            const std::optional<UpstreamLoad> others = core->getLoadOfOtherVms(UpstreamId("engine-1"));
            CPPUNIT_ASSERT(others);
            CPPUNIT_ASSERT_EQUAL(4, upstream->running + others->running);
            CPPUNIT_ASSERT_EQUAL(
                std::int64_t { 36'000 }, upstream->pendingPrefillTokens + others->pendingPrefillTokens);
            PlacementQuery query;
            query.service = ServiceId("engine");
            const PlacementDecision decision = core->place(Milliseconds(fleet.now), query, 0);
            CPPUNIT_ASSERT(UpstreamId("engine-2") == std::get<UseUpstream>(decision).upstream.id);
        }
    }

    void testLoadOfAVmThatIsGoneExpires()
    {
        DigestFleet fleet({ "north" }, 3);
        for (const auto& [vm, core] : fleet.cores)
            core->getUpstreams().put(Milliseconds(fleet.now), makeUpstream("engine-1", "north"));
        fleet.at("north-2").getUpstreams().noteStarted(UpstreamId("engine-1"), 9'000);
        fleet.runUntil(fleet.now + 4 * interval);
        CPPUNIT_ASSERT_EQUAL(1, fleet.at("north-0").getLoadOfOtherVms(UpstreamId("engine-1"))->running);
        fleet.makeUnreachable("north-2");
        fleet.runUntil(fleet.now + 12 * interval);
        for (const char* vm : { "north-0", "north-1" })
            CPPUNIT_ASSERT_EQUAL(0, fleet.at(vm).getLoadOfOtherVms(UpstreamId("engine-1"))->running);
    }

    // The last report of a VM counted for good if no other VM of the region reported after it.
    void testLastVmOfARegionDoesNotRefuseForTheLoadOfOneThatIsGone()
    {
        constexpr int slots = 6;
        for (const int vmsLeft : { 1, 2 }) {
            // The VM that is gone is the last in name order, or the collector.
            for (const bool isCollector : { false, true }) {
                DigestFleet fleet({ "north", "south" }, vmsLeft + 1);
                for (const auto& [vm, core] : fleet.cores)
                    core->getUpstreams().put(Milliseconds(fleet.now), makeUpstream("engine-1", "north", slots));
                const std::string gone = "north-" + std::to_string(isCollector ? 0 : vmsLeft);
                for (int request = 0; request < slots; ++request)
                    fleet.at(gone).getUpstreams().noteStarted(UpstreamId("engine-1"), 9'000);
                fleet.runUntil(fleet.now + 4 * interval);
                PlacementQuery query;
                query.service = ServiceId("engine");
                const auto canPlace = [&](const std::string& vm) {
                    return std::holds_alternative<UseUpstream>(fleet.at(vm).place(Milliseconds(fleet.now), query, 0));
                };
                const std::string left = "north-" + std::to_string(isCollector ? 1 : 0);
                CPPUNIT_ASSERT(!canPlace(left));
                fleet.makeUnreachable(gone);
                fleet.runUntil(fleet.now + 12 * interval);
                for (int number = 0; number <= vmsLeft; ++number) {
                    const std::string vm = "north-" + std::to_string(number);
                    CPPUNIT_ASSERT_MESSAGE(vm + " of " + std::to_string(vmsLeft), vm == gone || canPlace(vm));
                }
            }
        }
    }

    // Workspaces got less than their limit for the callers of a region that no VM was left in.
    void testDemandOfARegionThatIsGoneExpires()
    {
        DigestFleet fleet({ "a", "b" }, 1);
        ServingDocument document = makeDocument(1);
        document.workspaces.front().unitsPerSecond = 1000;
        document.workspaces.front().burstUnits = 1000;
        for (const auto& [vm, core] : fleet.cores) {
            core->applyConfiguration(document);
            core->noteConfigurationConfirmation(Milliseconds(12'000));
        }
        const auto admit = [&fleet](const std::string& vm, int count) {
            int granted = 0;
            for (int request = 0; request < count; ++request) {
                const auto decision
                    = fleet.at(vm).admit(Milliseconds(fleet.now), { "h.example", "/a/x", "first-key", {} });
                granted += std::holds_alternative<Admitted>(decision) ? 1 : 0;
            }
            return granted;
        };
        while (fleet.now < 14'000) {
            admit("b-0", 5'000);
            fleet.runUntil(fleet.now + interval);
        }
        fleet.makeUnreachable("b-0");
        fleet.at("a-0").removeVm(VmId("b-0"), Milliseconds(fleet.now));
        fleet.runUntil(fleet.now + 12 * interval);
        fleet.at("a-0").noteConfigurationConfirmation(Milliseconds(fleet.now));
        int granted = 0;
        const std::int64_t until = fleet.now + 2'000;
        while (fleet.now < until) {
            granted += admit("a-0", 1'000);
            fleet.runUntil(fleet.now + interval);
        }
        CPPUNIT_ASSERT(granted >= 1'500);
    }

    void testLargeRegionWithFreeCapacityIsNotFull()
    {
        // Load pattern: long streams at 32 VMs. Each VM has two at each engine of 64 slots by chance on a few engines,
        // and no report of those engines for a while. A third of the region's slots are in use.
        constexpr int vmCount = 32;
        constexpr int engineCount = 4;
        DigestFleet fleet({ "north" }, vmCount);
        for (const auto& [vm, core] : fleet.cores) {
            for (int engine = 0; engine < engineCount; ++engine) {
                const std::string name = "engine-" + std::to_string(engine);
                core->getUpstreams().put(Milliseconds(fleet.now), makeUpstream(name, "north"));
                const bool isBusyVm = stableHash(vm.string()) % 3 == 0;
                for (int request = 0; request < (isBusyVm ? 2 : 0); ++request)
                    core->getUpstreams().noteStarted(UpstreamId(name), 0);
            }
        }
        fleet.runUntil(fleet.now + 4 * interval);
        for (const auto& [vm, core] : fleet.cores) {
            PlacementQuery query;
            query.service = ServiceId("engine");
            CPPUNIT_ASSERT(std::holds_alternative<UseUpstream>(core->place(Milliseconds(fleet.now), query, 0)));
        }
    }

    void testMessagesGrowLinearlyWithVms()
    {
        DigestFleet smallFleet({ "a", "b", "c" }, 3);
        DigestFleet largeFleet({ "a", "b", "c" }, 30);
        const int fewMessages = smallFleet.runUntil(20'000);
        const int manyMessages = largeFleet.runUntil(20'000);
        CPPUNIT_ASSERT(manyMessages <= fewMessages * 10 * 11 / 10);
    }

    void testDemandOfOtherRegionsReducesTheShare()
    {
        DigestFleet fleet({ "a", "b" }, 2);
        ServingDocument document = makeDocument(1);
        document.workspaces.front().unitsPerSecond = 1000;
        for (const auto& [vm, core] : fleet.cores) {
            core->applyConfiguration(document);
            core->noteConfigurationConfirmation(Milliseconds(12'000));
        }
        // One VM receives ten times the limit, so a VM of another region must leave nearly the whole limit to it.
        int granted = 0;
        for (std::int64_t at = 10'000; at < 14'000; at += 500) {
            for (int request = 0; request < 5000; ++request)
                fleet.at("b-1").admit(Milliseconds(at), { "h.example", "/a/x", "first-key", {} });
            fleet.runUntil(at + 500);
        }
        for (int request = 0; request < 500; ++request) {
            const auto decision = fleet.at("a-1").admit(Milliseconds(14'000), { "h.example", "/a/x", "first-key", {} });
            granted += std::holds_alternative<Admitted>(decision) ? 1 : 0;
        }
        CPPUNIT_ASSERT(granted < 100);
    }

    void testDamagedDatagramsAreRejected()
    {
        for (const char* bytes : { "", "{", "{}", "[1]", "{\"schema\":1,\"kind\":\"report\",\"key\":\"k\"}" })
            CPPUNIT_ASSERT(!decodeDigest(bytes));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DigestTest);

} // namespace papayashelf
