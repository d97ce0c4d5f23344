#include "gateway/GatewayFixture.h"

#include <cppunit/extensions/HelperMacros.h>

namespace papayashelf {

using namespace gatewayfixture;

namespace {

constexpr Milliseconds now { 10'000 };
const ServiceId engine("engine");

} // namespace

class PlacementTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(PlacementTest);
    CPPUNIT_TEST(testSharedPromptsUseTheSameUpstream);
    CPPUNIT_TEST(testLoadedUpstreamLosesItsSharedPrompts);
    CPPUNIT_TEST(testOverflowFetchesSharedPartFromItsUsualUpstream);
    CPPUNIT_TEST(testShortSharedPartIsNotFetched);
    CPPUNIT_TEST(testFullRegionRelaysRequests);
    CPPUNIT_TEST(testRegionWithPendingPrefillRelaysRequests);
    CPPUNIT_TEST(testRegionWithoutUpstreamsRelaysToBusyRegion);
    CPPUNIT_TEST(testRegionWithUpstreamsDoesNotRelayToBusyRegion);
    CPPUNIT_TEST(testRelaysAreDividedAmongVms);
    CPPUNIT_TEST(testRelaysStayWithinHomes);
    CPPUNIT_TEST(testRelayedRequestIsNotRelayedAgain);
    CPPUNIT_TEST(testStreamIsContinuedByItsVersionOnly);
    CPPUNIT_TEST(testStreamIsRelayedToItsVersion);
    CPPUNIT_TEST(testRestartedUpstreamContinuesNoStreamUntilItIsListed);
    CPPUNIT_TEST(testSuspectUpstreamIsNotFloodedWithStreamsOfItsVersion);
    CPPUNIT_TEST(testPlacementFailureStatesItsCause);
    CPPUNIT_TEST(testLeavingAndEvacuatedUpstreamsAreSkipped);
    CPPUNIT_TEST(testSuspectUpstreamGetsOnlyTrials);
    CPPUNIT_TEST(testDueTrialDoesNotHideSoundUpstreams);
    CPPUNIT_TEST(testTriedUpstreamThatRejectsIsNoReasonToWait);
    CPPUNIT_TEST(testUnreachableUpstreamIsTriedLessOften);
    CPPUNIT_TEST(testRestartedUpstreamLosesItsHistory);
    CPPUNIT_TEST(testUnlistedUpstreamIsKeptUntilItsRemovalTime);
    CPPUNIT_TEST(testEntriesAreNearbyReadyVms);
    CPPUNIT_TEST(testEntriesOfRegionWithoutVmsAreInHomes);
    CPPUNIT_TEST(testStoppingVmsPrecedeVmsOutsideTheHomes);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        this->table = std::make_unique<UpstreamTable>();
        this->vms = std::make_unique<VmRegistry>();
        for (const char* region : { "north", "south" }) {
            for (int number = 0; number < 4; ++number)
                this->table->put(now, makeUpstream(std::string(region) + std::to_string(number), region));
            this->vms->put(makeVm(std::string("vm-") + region, region));
        }
        this->placement = std::make_unique<Placement>(
            VmId("vm-north"), RegionId("north"), *this->table, *this->vms, this->loadExchange, 1);
    }

    void testSharedPromptsUseTheSameUpstream()
    {
        for (std::uint64_t document = 1; document <= 20; ++document) {
            PlacementQuery query = this->makeQuery();
            query.cacheKey = stableHash("document", document);
            query.sharedTokens = 5000;
            const UpstreamId first = this->chooseUpstream(query);
            for (int repeat = 0; repeat < 5; ++repeat)
                CPPUNIT_ASSERT(first == this->chooseUpstream(query));
        }
    }

