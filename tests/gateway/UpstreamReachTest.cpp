#include "gateway/GatewayFixture.h"

#include <cppunit/extensions/HelperMacros.h>

namespace papayashelf {

using namespace gatewayfixture;

namespace {

const Milliseconds start { 10'000 };
const ServingService service;

} // namespace

/** When a VM takes itself for cut off from its upstreams, and where it sends requests then. */
class UpstreamReachTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(UpstreamReachTest);
    CPPUNIT_TEST(testOneUnreachableUpstreamMakesNoCheckDue);
    CPPUNIT_TEST(testSeveralUnreachableUpstreamsMakeACheckDue);
    CPPUNIT_TEST(testBytesOfOpenConnectionsDoNotHideRefusedOnes);
    CPPUNIT_TEST(testSilenceOfAllUpstreamsMakesACheckDue);
    CPPUNIT_TEST(testLinksAreLostOnlyIfNothingIsReached);
    CPPUNIT_TEST(testLinksAreRegainedOnceSeveralUpstreamsAreReached);
    CPPUNIT_TEST(testOneUpstreamThatIsReachedAgainAndAgainEndsTheLoss);
    CPPUNIT_TEST(testConnectionOfARequestDuringACheckShowsThatLinksAreThere);
    CPPUNIT_TEST(testFailuresOfAttemptsFromTheLossSayNothingOfUpstreams);
    CPPUNIT_TEST(testTooFewOtherUpstreamsDecideNothing);
    CPPUNIT_TEST(testRequestIsHandedToAVmOfTheRegionThatReachesUpstreams);
    CPPUNIT_TEST(testHandOverStaysWithinTheHomes);
    CPPUNIT_TEST(testRequestGoesToAnotherRegionIfTheWholeRegionIsCutOff);
    CPPUNIT_TEST(testRequestThatNoVmCanServeIsUnplaceable);
    CPPUNIT_TEST(testRequestIsNotHandedTwiceToTheSameVm);
    CPPUNIT_TEST(testHandOverDoesNotDependOnWhatTheVmTakesForEnded);
    CPPUNIT_TEST(testStatusSaysWhetherUpstreamsAreReached);
    CPPUNIT_TEST(testStatusOfAnEarlierBuildReachesUpstreams);
    CPPUNIT_TEST(testCallersAreSentToCutOffVmsOnlyIfThereAreNoOthers);
    CPPUNIT_TEST(testUncertainEndIsNotTold);
    CPPUNIT_TEST(testRefutedEndLeavesTheUpstreamWarm);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        this->core.emplace(makeSettings(), "key", 1);
        this->core->applyConfiguration(makeDocument(1));
        for (const char* name : { "u-1", "u-2", "u-3", "u-4" })
            this->core->getUpstreams().put(start, makeUpstream(name, "north"));
        this->core->getUpstreams().put(start, makeUpstream("u-south", "south"));
        this->core->tick(start);
    }

    void testOneUnreachableUpstreamMakesNoCheckDue()
    {
        this->reach.noteUnreachable(UpstreamId("u-1"));
        this->reach.noteUnreachable(UpstreamId("u-1"));
        CPPUNIT_ASSERT(!this->reach.isCheckDue(start));
    }

    void testSeveralUnreachableUpstreamsMakeACheckDue()
    {
        this->reach.noteUnreachable(UpstreamId("u-1"));
        this->reach.noteUnreachable(UpstreamId("u-2"));
        CPPUNIT_ASSERT(this->reach.isCheckDue(start));
        this->reach.noteCheckStarted(start);
        CPPUNIT_ASSERT(!this->reach.isCheckDue(start + Milliseconds(100)));
        this->reach.noteCheck(start + Milliseconds(1), 3, 1);
        CPPUNIT_ASSERT(!this->reach.isCheckDue(start + Milliseconds(1000)));
    }

    void testBytesOfOpenConnectionsDoNotHideRefusedOnes()
    {
        this->reach.noteUnreachable(UpstreamId("u-1"));
        this->reach.noteUnreachable(UpstreamId("u-2"));
        this->reach.noteBytes(start);
        CPPUNIT_ASSERT(this->reach.isCheckDue(start));
    }

    void testSilenceOfAllUpstreamsMakesACheckDue()
    {
        this->reach.noteSent(start);
        CPPUNIT_ASSERT(!this->reach.isCheckDue(start + Milliseconds(300)));
        CPPUNIT_ASSERT(this->reach.isCheckDue(start + Milliseconds(1000)));
        this->reach.noteBytes(start + Milliseconds(1000));
        CPPUNIT_ASSERT(!this->reach.isCheckDue(start + Milliseconds(5000)));
    }

