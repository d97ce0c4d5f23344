#include "gateway/DigestFleet.h"

#include <cppunit/extensions/HelperMacros.h>

namespace papayashelf {

using namespace gatewayfixture;

namespace {

const ServiceId engine("engine");
const UpstreamId restarting("engine-0");
constexpr double coldRequestsPerSecond = 3;
constexpr Milliseconds coldDuration { 3'000 };
constexpr std::size_t allowedWhileCold = 7; // 1.5 times as many requests per second, and 3.
constexpr std::int64_t betweenRounds = 100;

UpstreamRecord makeRestarting(std::int64_t startedAt = 1)
{
    UpstreamRecord record = makeUpstream(restarting.string(), "north");
    record.startedAt = startedAt;
    return record;
}

} // namespace

/** An upstream's process ends and starts again under its id, and VMs learn of it at different times. */
class RestartedUpstreamFleetTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(RestartedUpstreamFleetTest);
    CPPUNIT_TEST(testAllVmsTogetherSendARestartedUpstreamFewRequests);
    CPPUNIT_TEST(testRestartedUpstreamIsUsedByAllOnceItIsWarm);
    CPPUNIT_TEST(testVmThatStartsLearnsOfTheEnd);
    CPPUNIT_TEST(testEndIsRefutedByAnswersOverEarlierConnections);
    CPPUNIT_TEST(testFalseEndIsForgottenByAllVms);
    CPPUNIT_TEST(testEndThatIsHeardAgainLaterIsNoLaterEnd);
    CPPUNIT_TEST(testVmThatHasNotReadALaterStartLearnsItFromOthers);
    CPPUNIT_TEST(testStatementOfAnEndDoesNotEndALimit);
    CPPUNIT_TEST(testEndBeforeTheStartOfThisVm);
    CPPUNIT_TEST(testLaterStartInTheListReplacesWhatWasPresumed);
    CPPUNIT_TEST(testEntryOfTheEndedProcessDoesNotMakeItWarm);
    CPPUNIT_TEST(testEndOfAnEarlierProcessDoesNotConcernTheNext);
    CPPUNIT_TEST(testPlainServiceIsUsedAtOnce);
    CPPUNIT_TEST_SUITE_END();

public:
    // Only one VM has noticed the end. The upstream is back a second later; the list tells nobody.
    void testAllVmsTogetherSendARestartedUpstreamFewRequests()
    {
        for (const int vms : { 2, 8, 64 }) {
            DigestFleet fleet = this->makeFleet(vms);
            fleet.at("north-1").noteProcessEnded(Milliseconds(fleet.now), makeRestarting());
            fleet.runUntil(fleet.now + 2 * DigestFleet::interval);
            std::deque<std::int64_t> sent;
            std::size_t total = 0;
            for (const std::int64_t end = fleet.now + coldDuration.count(); fleet.now < end;) {
                for (std::int64_t at = fleet.now; at < fleet.now + DigestFleet::interval; at += betweenRounds) {
                    while (!sent.empty() && sent.front() <= at - 1'000)
                        sent.pop_front();
                    for (const auto& [vm, core] : fleet.cores) {
                        if (this->trySend(*core, Milliseconds(at))) {
                            sent.push_back(at);
                            ++total;
                        }
                    }
                    CPPUNIT_ASSERT(sent.size() <= allowedWhileCold);
                }
                fleet.runUntil(fleet.now + DigestFleet::interval);
            }
            CPPUNIT_ASSERT(total > 0);
        }
    }

    void testRestartedUpstreamIsUsedByAllOnceItIsWarm()
    {
        DigestFleet fleet = this->makeFleet(16);
        fleet.at("north-1").noteProcessEnded(Milliseconds(fleet.now), makeRestarting());
        fleet.runUntil(fleet.now + 4 * DigestFleet::interval);
        for (const auto& [vm, core] : fleet.cores) {
            if (this->trySend(*core, Milliseconds(fleet.now)))
                this->answer(*core, Milliseconds(fleet.now), Milliseconds(5));
        }
        fleet.runUntil(fleet.now + coldDuration.count() + 2 * DigestFleet::interval);
        for (const auto& [vm, core] : fleet.cores)
            CPPUNIT_ASSERT_MESSAGE(vm.string(), this->trySend(*core, Milliseconds(fleet.now)));
    }

    void testVmThatStartsLearnsOfTheEnd()
    {
        DigestFleet fleet = this->makeFleet(4);
        fleet.at("north-1").noteProcessEnded(Milliseconds(fleet.now), makeRestarting());
        fleet.runUntil(fleet.now + 4 * DigestFleet::interval);
        GatewayCore& started = fleet.at("north-3");
        started.getUpstreams().remove(restarting, Milliseconds(fleet.now));
        started.getUpstreams().expire(Milliseconds(fleet.now));
        started.getUpstreams().put(Milliseconds(fleet.now), makeRestarting());
        CPPUNIT_ASSERT(!started.getUpstreams().find(restarting)->hasEnded());
        fleet.runUntil(fleet.now + 2 * DigestFleet::interval);
        CPPUNIT_ASSERT(started.getUpstreams().find(restarting)->hasEnded());
    }

    // A VM that cannot reach the upstream is wrong about it.
    void testEndIsRefutedByAnswersOverEarlierConnections()
    {
        DigestFleet fleet = this->makeFleet(2);
        this->answer(fleet.at("north-0"), Milliseconds(fleet.now), Milliseconds(500));
        fleet.at("north-1").noteProcessEnded(Milliseconds(fleet.now + 10), makeRestarting());
        this->answer(fleet.at("north-0"), Milliseconds(fleet.now + 400), Milliseconds(900));
        fleet.runUntil(fleet.now + 3 * DigestFleet::interval);
        CPPUNIT_ASSERT(!fleet.at("north-0").getUpstreams().find(restarting)->isCold(Milliseconds(fleet.now)));
        this->answer(fleet.at("north-1"), Milliseconds(fleet.now), Milliseconds(2'000));
        CPPUNIT_ASSERT(!fleet.at("north-1").getUpstreams().find(restarting)->isCold(Milliseconds(fleet.now)));
    }

    // Those that are not chosen to use a cold upstream get no answer that could show them their error.
    void testFalseEndIsForgottenByAllVms()
    {
        DigestFleet fleet = this->makeFleet(8);
        fleet.at("north-1").noteProcessEnded(Milliseconds(fleet.now), makeRestarting());
        const std::int64_t connectedAt = fleet.now - 1'000;
        for (int round = 0; round < 20; ++round) {
            fleet.runUntil(fleet.now + DigestFleet::interval);
            for (const auto& [vm, core] : fleet.cores) {
                if (this->trySend(*core, Milliseconds(fleet.now)))
                    this->answer(*core, Milliseconds(fleet.now), Milliseconds(fleet.now - connectedAt));
            }
        }
        for (const auto& [vm, core] : fleet.cores)
            CPPUNIT_ASSERT_MESSAGE(
                vm.string(), !core->getUpstreams().find(restarting)->isCold(Milliseconds(fleet.now)));
    }

    void testEndThatIsHeardAgainLaterIsNoLaterEnd()
    {
        UpstreamTable table;
        const Milliseconds end(20'000);
        table.put(end, makeRestarting());
        table.noteProcessEnded(end, makeRestarting());
        const Milliseconds connectedAt = end + Milliseconds(20);
        table.noteContact(end + Milliseconds(40), makeRestarting(), connectedAt, coldDuration);
        SharedStatement statement { restarting, 1, std::nullopt, false, Milliseconds(0) };
        // Each message takes 10 ms, which its age does not contain.
        for (std::int64_t heard = 1; heard <= 5; ++heard) {
            const Milliseconds now = end + Milliseconds(500 * heard);
            statement.endedFor = now - end - Milliseconds(10 * heard);
            table.noteStatement(now, statement, coldDuration);
            table.noteContact(now, makeRestarting(), connectedAt, coldDuration);
            CPPUNIT_ASSERT(table.find(restarting)->isCold(now));
        }
        CPPUNIT_ASSERT(!table.find(restarting)->isCold(end + Milliseconds(40) + coldDuration));
    }

    void testVmThatHasNotReadALaterStartLearnsItFromOthers()
    {
        DigestFleet fleet = this->makeFleet(8);
        this->answer(fleet.at("north-5"), Milliseconds(fleet.now), Milliseconds(500));
        UpstreamRecord next = makeRestarting(2);
        next.coldFor = coldDuration;
        fleet.at("north-1").getUpstreams().put(Milliseconds(fleet.now), next);
        fleet.runUntil(fleet.now + 2 * DigestFleet::interval);
        this->answer(fleet.at("north-5"), Milliseconds(fleet.now), Milliseconds(2'000));
        for (const auto& [vm, core] : fleet.cores)
            CPPUNIT_ASSERT_MESSAGE(vm.string(), core->getUpstreams().find(restarting)->isCold(Milliseconds(fleet.now)));
    }

    void testStatementOfAnEndDoesNotEndALimit()
    {
        DigestFleet fleet = this->makeFleet(2);
        UpstreamStatement limited;
        limited.requestsPerSecond = 2;
        fleet.at("north-0").noteStatement(Milliseconds(fleet.now), makeRestarting(), limited);
        fleet.now += 6'000;
        fleet.at("north-1").noteProcessEnded(Milliseconds(fleet.now), makeRestarting());
        fleet.runUntil(fleet.now + 2 * DigestFleet::interval);
        CPPUNIT_ASSERT(fleet.at("north-0").getUpstreams().find(restarting)->requestsPerSecond);
    }

    void testEndBeforeTheStartOfThisVm()
    {
        UpstreamTable table;
        const Milliseconds now(2'000);
        table.put(now, makeRestarting());
        SharedStatement statement { restarting, 1, std::nullopt, false, Milliseconds(0) };
        statement.endedFor = Milliseconds(4'000);
        table.noteStatement(now, statement, coldDuration);
        CPPUNIT_ASSERT(table.find(restarting)->isCold(now));
    }

    void testLaterStartInTheListReplacesWhatWasPresumed()
    {
        DigestFleet fleet = this->makeFleet(2);
        GatewayCore& core = fleet.at("north-0");
        core.noteProcessEnded(Milliseconds(fleet.now), makeRestarting());
        UpstreamRecord next = makeRestarting(2);
        next.coldFor = Milliseconds(500);
        core.getUpstreams().put(Milliseconds(fleet.now), next);
        const KnownUpstream* known = core.getUpstreams().find(restarting);
        CPPUNIT_ASSERT(!known->hasEnded() && known->isCold(Milliseconds(fleet.now + 500)));
        CPPUNIT_ASSERT(!known->isCold(Milliseconds(fleet.now + 1'000)));
        fleet.at("north-1").noteProcessEnded(Milliseconds(fleet.now), makeRestarting());
        fleet.runUntil(fleet.now + 3 * DigestFleet::interval);
        CPPUNIT_ASSERT(!known->hasEnded());
    }

    void testEntryOfTheEndedProcessDoesNotMakeItWarm()
    {
        DigestFleet fleet = this->makeFleet(2);
        GatewayCore& core = fleet.at("north-0");
        core.noteProcessEnded(Milliseconds(fleet.now), makeRestarting());
        core.getUpstreams().put(Milliseconds(fleet.now + 10), makeRestarting());
        CPPUNIT_ASSERT(core.getUpstreams().find(restarting)->isCold(Milliseconds(fleet.now + 5'000)));
    }

    void testEndOfAnEarlierProcessDoesNotConcernTheNext()
    {
        DigestFleet fleet = this->makeFleet(2);
        GatewayCore& core = fleet.at("north-0");
        core.getUpstreams().put(Milliseconds(fleet.now), makeRestarting(2));
        CPPUNIT_ASSERT(!core.noteProcessEnded(Milliseconds(fleet.now), makeRestarting(1)));
        CPPUNIT_ASSERT(!core.getUpstreams().find(restarting)->isCold(Milliseconds(fleet.now)));
    }

    void testPlainServiceIsUsedAtOnce()
    {
        DigestFleet fleet = this->makeFleet(2, 0);
        GatewayCore& core = fleet.at("north-0");
        core.noteProcessEnded(Milliseconds(fleet.now), makeRestarting());
        CPPUNIT_ASSERT(this->trySend(core, Milliseconds(fleet.now)));
        CPPUNIT_ASSERT(this->trySend(core, Milliseconds(fleet.now + 1)));
    }

private:
    DigestFleet makeFleet(int vms, double perSecond = coldRequestsPerSecond)
    {
        DigestFleet fleet({ "north" }, vms);
        ServingDocument document = makeDocument(1);
        ServingService service;
        service.id = engine;
        service.coldRequestsPerSecond = perSecond;
        service.coldDuration = coldDuration;
        document.services = { service };
        for (const auto& [vm, core] : fleet.cores) {
            core->applyConfiguration(document);
            core->getUpstreams().put(Milliseconds(fleet.now), makeRestarting());
        }
        fleet.runUntil(fleet.now + 6 * DigestFleet::interval);
        return fleet;
    }

    /** Sends a request if the VM would, which it does as often as it may. */
    bool trySend(GatewayCore& core, Milliseconds now)
    {
        PlacementQuery query;
        query.service = engine;
        const PlacementDecision decision = core.place(now, query, 0);
        const auto* choice = std::get_if<UseUpstream>(&decision);
        if (choice)
            core.getPlacement().noteUse(now, choice->upstream.id);
        return choice != nullptr;
    }

    void answer(GatewayCore& core, Milliseconds now, Milliseconds connectedFor)
    {
        UpstreamStatement statement;
        statement.connectedFor = connectedFor;
        core.noteStatement(now, makeRestarting(), statement);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RestartedUpstreamFleetTest);

} // namespace papayashelf