    void testLoadedUpstreamLosesItsSharedPrompts()
    {
        PlacementQuery query = this->makeQuery();
        query.cacheKey = 77;
        query.sharedTokens = 5000;
        query.mayRelay = false;
        const UpstreamId first = this->chooseUpstream(query);
        this->table->noteStarted(first, 5'000);
        CPPUNIT_ASSERT(first == this->chooseUpstream(query)); // Prefilling the shared part elsewhere takes longer.
        this->table->noteStarted(first, 55'000);
        CPPUNIT_ASSERT(first != this->chooseUpstream(query));
        this->table->notePrefillDone(first, 60'000);
        CPPUNIT_ASSERT(first == this->chooseUpstream(query));
    }

    void testOverflowFetchesSharedPartFromItsUsualUpstream()
    {
        // Load pattern: requests with the same long document exceed what one engine can prefill in time.
        PlacementQuery query = this->makeQuery();
        query.cacheKey = 77;
        query.sharedTokens = 5000;
        query.mayRelay = false;
        const UseUpstream usual = std::get<UseUpstream>(this->placement->choose(now, query, {}));
        CPPUNIT_ASSERT(!usual.cacheSource);
        this->table->noteStarted(usual.upstream.id, 55'000);
        const UseUpstream overflow = std::get<UseUpstream>(this->placement->choose(now, query, {}));
        CPPUNIT_ASSERT(overflow.upstream.id != usual.upstream.id);
        CPPUNIT_ASSERT(overflow.cacheSource == usual.upstream.endpoint);
        // Requests are kept from a full engine, but it still holds what it has read.
        this->table->noteLoad(now, usual.upstream.id, { 64, 10, 64 });
        CPPUNIT_ASSERT(
            std::get<UseUpstream>(this->placement->choose(now, query, {})).cacheSource == usual.upstream.endpoint);
        // A leaving engine may be gone before the fetch.
        UpstreamRecord leaving = usual.upstream;
        leaving.isLeaving = true;
        this->table->put(now, leaving);
        CPPUNIT_ASSERT(
            std::get<UseUpstream>(this->placement->choose(now, query, {})).cacheSource != usual.upstream.endpoint);
    }

    void testShortSharedPartIsNotFetched()
    {
        PlacementQuery query = this->makeQuery();
        query.cacheKey = 77;
        query.sharedTokens = 200;
        query.mayRelay = false;
        const UpstreamId usual = this->chooseUpstream(query);
        this->table->noteStarted(usual, 55'000);
        CPPUNIT_ASSERT(!std::get<UseUpstream>(this->placement->choose(now, query, {})).cacheSource);
    }

    void testFullRegionRelaysRequests()
    {
        // Load pattern: a small region is at its peak while the other one is nearly idle.
        for (int number = 0; number < 4; ++number)
            this->table->noteLoad(now, UpstreamId("north" + std::to_string(number)), { 64, 10, 64 });
        const PlacementDecision decision = this->placement->choose(now, this->makeQuery(), {});
        const UseRelay* relay = std::get_if<UseRelay>(&decision);
        CPPUNIT_ASSERT(relay && relay->region == RegionId("south") && relay->relayKey == "key-of-vm-south");
    }

    void testRegionWithPendingPrefillRelaysRequests()
    {
        // Load pattern: long prompts at a regional peak. Nearly all slots are free, but the pending prefill takes
        // seconds.
        for (int number = 0; number < 4; ++number)
            this->table->noteStarted(UpstreamId("north" + std::to_string(number)), 60'000);
        CPPUNIT_ASSERT(std::holds_alternative<UseRelay>(this->placement->choose(now, this->makeQuery(), {})));
    }

    void testRegionWithoutUpstreamsRelaysToBusyRegion()
    {
        // Load pattern: a region's only failure domain is evacuated, so its callers add to the peak of the other
        // region. A total of half a second ago must not refuse them all; the VMs there decide request by request.
        this->reportBusySouth();
        this->table->setEvacuated({ FailureDomainId("north-a") });
        for (const std::int64_t promptTokens : { 0, 1'000 }) {
            PlacementQuery query = this->makeQuery();
            query.promptTokens = promptTokens;
            const PlacementDecision decision = this->placement->choose(now, query, {});
            const UseRelay* relay = std::get_if<UseRelay>(&decision);
            CPPUNIT_ASSERT(relay && relay->region == RegionId("south"));
        }
    }

    void testRegionWithUpstreamsDoesNotRelayToBusyRegion()
    {
        this->reportBusySouth();
        for (int number = 0; number < 4; ++number)
            this->table->noteLoad(now, UpstreamId("north" + std::to_string(number)), { 64, 10, 64 });
        const PlacementDecision decision = this->placement->choose(now, this->makeQuery(), {});
        CPPUNIT_ASSERT(PlacementFailureCause::AllFull == std::get<PlacementFailure>(decision).cause);
    }

    void testRelaysAreDividedAmongVms()
    {
        for (int number = 0; number < 4; ++number)
            this->table->noteStarted(UpstreamId("north" + std::to_string(number)), 20'000);
        for (int vm = 2; vm < 12; ++vm)
            this->vms->put(makeVm("vm-north-" + std::to_string(vm), "north"));
        int relayCount = 0;
        while (
            relayCount < 100 && std::holds_alternative<UseRelay>(this->placement->choose(now, this->makeQuery(), {}))) {
            this->placement->noteRelayStarted(RegionId("south"), 1000);
            ++relayCount;
        }
        // The excess is about 800 ms of prefill at 4 upstreams, or 64,000 tokens; each of eleven VMs relays its share.
        CPPUNIT_ASSERT(relayCount >= 2 && relayCount <= 12);
    }

    void testRelaysStayWithinHomes()
    {
        for (int number = 0; number < 4; ++number)
            this->table->noteLoad(now, UpstreamId("north" + std::to_string(number)), { 64, 10, 64 });
        PlacementQuery query = this->makeQuery();
        query.homes = { RegionId("north") };
        CPPUNIT_ASSERT(std::holds_alternative<PlacementFailure>(this->placement->choose(now, query, {})));
        query.homes = { RegionId("south") };
        CPPUNIT_ASSERT(std::holds_alternative<UseRelay>(this->placement->choose(now, query, {})));
    }

    void testRelayedRequestIsNotRelayedAgain()
    {
        for (int number = 0; number < 4; ++number)
            this->table->noteLoad(now, UpstreamId("north" + std::to_string(number)), { 64, 10, 64 });
        PlacementQuery query = this->makeQuery();
        query.mayRelay = false;
        CPPUNIT_ASSERT(std::holds_alternative<PlacementFailure>(this->placement->choose(now, query, {})));
    }

    void testStreamIsContinuedByItsVersionOnly()
    {
        this->listVersion("north2", "north", "v2");
        PlacementQuery query = this->makeQuery();
        query.version = SoftwareVersion("v2");
        for (int repeat = 0; repeat < 20; ++repeat)
            CPPUNIT_ASSERT(this->chooseUpstream(query) == UpstreamId("north2"));
        query.version = SoftwareVersion("v1");
        for (int repeat = 0; repeat < 20; ++repeat)
            CPPUNIT_ASSERT(this->chooseUpstream(query) != UpstreamId("north2"));
    }

    void testStreamIsRelayedToItsVersion()
    {
        PlacementQuery query = this->makeQuery();
        query.version = SoftwareVersion("v2");
        const auto choose = [&] { return this->placement->choose(now, query, ServingService {}); };
        const auto failure = std::get<PlacementFailure>(choose());
        CPPUNIT_ASSERT(failure.cause == PlacementFailureCause::NoUpstreamOfVersion);
        this->listVersion("south1", "south", "v2");
        CPPUNIT_ASSERT(std::get<UseRelay>(choose()).region == RegionId("south"));
        query.mayRelay = false;
        CPPUNIT_ASSERT(std::get<PlacementFailure>(choose()).cause == PlacementFailureCause::NoUpstreamOfVersion);
    }

    void testRestartedUpstreamContinuesNoStreamUntilItIsListed()
    {
        this->listVersion("north2", "north", "v2");
        this->table->noteProcessEnded(now, this->table->find(UpstreamId("north2"))->record);
        PlacementQuery query = this->makeQuery();
        query.version = SoftwareVersion("v2");
        const auto choose = [&] { return this->placement->choose(now, query, ServingService {}); };
        CPPUNIT_ASSERT(std::get<PlacementFailure>(choose()).cause == PlacementFailureCause::NoUpstream);
        this->listVersion("north2", "north", "v2", 2);
        CPPUNIT_ASSERT(this->chooseUpstream(query) == UpstreamId("north2"));
    }

    void testSuspectUpstreamIsNotFloodedWithStreamsOfItsVersion()
    {
        this->listVersion("north2", "north", "v2");
        for (int failure = 0; failure < 3; ++failure)
            this->table->noteHealthObservation(now, UpstreamId("north2"), HealthObservation::Failure);
        PlacementQuery query = this->makeQuery();
        query.version = SoftwareVersion("v2");
        CPPUNIT_ASSERT(this->chooseUpstream(query) == UpstreamId("north2"));
        this->table->noteTrial(now, UpstreamId("north2"));
        const auto decision = this->placement->choose(now, query, ServingService {});
        // It waits, as the upstream may get another trial soon.
        CPPUNIT_ASSERT(std::get<PlacementFailure>(decision).cause == PlacementFailureCause::AllFull);
    }

    void testPlacementFailureStatesItsCause()
    {
        PlacementQuery query = this->makeQuery();
        query.mayRelay = false;
        query.service = ServiceId("nobody");
        const PlacementDecision none = this->placement->choose(now, query, {});
        CPPUNIT_ASSERT(std::get<PlacementFailure>(none).cause == PlacementFailureCause::NoUpstream);
        query.service = engine;
        for (int number = 0; number < 4; ++number)
            this->table->noteLoad(now, UpstreamId("north" + std::to_string(number)), { 64, 1, 64 });
        const PlacementDecision full = this->placement->choose(now, query, {});
        CPPUNIT_ASSERT(std::get<PlacementFailure>(full).cause == PlacementFailureCause::AllFull);
    }

    void testLeavingAndEvacuatedUpstreamsAreSkipped()
    {
        UpstreamRecord leaving = makeUpstream("north0", "north");
        leaving.isLeaving = true;
        this->table->put(now, leaving);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 3 }, this->table->getUsableUpstreams(engine, RegionId("north")).size());
        this->table->setEvacuated({ FailureDomainId("north-a") });
        CPPUNIT_ASSERT(this->table->getUsableUpstreams(engine, RegionId("north")).empty());
        CPPUNIT_ASSERT(std::holds_alternative<UseRelay>(this->placement->choose(now, this->makeQuery(), {})));
    }

    void testSuspectUpstreamGetsOnlyTrials()
    {
        const UpstreamId bad("north0");
        for (int failure = 0; failure < 5; ++failure)
            this->table->noteHealthObservation(now, bad, HealthObservation::Failure);
        int uses = 0;
        for (int request = 0; request < 100; ++request) {
            const PlacementDecision decision = this->placement->choose(now, this->makeQuery(), {});
            const auto& choice = std::get<UseUpstream>(decision);
            if (choice.upstream.id != bad)
                continue;
            CPPUNIT_ASSERT(choice.isTrial);
            this->table->noteTrial(now, bad);
            ++uses;
        }
        CPPUNIT_ASSERT_EQUAL(1, uses);
    }

    // A stream that has begun must not be the trial of a suspect upstream.
    void testDueTrialDoesNotHideSoundUpstreams()
    {
        const UpstreamId bad("north0");
        for (int failure = 0; failure < 5; ++failure)
            this->table->noteHealthObservation(now, bad, HealthObservation::Failure);
        PlacementQuery query = this->makeQuery();
        query.mayTrySuspects = false;
        query.mayRelay = false;
        for (int request = 0; request < 20; ++request)
            CPPUNIT_ASSERT(std::get<UseUpstream>(this->placement->choose(now, query, {})).upstream.id != bad);
        for (int number = 1; number < 4; ++number)
            query.tried.insert(UpstreamId("north" + std::to_string(number)));
        CPPUNIT_ASSERT(std::holds_alternative<PlacementFailure>(this->placement->choose(now, query, {})));
    }

    void testTriedUpstreamThatRejectsIsNoReasonToWait()
    {
        PlacementQuery query = this->makeQuery();
        query.mayRelay = false;
        for (int number = 0; number < 4; ++number)
            query.tried.insert(UpstreamId("north" + std::to_string(number)));
        UpstreamStatement statement;
        statement.rejectsFor = Milliseconds(5'000);
        this->table->noteStatement(now, makeUpstream("north0", "north"), statement);
        const PlacementDecision decision = this->placement->choose(now, query, {});
        CPPUNIT_ASSERT(std::get<PlacementFailure>(decision).cause == PlacementFailureCause::NoUpstream);
    }

    void testUnreachableUpstreamIsTriedLessOften()
    {
        // Load pattern: a failure domain becomes unreachable at peak load, and each request that tries an upstream
        // there loses time.
        const UpstreamId unreachable("north0");
        int tried = 0;
        for (std::int64_t elapsed = 0; elapsed < 10'000; elapsed += 10) {
            const Milliseconds time = now + Milliseconds(elapsed);
            const PlacementDecision decision = this->placement->choose(time, this->makeQuery(), {});
            if (std::get<UseUpstream>(decision).upstream.id != unreachable)
                continue;
            this->table->noteTrial(time, unreachable);
            this->table->noteHealthObservation(time, unreachable, HealthObservation::Unreachable);
            ++tried;
        }
        CPPUNIT_ASSERT(tried >= 2 && tried <= 5);
        this->table->noteHealthObservation(now + Milliseconds(10'000), unreachable, HealthObservation::Success);
        this->table->noteHealthObservation(now + Milliseconds(10'000), unreachable, HealthObservation::Success);
        CPPUNIT_ASSERT(!this->table->find(unreachable)->health.isSuspect(now + Milliseconds(20'000)));
    }

    void testRestartedUpstreamLosesItsHistory()
    {
        const UpstreamId id("north0");
        for (int failure = 0; failure < 5; ++failure)
            this->table->noteHealthObservation(now, id, HealthObservation::Failure);
        this->table->noteLoad(now, id, { 60, 0, 64 });
        UpstreamRecord restarted = makeUpstream("north0", "north");
        restarted.startedAt = 1'700'000'000'000;
        this->table->put(now, restarted);
        const KnownUpstream* known = this->table->find(id);
        CPPUNIT_ASSERT(!known->health.isSuspect(now) && known->reported == ReportedLoad {});
    }

    void testUnlistedUpstreamIsKeptUntilItsRemovalTime()
    {
        const UpstreamId id("north0");
        this->table->remove(id, now + Milliseconds(2000));
        this->table->expire(now + Milliseconds(1000));
        CPPUNIT_ASSERT(this->table->find(id));
        this->table->put(now, makeUpstream("north0", "north"));
        this->table->expire(now + Milliseconds(3000));
        CPPUNIT_ASSERT(this->table->find(id));
        this->table->remove(id, now + Milliseconds(3000));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, this->table->expire(now + Milliseconds(3000)).size());
    }

    void testEntriesAreNearbyReadyVms()
    {
        this->vms->put(makeVm("vm-north-2", "north", false));
        const std::vector<Endpoint> failureDomainEntries
            = this->vms->chooseEntries({ RegionId("north"), FailureDomainId("north-a"), {} }, 64);
        CPPUNIT_ASSERT(failureDomainEntries == std::vector<Endpoint> { makeVm("vm-north", "north").callers });
        const std::vector<Endpoint> region
            = this->vms->chooseEntries({ RegionId("south"), FailureDomainId("south-b"), {} }, 64);
        CPPUNIT_ASSERT(region == std::vector<Endpoint> { makeVm("vm-south", "south").callers });
    }

    void testEntriesOfRegionWithoutVmsAreInHomes()
    {
        // The VMs of region east restart in turn. Requests of its callers have homes in east and south, so the callers
        // must not be directed to a VM elsewhere.
        const std::vector<RegionId> homes { RegionId("east"), RegionId("south") };
        const CallerLocation location { RegionId("east"), FailureDomainId("east-a"), homes };
        const std::vector<Endpoint> entries = this->vms->chooseEntries(location, 64);
        CPPUNIT_ASSERT(entries == std::vector<Endpoint> { makeVm("vm-south", "south").callers });
    }

    void testStoppingVmsPrecedeVmsOutsideTheHomes()
    {
        // The VMs of region north restart in turn. The south is no home of its requests, so a stopping VM of the north
        // that still takes requests must be preferred.
        VmAnnouncement stopping = makeVm("vm-north", "north", false);
        const CallerLocation location { RegionId("north"), FailureDomainId("north-a"), { RegionId("north") } };
        this->vms->put(stopping);
        CPPUNIT_ASSERT(
            this->vms->chooseEntries(location, 64) == std::vector<Endpoint> { makeVm("vm-south", "south").callers });
        stopping.takesRequests = true;
        this->vms->put(stopping);
        CPPUNIT_ASSERT(this->vms->chooseEntries(location, 64) == std::vector<Endpoint> { stopping.callers });
    }

private:
    void listVersion(
        const std::string& name, const std::string& region, const std::string& version, std::int64_t startedAt = 1)
    {
        UpstreamRecord record = makeUpstream(name, region);
        record.version = SoftwareVersion(version);
        record.startedAt = startedAt;
        this->table->put(now, record);
    }

    /** Reports that the other region's requests take all of its slots and all of its prefill capacity. */
    void reportBusySouth()
    {
        DigestReport report { VmId("vm-south"), RegionId("south"), true, {}, now.count() };
        report.figures.services[engine] = { 4 * 64, 0, 10'000'000 };
        this->loadExchange.noteReport(now, report);
    }

    PlacementQuery makeQuery() const
    {
        PlacementQuery query;
        query.service = engine;
        return query;
    }

    UpstreamId chooseUpstream(const PlacementQuery& query)
    {
        return std::get<UseUpstream>(this->placement->choose(now, query, {})).upstream.id;
    }

    std::unique_ptr<UpstreamTable> table;
    std::unique_ptr<VmRegistry> vms;
    LoadExchange loadExchange { VmId("vm-north"), RegionId("north") };
    std::unique_ptr<Placement> placement;
};

CPPUNIT_TEST_SUITE_REGISTRATION(PlacementTest);

} // namespace papayashelf
