#include "gateway/DigestFleet.h"

#include <cppunit/extensions/HelperMacros.h>

namespace papayashelf {

using namespace gatewayfixture;

namespace {

constexpr Milliseconds start { 10'000 };
const ServiceId engine("engine");
const UpstreamId stating("engine-0");
const UpstreamId other("engine-1");

UpstreamRecord makeStating(std::int64_t startedAt = 1)
{
    UpstreamRecord record = makeUpstream(stating.string(), "north");
    record.startedAt = startedAt;
    return record;
}

UpstreamStatement stateLeaving()
{
    UpstreamStatement statement;
    statement.isLeaving = true;
    return statement;
}

UpstreamStatement stateRejection()
{
    UpstreamStatement statement;
    statement.rejectsFor = Milliseconds(5'000);
    return statement;
}

/** Returns true if the statement keeps the only upstream from getting a request. */
bool isKeptFromRequests(GatewayCore& core, Milliseconds now, const PlacementQuery& query)
{
    return std::holds_alternative<PlacementFailure>(core.place(now, query, 0));
}

} // namespace

class StatedLeavingTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(StatedLeavingTest);
    CPPUNIT_TEST(testVmsLearnThatAnUpstreamLeavesWithinOneExchange);
    CPPUNIT_TEST(testLeavingPassesOnFromAnswerWithoutLimit);
    CPPUNIT_TEST(testStatementOfOldIncarnationDoesNotMarkNewOne);
    CPPUNIT_TEST(testNewIncarnationStartsWithoutStatements);
    CPPUNIT_TEST(testEveryPathObeysLeavingAndRejecting);
    CPPUNIT_TEST(testMemoryIsNotFetchedFromLeavingOrRejectingUpstream);
    CPPUNIT_TEST(testColdAndSuspectUpstreamsObeyLeavingAndRejecting);
    CPPUNIT_TEST(testRejectionIsObeyedForTheLongestTimeAtMost);
    CPPUNIT_TEST_SUITE_END();

public:
    // No VM sees the store: the list still says that the upstream stays.
    void testVmsLearnThatAnUpstreamLeavesWithinOneExchange()
    {
        for (const char* first : { "north-0", "north-7" }) {
            DigestFleet fleet({ "north" }, 32);
            this->putStating(fleet);
            fleet.runUntil(fleet.now + 3 * DigestFleet::interval);
            fleet.at(first).noteStatement(Milliseconds(fleet.now), makeStating(), stateLeaving());
            // One report to the collector, and one reply of it to every VM.
            fleet.runUntil(fleet.now + 2 * DigestFleet::interval);
            this->checkNoVmUses(fleet);
        }
    }

    void testLeavingPassesOnFromAnswerWithoutLimit()
    {
        DigestFleet fleet({ "north" }, 8);
        this->putStating(fleet);
        fleet.runUntil(fleet.now + 3 * DigestFleet::interval);
        UpstreamStatement statement = stateLeaving();
        statement.isLimitKnown = false;
        fleet.at("north-7").noteStatement(Milliseconds(fleet.now), makeStating(), statement);
        fleet.runUntil(fleet.now + 2 * DigestFleet::interval);
        this->checkNoVmUses(fleet);
    }

    void testStatementOfOldIncarnationDoesNotMarkNewOne()
    {
        GatewayCore core(makeSettings(), "key", 1);
        UpstreamTable& table = core.getUpstreams();
        table.put(start, makeStating(2));
        UpstreamStatement statement = stateLeaving();
        statement.rejectsFor = Milliseconds(5'000);
        statement.requestsPerSecond = 1;
        CPPUNIT_ASSERT(StatementChange {} == core.noteStatement(start, makeStating(1), statement));
        table.noteStatement(start, { stating, 1, 1.0, true, Milliseconds(10) });
        const KnownUpstream* known = table.find(stating);
        CPPUNIT_ASSERT(!known->leavingSince && !known->isRejecting(start) && !known->requestsPerSecond);
        // Another process at the same address has another entry.
        UpstreamRecord successor = makeUpstream("engine-8", "north");
        successor.endpoint = makeStating().endpoint;
        table.put(start, successor);
        core.noteStatement(start, makeStating(2), statement);
        CPPUNIT_ASSERT(table.find(stating)->leavingSince && !table.find(successor.id)->leavingSince);
    }

    void testNewIncarnationStartsWithoutStatements()
    {
        DigestFleet fleet({ "north" }, 4);
        this->putStating(fleet);
        UpstreamStatement statement = stateLeaving();
        statement.rejectsFor = Milliseconds(5'000);
        for (const auto& [vm, core] : fleet.cores)
            core->noteStatement(Milliseconds(fleet.now), makeStating(), statement);
        fleet.runUntil(fleet.now + DigestFleet::interval);
        // The other VMs learn of the new incarnation later and still report the old one's statement.
        fleet.at("north-1").getUpstreams().put(Milliseconds(fleet.now), makeStating(2));
        fleet.runUntil(fleet.now + 2 * DigestFleet::interval);
        PlacementQuery query;
        query.service = engine;
        CPPUNIT_ASSERT(!isKeptFromRequests(fleet.at("north-1"), Milliseconds(fleet.now), query));
        CPPUNIT_ASSERT(isKeptFromRequests(fleet.at("north-2"), Milliseconds(fleet.now), query));
    }

    void testEveryPathObeysLeavingAndRejecting()
    {
        PlacementQuery first;
        first.service = engine;
        PlacementQuery waiting = first;
        waiting.isFirstPlacement = false;
        PlacementQuery retry = first;
        retry.tried = { UpstreamId("engine-9") };
        PlacementQuery resumed = retry;
        resumed.promptTokens = 700;
        resumed.isFirstPlacement = false;
        PlacementQuery relayed = first;
        relayed.mayRelay = false;
        PlacementQuery cached = first;
        cached.promptTokens = 3'000;
        cached.sharedTokens = 2'000;
        cached.cacheKey = 7;
        for (const UpstreamStatement& statement : { stateLeaving(), stateRejection() }) {
            for (const PlacementQuery& query : { first, waiting, retry, resumed, relayed, cached }) {
                GatewayCore core(makeSettings(), "key", 1);
                core.getUpstreams().put(start, makeStating());
                CPPUNIT_ASSERT(!isKeptFromRequests(core, start, query));
                core.noteStatement(start, makeStating(), statement);
                CPPUNIT_ASSERT(isKeptFromRequests(core, start, query));
                CPPUNIT_ASSERT(isKeptFromRequests(core, start + Milliseconds(4'900), query));
            }
        }
    }

    void testMemoryIsNotFetchedFromLeavingOrRejectingUpstream()
    {
        PlacementQuery query;
        query.service = engine;
        query.promptTokens = 6'000;
        query.sharedTokens = 5'000;
        for (const UpstreamStatement& statement : { stateLeaving(), stateRejection() }) {
            int sources = 0;
            for (query.cacheKey = 1; query.cacheKey <= 20; ++query.cacheKey) {
                GatewayCore core(makeSettings(), "key", 1);
                core.getUpstreams().put(start, makeStating());
                core.getUpstreams().put(start, makeUpstream(other.string(), "north"));
                core.getUpstreams().noteStarted(stating, 60'000);
                sources += std::get<UseUpstream>(core.place(start, query, 0)).cacheSource.has_value() ? 1 : 0;
                core.noteStatement(start, makeStating(), statement);
                const UseUpstream choice = std::get<UseUpstream>(core.place(start, query, 0));
                CPPUNIT_ASSERT(choice.upstream.id == other && !choice.cacheSource);
            }
            CPPUNIT_ASSERT(sources > 0);
        }
    }

    void testColdAndSuspectUpstreamsObeyLeavingAndRejecting()
    {
        PlacementQuery query;
        query.service = engine;
        for (const UpstreamStatement& statement : { stateLeaving(), stateRejection() }) {
            GatewayCore core(makeSettings(), "key", 1);
            core.tick(start - Milliseconds(5'000));
            UpstreamRecord cold = makeStating();
            cold.coldFor = Milliseconds(8'000);
            core.getUpstreams().put(start, cold);
            core.noteStatement(start, cold, statement);
            for (int failure = 0; failure < 4; ++failure)
                core.getUpstreams().noteHealthObservation(start, stating, HealthObservation::Failure);
            for (std::int64_t elapsed = 0; elapsed < 5'000; elapsed += 100)
                CPPUNIT_ASSERT(isKeptFromRequests(core, start + Milliseconds(elapsed), query));
        }
    }

    void testRejectionIsObeyedForTheLongestTimeAtMost()
    {
        constexpr Milliseconds longestSpread { 1'000 };
        GatewaySettings settings = makeSettings();
        settings.bounds.longestRejection = Milliseconds(20'000);
        GatewayCore core(settings, "key", 1);
        core.getUpstreams().put(start, makeStating());
        UpstreamStatement statement;
        statement.rejectsFor = Milliseconds(3'600'000);
        core.noteStatement(start, makeStating(), statement);
        PlacementQuery query;
        query.service = engine;
        CPPUNIT_ASSERT(isKeptFromRequests(core, start + Milliseconds(19'900), query));
        CPPUNIT_ASSERT(!isKeptFromRequests(core, start + Milliseconds(20'000) + longestSpread, query));
    }

private:
    void putStating(DigestFleet& fleet)
    {
        for (const auto& [vm, core] : fleet.cores)
            core->getUpstreams().put(Milliseconds(fleet.now), makeStating());
    }

    void checkNoVmUses(DigestFleet& fleet)
    {
        PlacementQuery query;
        query.service = engine;
        for (const auto& [vm, core] : fleet.cores)
            CPPUNIT_ASSERT_MESSAGE(vm.string(), isKeptFromRequests(*core, Milliseconds(fleet.now), query));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StatedLeavingTest);

} // namespace papayashelf
