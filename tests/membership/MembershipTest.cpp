#include "foundation/hashing/StableHash.h"
#include "membership/MembershipNode.h"

#include <cppunit/extensions/HelperMacros.h>

namespace papayashelf {

class MembershipTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(MembershipTest);
    CPPUNIT_TEST(testAllVmsLearnAllMembers);
    CPPUNIT_TEST(testColdStartOfManyVmsConverges);
    CPPUNIT_TEST(testNewVmIsLearnedByAll);
    CPPUNIT_TEST(testCrashIsDetectedByAll);
    CPPUNIT_TEST(testCrashIsDetectedByTheOnlyOtherVm);
    CPPUNIT_TEST(testBrokenLinkCausesNoSuspicion);
    CPPUNIT_TEST(testMessageLossDeclaresNoVmGone);
    CPPUNIT_TEST(testSuspicionOfFormerNeighbourEnds);
    CPPUNIT_TEST(testFalseReportsOfVmWithOneIncomingLinkAreRefuted);
    CPPUNIT_TEST(testVmWithoutIncomingLinksDeclaresNoVmGone);
    CPPUNIT_TEST(testPartitionIsDetectedAndHeals);
    CPPUNIT_TEST(testNewIncarnationReplacesOldOne);
    CPPUNIT_TEST(testPausedVmRejoins);
    CPPUNIT_TEST(testLeavingVmIsGoneOnlyAfterDeparting);
    CPPUNIT_TEST(testGoneVmIsForgottenOnceDelisted);
    CPPUNIT_TEST_SUITE_END();

    using Cluster = VirtualCluster<MembershipNode>;

    static void start(Cluster& cluster, const Member& member, const std::vector<Member>& known)
    {
        auto node = std::make_unique<MembershipNode>(member, stableSeed(member));
        node->membership.handleVmList(cluster.now(), makeVmList(known), known);
        cluster.add(member.vm, member.region, std::move(node));
    }

    static std::uint64_t stableSeed(const Member& member) { return stableHash(member.vm.string(), member.incarnation); }

    static void startAll(Cluster& cluster, const std::vector<Member>& members)
    {
        for (const Member& member : members)
            start(cluster, member, members);
    }

    static std::size_t countAt(Cluster& cluster, const VmId& vm, MemberState state)
    {
        const auto& members = cluster.at(vm).membership.getMembers();
        return static_cast<std::size_t>(std::count_if(
            members.begin(), members.end(), [&](const auto& entry) { return entry.second.state == state; }));
    }

    static bool allSeeLive(Cluster& cluster, std::size_t live)
    {
        for (const auto& [vm, node] : cluster.getNodes()) {
            if (countAt(cluster, vm, MemberState::Live) != live)
                return false;
        }
        return true;
    }

    static std::int64_t countAllChangesTo(Cluster& cluster, MemberState state)
    {
        std::int64_t count = 0;
        for (const auto& [vm, node] : cluster.getNodes()) {
            count += std::count_if(node->changes.begin(), node->changes.end(),
                [&](const MemberChange& change) { return change.after.state == state; });
        }
        return count;
    }

    static Milliseconds seconds(std::int64_t count) { return Milliseconds::fromSeconds(count); }

    /** Starts the VMs, runs until every VM sees all as Live, and discards the changes recorded so far. */
    static void startAndConverge(Cluster& cluster, const std::vector<Member>& members)
    {
        startAll(cluster, members);
        CPPUNIT_ASSERT(cluster.runUntil([&] { return allSeeLive(cluster, members.size()); }, seconds(30)));
        cluster.runFor(seconds(5));
        for (const auto& [vm, node] : cluster.getNodes())
            node->changes.clear();
    }

    void testAllVmsLearnAllMembers()
    {
        Cluster cluster(1);
        const auto members = makeMembers(8);
        startAll(cluster, members);
        CPPUNIT_ASSERT(cluster.runUntil([&] { return allSeeLive(cluster, 8); }, seconds(5)));
        for (const auto& [vm, node] : cluster.getNodes())
            CPPUNIT_ASSERT(node->membership.getNeighbours().size() <= maximumNeighbours);
    }

    void testColdStartOfManyVmsConverges()
    {
        Cluster cluster(2);
        const auto members = makeMembers(320);
        startAll(cluster, members);
        CPPUNIT_ASSERT(cluster.runUntil([&] { return allSeeLive(cluster, 320); }, seconds(20)));
        for (const auto& [vm, node] : cluster.getNodes())
            CPPUNIT_ASSERT(node->membership.getNeighbours().size() <= maximumNeighbours);
    }

    void testNewVmIsLearnedByAll()
    {
        Cluster cluster(3);
        auto members = makeMembers(41);
        const Member newMember = members.back();
        members.pop_back();
        startAndConverge(cluster, members);
        start(cluster, newMember, members);
        CPPUNIT_ASSERT(cluster.runUntil([&] { return allSeeLive(cluster, 41); }, seconds(3)));
    }

