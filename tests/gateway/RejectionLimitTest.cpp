#include "gateway/DigestFleet.h"

#include <cppunit/extensions/HelperMacros.h>

namespace papayashelf {

using namespace gatewayfixture;

namespace {

constexpr Milliseconds start { 10'000 };
constexpr Milliseconds discoveryTime { 2'000 }; /**< After its start, within which a VM may not know all others. */
constexpr int slots = 6;
const UpstreamId limiting("engine-0");

UpstreamRecord makeLimiting(std::int64_t startedAt = 1)
{
    UpstreamRecord record = makeUpstream(limiting.string(), "north", slots);
    record.startedAt = startedAt;
    return record;
}

UpstreamStatement stateRejectionLimit()
{
    UpstreamStatement statement;
    statement.rejectionLimit = 4;
    return statement;
}

PlacementQuery makeQuery()
{
    PlacementQuery query;
    query.service = ServiceId("engine");
    return query;
}

bool isPlaced(GatewayCore& core, Milliseconds now, const PlacementQuery& query = makeQuery())
{
    return std::holds_alternative<UseUpstream>(core.place(now, query, 0));
}

/** Lets a VM send requests that do not end until it may send no more. Returns their number. */
int sendAll(GatewayCore& core, Milliseconds now)
{
    int sent = 0;
    for (; isPlaced(core, now); ++sent) {
        core.getPlacement().noteUse(now, limiting);
        core.getUpstreams().noteStarted(limiting, 0);
    }
    return sent;
}

} // namespace

/** Upstreams that fail if they have to reject more than a stated number of requests in a second. */
class RejectionLimitTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(RejectionLimitTest);
    CPPUNIT_TEST(testRequestsOfAllVmsAtOnceFillTheSlotsAndNoMore);
    CPPUNIT_TEST(testEveryPathKeepsToTheShare);
    CPPUNIT_TEST(testVmThatHasJustStartedTakesNoShare);
    CPPUNIT_TEST(testVmsLearnTheLimitAndItsEndFromEachOther);
    CPPUNIT_TEST(testOldStatementOfAnotherVmIsIgnored);
    CPPUNIT_TEST(testRejectionKeepsRequestsAwayForAWhile);
    CPPUNIT_TEST(testRestartedUpstreamKeepsItsLimitUntilItAnswers);
    CPPUNIT_TEST_SUITE_END();

public:
    // Load pattern: a burst reaches all VMs before any of them knows what the others send.
    void testRequestsOfAllVmsAtOnceFillTheSlotsAndNoMore()
    {
        for (const int count : { 1, 2, 3, 6, 7, 32 }) {
            DigestFleet fleet({ "north" }, count);
            this->putLimiting(fleet);
            for (const auto& [vm, core] : fleet.cores)
                core->noteStatement(Milliseconds(fleet.now), makeLimiting(), stateRejectionLimit());
            fleet.runUntil(fleet.now + discoveryTime.count() + DigestFleet::interval);
            int sent = 0;
            for (const auto& [vm, core] : fleet.cores)
                sent += sendAll(*core, Milliseconds(fleet.now));
            CPPUNIT_ASSERT_EQUAL(slots, sent);
        }
    }

    void testEveryPathKeepsToTheShare()
    {
        PlacementQuery waiting = makeQuery();
        waiting.isFirstPlacement = false;
        PlacementQuery retry = makeQuery();
        retry.tried = { UpstreamId("engine-9") };
        PlacementQuery relayed = makeQuery();
        relayed.mayRelay = false;
        PlacementQuery resumed = retry;
        resumed.version = SoftwareVersion("v1");
        for (const PlacementQuery& query : { makeQuery(), waiting, retry, relayed, resumed }) {
            for (const bool isSuspect : { false, true }) {
                GatewayCore core(makeSettings(), "key", 1);
                core.putVm(makeVm("vm-2", "north"));
                core.tick(start - discoveryTime);
                core.getUpstreams().put(start, makeLimiting());
                for (int failure = 0; isSuspect && failure < 4; ++failure)
                    core.getUpstreams().noteHealthObservation(start, limiting, HealthObservation::Failure);
                core.noteStatement(start, makeLimiting(), stateRejectionLimit());
                for (int request = 0; request < slots / 2; ++request)
                    core.getUpstreams().noteStarted(limiting, 0);
                for (std::int64_t elapsed = 0; elapsed < 3'000; elapsed += 100)
                    CPPUNIT_ASSERT(!isPlaced(core, start + Milliseconds(elapsed), query));
                core.getUpstreams().noteEnded(limiting);
                CPPUNIT_ASSERT(isPlaced(core, start + Milliseconds(3'000), query));
            }
        }
    }

    void testVmThatHasJustStartedTakesNoShare()
    {
        GatewayCore core(makeSettings(), "key", 1);
        core.tick(start);
        core.getUpstreams().put(start, makeLimiting());
        core.noteStatement(start, makeLimiting(), stateRejectionLimit());
        CPPUNIT_ASSERT(!isPlaced(core, start + discoveryTime - Milliseconds(1)));
        CPPUNIT_ASSERT(isPlaced(core, start + discoveryTime));
    }

    void testVmsLearnTheLimitAndItsEndFromEachOther()
    {
        DigestFleet fleet({ "north" }, 32);
        this->putLimiting(fleet);
        fleet.runUntil(fleet.now + 3 * DigestFleet::interval);
        fleet.at("north-7").noteStatement(Milliseconds(fleet.now), makeLimiting(), stateRejectionLimit());
        fleet.runUntil(fleet.now + 4 * DigestFleet::interval);
        for (const auto& [vm, core] : fleet.cores)
            CPPUNIT_ASSERT(std::optional<double>(4) == core->getUpstreams().find(limiting)->rejectionLimit);
        fleet.at("north-9").noteStatement(Milliseconds(fleet.now), makeLimiting(), UpstreamStatement {});
        fleet.runUntil(fleet.now + 4 * DigestFleet::interval);
        for (const auto& [vm, core] : fleet.cores)
            CPPUNIT_ASSERT(!core->getUpstreams().find(limiting)->rejectionLimit);
    }

    void testOldStatementOfAnotherVmIsIgnored()
    {
        UpstreamTable table;
        table.put(start, makeLimiting());
        const Milliseconds statedAt = start + Milliseconds(1'000);
        table.noteStatement(statedAt, makeLimiting(), stateRejectionLimit());
        SharedStatement ended { limiting, 1, std::nullopt, false, Milliseconds(0) };
        table.noteStatement(statedAt + Milliseconds(500), ended);
        CPPUNIT_ASSERT(table.find(limiting)->rejectionLimit);
        ended.rejectionLimitAge = Milliseconds(900);
        table.noteStatement(statedAt + Milliseconds(500), ended);
        CPPUNIT_ASSERT(table.find(limiting)->rejectionLimit);
        ended.rejectionLimitAge = Milliseconds(100);
        table.noteStatement(statedAt + Milliseconds(500), ended);
        CPPUNIT_ASSERT(!table.find(limiting)->rejectionLimit);
    }

    void testRejectionKeepsRequestsAwayForAWhile()
    {
        for (const bool limitsRejections : { false, true }) {
            GatewayCore core(makeSettings(), "key", 1);
            core.tick(start - discoveryTime);
            core.getUpstreams().put(start, makeLimiting());
            core.noteStatement(start, makeLimiting(), limitsRejections ? stateRejectionLimit() : UpstreamStatement {});
            core.getUpstreams().noteRejection(start, limiting);
            CPPUNIT_ASSERT_EQUAL(!limitsRejections, isPlaced(core, start));
            CPPUNIT_ASSERT_EQUAL(!limitsRejections, isPlaced(core, start + Milliseconds(999)));
            CPPUNIT_ASSERT(isPlaced(core, start + Milliseconds(1'000)));
        }
    }

    void testRestartedUpstreamKeepsItsLimitUntilItAnswers()
    {
        UpstreamTable table;
        table.put(start, makeLimiting());
        table.noteStatement(start, makeLimiting(), stateRejectionLimit());
        table.put(start, makeLimiting(2));
        CPPUNIT_ASSERT(table.find(limiting)->rejectionLimit);
        table.noteStatement(start, makeLimiting(2), UpstreamStatement {});
        CPPUNIT_ASSERT(!table.find(limiting)->rejectionLimit);
    }

private:
    void putLimiting(DigestFleet& fleet)
    {
        for (const auto& [vm, core] : fleet.cores)
            core->getUpstreams().put(Milliseconds(fleet.now), makeLimiting());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RejectionLimitTest);

} // namespace papayashelf