    void testLinksAreLostOnlyIfNothingIsReached()
    {
        CPPUNIT_ASSERT(!this->reach.noteCheck(start, 3, 1));
        CPPUNIT_ASSERT(!this->reach.isLost());
        this->reach.noteCheckStarted(start);
        CPPUNIT_ASSERT(this->reach.noteCheck(start, 3, 0));
        CPPUNIT_ASSERT(this->reach.isLost());
    }

    void testLinksAreRegainedOnceSeveralUpstreamsAreReached()
    {
        this->reach.noteCheck(start, 3, 0);
        CPPUNIT_ASSERT(this->reach.isCheckDue(start + Milliseconds(1000)));
        CPPUNIT_ASSERT(!this->reach.noteCheck(start, 3, 1));
        CPPUNIT_ASSERT(this->reach.isLost());
        CPPUNIT_ASSERT(this->reach.noteCheck(start, 3, 2));
        CPPUNIT_ASSERT(!this->reach.isLost());
        this->reach.noteCheckStarted(start + Milliseconds(1));
        this->reach.noteCheck(start + Milliseconds(1), 1, 0);
        CPPUNIT_ASSERT(this->reach.noteCheck(start + Milliseconds(1), 1, 1));
    }

    void testOneUpstreamThatIsReachedAgainAndAgainEndsTheLoss()
    {
        this->reach.noteCheck(start, 3, 0);
        CPPUNIT_ASSERT(!this->reach.noteCheck(start, 3, 1));
        CPPUNIT_ASSERT(!this->reach.noteCheck(start, 3, 0));
        CPPUNIT_ASSERT(!this->reach.noteCheck(start, 3, 1));
        CPPUNIT_ASSERT(this->reach.noteCheck(start, 3, 1));
    }

    void testConnectionOfARequestDuringACheckShowsThatLinksAreThere()
    {
        this->reach.noteCheckStarted(start);
        this->reach.noteConnected(start + Milliseconds(1));
        CPPUNIT_ASSERT(!this->reach.noteCheck(start + Milliseconds(2), 3, 0));
    }

    void testFailuresOfAttemptsFromTheLossSayNothingOfUpstreams()
    {
        CPPUNIT_ASSERT(!this->reach.mayExplainFailure(start));
        this->reach.noteCheck(start, 3, 0);
        CPPUNIT_ASSERT(this->reach.mayExplainFailure(start));
        this->reach.noteCheck(start + Milliseconds(900), 3, 3);
        CPPUNIT_ASSERT(this->reach.mayExplainFailure(start));
        CPPUNIT_ASSERT(!this->reach.mayExplainFailure(start + Milliseconds(900)));
    }