    void testCrashIsDetectedByAll()
    {
        Cluster cluster(4);
        const auto members = makeMembers(40);
        startAndConverge(cluster, members);
        cluster.crash(members[7].vm);
        CPPUNIT_ASSERT(cluster.runUntil([&] { return allSeeLive(cluster, 39); }, seconds(15)));
        cluster.runFor(seconds(60));
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 39 }, countAllChangesTo(cluster, MemberState::Gone));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, countAt(cluster, members[0].vm, MemberState::Gone));
    }

    // Without a third VM that could confirm the silence, the surviving VM must decide alone.
    void testCrashIsDetectedByTheOnlyOtherVm()
    {
        Cluster cluster(5);
        const auto members = makeMembers(2);
        startAndConverge(cluster, members);
        cluster.crash(members[1].vm);
        const VmId survivor = members[0].vm;
        CPPUNIT_ASSERT(
            cluster.runUntil([&] { return countAt(cluster, survivor, MemberState::Gone) == 1; }, seconds(15)));
    }

    // Two neighbours that lose only their common link must learn from others that both are running.
    void testBrokenLinkCausesNoSuspicion()
    {
        Cluster cluster(6);
        const auto members = makeMembers(20);
        startAndConverge(cluster, members);
        const VmId one = members[0].vm;
        const VmId other = cluster.at(one).membership.getNeighbours().front();
        cluster.setBrokenLinks([&](const VmId& from, const VmId& to) {
            return (from == one && to == other) || (from == other && to == one);
        });
        cluster.runFor(seconds(300));
        CPPUNIT_ASSERT(allSeeLive(cluster, 20));
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 0 }, countAllChangesTo(cluster, MemberState::Gone));
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 0 }, countAllChangesTo(cluster, MemberState::Suspect));
    }

    void testMessageLossDeclaresNoVmGone()
    {
        Cluster cluster(7);
        const auto members = makeMembers(80);
        startAndConverge(cluster, members);
        cluster.setLossProbability(0.2);
        cluster.runFor(seconds(120));
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 0 }, countAllChangesTo(cluster, MemberState::Gone));
    }

    // A VM that suspects a neighbour and then ceases to be its neighbour receives no more heartbeats from it, and must
    // not keep the suspicion forever.
    void testSuspicionOfFormerNeighbourEnds()
    {
        Cluster cluster(14);
        auto members = makeMembers(40);
        const std::vector<Member> newMembers(members.begin() + 6, members.end());
        members.resize(6);
        startAndConverge(cluster, members);
        const VmId silent = members[0].vm;
        cluster.setBrokenLinks([&](const VmId& from, const VmId&) { return from == silent; });
        const auto isSuspected = [&] { return countAllChangesTo(cluster, MemberState::Suspect) >= 2; };
        CPPUNIT_ASSERT(cluster.runUntil(isSuspected, seconds(10)));
        // New VMs replace most of its neighbours before any VM declares it Gone.
        cluster.setBrokenLinks({});
        for (const Member& member : newMembers)
            start(cluster, member, members);
        CPPUNIT_ASSERT(cluster.runUntil([&] { return allSeeLive(cluster, 40); }, seconds(20)));
    }

    // A VM that receives messages from only one other VM reports the rest as Gone. They must refute the reports before
    // any VM accepts them.
    void testFalseReportsOfVmWithOneIncomingLinkAreRefuted()
    {
        Cluster cluster(8);
        const auto members = makeMembers(20);
        startAndConverge(cluster, members);
        const VmId isolatedVm = members[3].vm;
        const VmId onlySender = cluster.at(isolatedVm).membership.getNeighbours().front();
        cluster.setBrokenLinks(
            [&](const VmId& from, const VmId& to) { return to == isolatedVm && from != onlySender; });
        cluster.runFor(seconds(60));
        for (const auto& [vm, node] : cluster.getNodes()) {
            if (vm == isolatedVm)
                continue;
            for (const Member& member : members)
                CPPUNIT_ASSERT_EQUAL(std::int64_t { 0 }, node->countChangesTo(MemberState::Gone, member.vm));
        }
    }

    // A VM that receives no messages suspects all its neighbours, but must declare none Gone.
    void testVmWithoutIncomingLinksDeclaresNoVmGone()
    {
        Cluster cluster(15);
        const auto members = makeMembers(20);
        startAndConverge(cluster, members);
        const VmId isolatedVm = members[3].vm;
        cluster.setBrokenLinks([&](const VmId&, const VmId& to) { return to == isolatedVm; });
        cluster.runFor(seconds(60));
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 0 }, countAllChangesTo(cluster, MemberState::Gone));
        CPPUNIT_ASSERT(countAt(cluster, isolatedVm, MemberState::Suspect) > 0);
        cluster.setBrokenLinks({});
        CPPUNIT_ASSERT(cluster.runUntil([&] { return allSeeLive(cluster, 20); }, seconds(5)));
    }

    void testPartitionIsDetectedAndHeals()
    {
        Cluster cluster(9);
        const auto members = makeMembers(60);
        startAndConverge(cluster, members);
        const RegionId isolatedRegion("verapaz");
        std::size_t isolatedMemberCount = 0;
        for (const Member& member : members)
            isolatedMemberCount += member.region == isolatedRegion ? 1 : 0;
        cluster.setBrokenLinks([&](const VmId& from, const VmId& to) {
            return (cluster.regionOf(from) == isolatedRegion) != (cluster.regionOf(to) == isolatedRegion);
        });
        const auto isPartitionDetected = [&] {
            for (const Member& member : members) {
                const std::size_t own
                    = member.region == isolatedRegion ? isolatedMemberCount : members.size() - isolatedMemberCount;
                if (countAt(cluster, member.vm, MemberState::Live) != own)
                    return false;
            }
            return true;
        };
        CPPUNIT_ASSERT(cluster.runUntil(isPartitionDetected, seconds(120)));
        for (const auto& [vm, node] : cluster.getNodes())
            node->changes.clear();
        cluster.setBrokenLinks({});
        CPPUNIT_ASSERT(cluster.runUntil([&] { return allSeeLive(cluster, 60); }, seconds(30)));
        cluster.runFor(seconds(30));
        CPPUNIT_ASSERT(allSeeLive(cluster, 60));
        // Neither half has accepted the Gone reports of the other half.
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 0 }, countAllChangesTo(cluster, MemberState::Gone));
    }

    void testNewIncarnationReplacesOldOne()
    {
        Cluster cluster(10);
        const auto members = makeMembers(20);
        startAndConverge(cluster, members);
        Member restarted = members[5];
        restarted.incarnation = 2;
        restarted.peerEndpoint.port = 7001;
        auto oldNode = std::move(cluster.getNodes().at(restarted.vm));
        cluster.crash(restarted.vm);
        start(cluster, restarted, members);
        const auto isKnown = [&] {
            return std::all_of(members.begin(), members.end(), [&](const Member& member) {
                return cluster.at(member.vm).membership.findPeerEndpoint(restarted.vm)->port == 7001;
            });
        };
        CPPUNIT_ASSERT(cluster.runUntil(isKnown, seconds(3)));
        // The old process resumes: its heartbeat is ignored, and the answer informs it that it is replaced.
        const VmId neighbour = cluster.at(restarted.vm).membership.getNeighbours().front();
        Heartbeat staleHeartbeat;
        staleHeartbeat.vm = restarted.vm;
        staleHeartbeat.incarnation = 1;
        const auto answer
            = cluster.at(neighbour).membership.handleHeartbeat(cluster.now(), staleHeartbeat, restarted.vm);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, answer.sends.size());
        oldNode->receive(cluster.now(), neighbour, answer.sends.front().message);
        CPPUNIT_ASSERT(oldNode->membership.isReplaced());
        CPPUNIT_ASSERT(!cluster.at(restarted.vm).membership.isReplaced());
    }

    void testPausedVmRejoins()
    {
        Cluster cluster(11);
        const auto members = makeMembers(20);
        startAndConverge(cluster, members);
        const VmId paused = members[4].vm;
        cluster.pause(paused);
        cluster.runFor(seconds(40));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 19 }, countAt(cluster, members[0].vm, MemberState::Live));
        cluster.resume(paused);
        CPPUNIT_ASSERT(cluster.runUntil([&] { return allSeeLive(cluster, 20); }, seconds(10)));
        cluster.runFor(seconds(20));
        CPPUNIT_ASSERT(allSeeLive(cluster, 20));
        // The resumed VM has suspected no other VM because of its own pause.
        for (const Member& member : members)
            CPPUNIT_ASSERT_EQUAL(
                std::int64_t { 0 }, cluster.at(paused).countChangesTo(MemberState::Suspect, member.vm));
    }

    void testLeavingVmIsGoneOnlyAfterDeparting()
    {
        Cluster cluster(12);
        const auto members = makeMembers(20);
        startAndConverge(cluster, members);
        const VmId leavingVm = members[2].vm;
        cluster.send(
            leavingVm, cluster.at(leavingVm).recordChanges(cluster.at(leavingVm).membership.leave(cluster.now())));
        cluster.runFor(seconds(1));
        for (const Member& member : members)
            CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, countAt(cluster, member.vm, MemberState::Leaving));
        cluster.runFor(seconds(60));
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 0 }, countAllChangesTo(cluster, MemberState::Gone));
        cluster.send(
            leavingVm, cluster.at(leavingVm).recordChanges(cluster.at(leavingVm).membership.depart(cluster.now())));
        cluster.crash(leavingVm);
        cluster.runFor(seconds(3));
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 19 }, countAllChangesTo(cluster, MemberState::Gone));
    }

    void testGoneVmIsForgottenOnceDelisted()
    {
        Cluster cluster(13);
        auto members = makeMembers(6);
        startAndConverge(cluster, members);
        const VmId crashed = members.back().vm;
        cluster.crash(crashed);
        cluster.runFor(seconds(700));
        Membership& membership = cluster.at(members[0].vm).membership;
        CPPUNIT_ASSERT(membership.getMembers().count(crashed) == 1);
        members.pop_back();
        membership.handleVmList(cluster.now(), makeVmList(members), members);
        CPPUNIT_ASSERT(membership.getMembers().count(crashed) == 0);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MembershipTest);

} // namespace papayashelf