    void testTooFewOtherUpstreamsDecideNothing()
    {
        const UpstreamId lost("u-1");
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), this->core->chooseOtherUpstreams(start, lost).size());
        for (const UpstreamRecord& upstream : this->core->chooseOtherUpstreams(start, lost))
            CPPUNIT_ASSERT(upstream.id != lost && upstream.region == RegionId("north"));
        for (const char* name : { "u-2", "u-3" })
            this->core->noteProbableEnd(start, makeUpstream(name, "north"));
        CPPUNIT_ASSERT(this->core->chooseOtherUpstreams(start, lost).empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), this->core->chooseCheckedUpstreams(start).size());
    }

    void testRequestIsHandedToAVmOfTheRegionThatReachesUpstreams()
    {
        this->addVm("vm-2", "north", false);
        this->addVm("vm-3", "north", true);
        this->addVm("vm-4", "south", true);
        this->loseLinks();
        for (int request = 0; request < 20; ++request)
            CPPUNIT_ASSERT_EQUAL(std::string("vm-3"), this->place({}));
    }

    void testHandOverStaysWithinTheHomes()
    {
        this->addVm("vm-3", "north", true);
        this->addVm("vm-4", "south", true);
        this->loseLinks();
        PlacementQuery query;
        query.homes = { RegionId("south") };
        CPPUNIT_ASSERT_EQUAL(std::string("vm-4"), this->place(query));
    }

    void testRequestGoesToAnotherRegionIfTheWholeRegionIsCutOff()
    {
        this->addVm("vm-2", "north", false);
        this->addVm("vm-4", "south", true);
        this->loseLinks();
        CPPUNIT_ASSERT_EQUAL(std::string("vm-4"), this->place({}));
    }

    void testRequestThatNoVmCanServeIsUnplaceable()
    {
        this->addVm("vm-2", "north", false);
        this->addVm("vm-4", "south", true);
        this->loseLinks();
        PlacementQuery query;
        query.homes = { RegionId("north") };
        CPPUNIT_ASSERT_EQUAL(std::string("none"), this->place(query));
        query.homes = {};
        query.mayRelay = false;
        CPPUNIT_ASSERT_EQUAL(std::string("none"), this->place(query));
    }

    void testRequestIsNotHandedTwiceToTheSameVm()
    {
        this->addVm("vm-3", "north", true);
        this->loseLinks();
        PlacementQuery query;
        query.triedVms = { VmId("vm-3") };
        CPPUNIT_ASSERT_EQUAL(std::string("none"), this->place(query));
    }

    void testHandOverDoesNotDependOnWhatTheVmTakesForEnded()
    {
        this->addVm("vm-3", "north", true);
        for (const char* name : { "u-1", "u-2", "u-3", "u-4" })
            this->core->noteProbableEnd(start, makeUpstream(name, "north"));
        this->loseLinks();
        PlacementQuery query;
        query.version = SoftwareVersion("v1");
        CPPUNIT_ASSERT_EQUAL(std::string("vm-3"), this->place(query));
    }

    void testStatusSaysWhetherUpstreamsAreReached()
    {
        CPPUNIT_ASSERT(this->core->makeStatus(start).reachesUpstreams);
        this->loseLinks();
        VmAnnouncement status = this->core->makeStatus(start);
        CPPUNIT_ASSERT(!status.reachesUpstreams && status.isReady);
        status.callers = status.relays = Endpoint { "127.0.0.1", 1 };
        CPPUNIT_ASSERT(decodeVmAnnouncement(encodeVmAnnouncement(status)).value() == status);
    }

    void testStatusOfAnEarlierBuildReachesUpstreams()
    {
        std::string text = encodeVmAnnouncement(makeVm("vm-2", "north"));
        const std::string field = R"(,"reaches_upstreams":true)";
        text.erase(text.find(field), field.size());
        CPPUNIT_ASSERT(decodeVmAnnouncement(text).value().reachesUpstreams);
    }

    void testCallersAreSentToCutOffVmsOnlyIfThereAreNoOthers()
    {
        VmRegistry vms;
        const auto put = [&](const char* name, const char* region, bool reaches) {
            VmAnnouncement vm = makeVm(name, region);
            vm.reachesUpstreams = reaches;
            vms.put(vm);
            return vm.callers;
        };
        const CallerLocation caller { RegionId("north"), FailureDomainId("north-a"), { RegionId("north") } };
        const Endpoint cutOff = put("vm-2", "north", false);
        put("vm-4", "south", true);
        CPPUNIT_ASSERT(vms.chooseEntries(caller, 8) == std::vector<Endpoint> { cutOff });
        const Endpoint sound = put("vm-3", "north", true);
        CPPUNIT_ASSERT(vms.chooseEntries(caller, 8) == std::vector<Endpoint> { sound });
    }

    void testUncertainEndIsNotTold()
    {
        const RegionId north("north");
        UpstreamTable& upstreams = this->core->getUpstreams();
        this->core->noteProbableEnd(start, makeUpstream("u-1", "north"));
        CPPUNIT_ASSERT(upstreams.find(UpstreamId("u-1"))->isCold(start));
        CPPUNIT_ASSERT(upstreams.getSharedStatements(start, north).empty());
        upstreams.confirmEnd(UpstreamId("u-1"));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), upstreams.getSharedStatements(start, north).size());
    }

    void testRefutedEndLeavesTheUpstreamWarm()
    {
        UpstreamTable& upstreams = this->core->getUpstreams();
        this->core->noteProbableEnd(start, makeUpstream("u-1", "north"));
        upstreams.refuteEnd(UpstreamId("u-1"));
        const KnownUpstream* upstream = upstreams.find(UpstreamId("u-1"));
        CPPUNIT_ASSERT(!upstream->hasEnded() && !upstream->isCold(start) && upstream->isEntryOfProcess());
        this->core->noteProbableEnd(start, makeUpstream("u-1", "north"));
        upstreams.confirmEnd(UpstreamId("u-1"));
        upstreams.refuteEnd(UpstreamId("u-1"));
        CPPUNIT_ASSERT(upstream->hasEnded());
    }

private:
    void addVm(const char* name, const char* region, bool reaches)
    {
        VmAnnouncement vm = makeVm(name, region);
        vm.reachesUpstreams = reaches;
        this->core->putVm(vm);
    }

    void loseLinks() { CPPUNIT_ASSERT(this->core->noteReachCheck(start, 3, 0)); }

    /** Returns the VM that gets the request, the upstream, or "none". */
    std::string place(PlacementQuery query)
    {
        query.service = ServiceId("engine");
        query.promptTokens = 100;
        const PlacementDecision decision = this->core->place(start, query, 2);
        if (const auto* relay = std::get_if<UseRelay>(&decision))
            return relay->vm.string();
        if (const auto* upstream = std::get_if<UseUpstream>(&decision))
            return upstream->upstream.id.string();
        CPPUNIT_ASSERT(std::get<PlacementFailure>(decision).cause == PlacementFailureCause::Unreachable);
        return "none";
    }

    UpstreamReach reach;
    std::optional<GatewayCore> core;
};

CPPUNIT_TEST_SUITE_REGISTRATION(UpstreamReachTest);

} // namespace papayashelf
