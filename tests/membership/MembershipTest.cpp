#include "foundation/hashing/StableHash.h"
#include "membership/MembershipNode.h"

#include <cppunit/extensions/HelperMacros.h>

namespace papayashelf {

class MembershipTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(MembershipTest);
    CPPUNIT_TEST(testEveryoneLearnsOfEveryone);
    CPPUNIT_TEST(testColdStartOfManyVms);
    CPPUNIT_TEST(testNewcomerIsLearnedByAll);
    CPPUNIT_TEST(testCrashIsNoticedByAll);
    CPPUNIT_TEST(testTheOtherOfTwoCrashes);
    CPPUNIT_TEST(testBadLinkChangesNothing);
    CPPUNIT_TEST(testLossChangesNothing);
    CPPUNIT_TEST(testSuspicionEndsWithTheLink);
    CPPUNIT_TEST(testDeafVmCondemnsNobody);
    CPPUNIT_TEST(testVmThatHearsNobodyReportsNobody);
    CPPUNIT_TEST(testHalvesPartAndJoinAgain);
    CPPUNIT_TEST(testNewLifeReplacesTheOldAtOnce);
    CPPUNIT_TEST(testPausedVmComesBack);
    CPPUNIT_TEST(testLeavingThenDeparting);
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

    static bool allSee(Cluster& cluster, std::size_t live)
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

    /** Starts the VMs and runs until all see all, then drops the changes so far. */
    static void settle(Cluster& cluster, const std::vector<Member>& members)
    {
        startAll(cluster, members);
        CPPUNIT_ASSERT(cluster.runUntil([&] { return allSee(cluster, members.size()); }, seconds(30)));
        cluster.runFor(seconds(5));
        for (const auto& [vm, node] : cluster.getNodes())
            node->changes.clear();
    }

    void testEveryoneLearnsOfEveryone()
    {
        Cluster cluster(1);
        const auto members = makeMembers(8);
        startAll(cluster, members);
        CPPUNIT_ASSERT(cluster.runUntil([&] { return allSee(cluster, 8); }, seconds(5)));
        for (const auto& [vm, node] : cluster.getNodes())
            CPPUNIT_ASSERT(node->membership.getNeighbours().size() <= maximumNeighbours);
    }

    void testColdStartOfManyVms()
    {
        Cluster cluster(2);
        const auto members = makeMembers(320);
        startAll(cluster, members);
        CPPUNIT_ASSERT(cluster.runUntil([&] { return allSee(cluster, 320); }, seconds(20)));
        for (const auto& [vm, node] : cluster.getNodes())
            CPPUNIT_ASSERT(node->membership.getNeighbours().size() <= maximumNeighbours);
    }

    void testNewcomerIsLearnedByAll()
    {
        Cluster cluster(3);
        auto members = makeMembers(41);
        const Member newcomer = members.back();
        members.pop_back();
        settle(cluster, members);
        start(cluster, newcomer, members);
        CPPUNIT_ASSERT(cluster.runUntil([&] { return allSee(cluster, 41); }, seconds(3)));
    }

    void testCrashIsNoticedByAll()
    {
        Cluster cluster(4);
        const auto members = makeMembers(40);
        settle(cluster, members);
        cluster.crash(members[7].vm);
        CPPUNIT_ASSERT(cluster.runUntil([&] { return allSee(cluster, 39); }, seconds(15)));
        cluster.runFor(seconds(60));
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 39 }, countAllChangesTo(cluster, MemberState::Gone));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, countAt(cluster, members[0].vm, MemberState::Gone));
    }

    void testTheOtherOfTwoCrashes()
    {
        Cluster cluster(5);
        const auto members = makeMembers(2);
        settle(cluster, members);
        cluster.crash(members[1].vm);
        const VmId left = members[0].vm;
        CPPUNIT_ASSERT(cluster.runUntil([&] { return countAt(cluster, left, MemberState::Gone) == 1; }, seconds(15)));
    }

    void testBadLinkChangesNothing()
    {
        Cluster cluster(6);
        const auto members = makeMembers(20);
        settle(cluster, members);
        const VmId one = members[0].vm;
        const VmId other = cluster.at(one).membership.getNeighbours().front();
        cluster.setBrokenLinks([&](const VmId& from, const VmId& to) {
            return (from == one && to == other) || (from == other && to == one);
        });
        cluster.runFor(seconds(300));
        CPPUNIT_ASSERT(allSee(cluster, 20));
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 0 }, countAllChangesTo(cluster, MemberState::Gone));
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 0 }, countAllChangesTo(cluster, MemberState::Suspect));
    }

    void testLossChangesNothing()
    {
        Cluster cluster(7);
        const auto members = makeMembers(80);
        settle(cluster, members);
        cluster.setLossProbability(0.2);
        cluster.runFor(seconds(120));
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 0 }, countAllChangesTo(cluster, MemberState::Gone));
    }

    void testSuspicionEndsWithTheLink()
    {
        Cluster cluster(14);
        auto members = makeMembers(40);
        const std::vector<Member> later(members.begin() + 6, members.end());
        members.resize(6);
        settle(cluster, members);
        const VmId silent = members[0].vm;
        cluster.setBrokenLinks([&](const VmId& from, const VmId&) { return from == silent; });
        const auto isSuspected = [&] { return countAllChangesTo(cluster, MemberState::Suspect) >= 2; };
        CPPUNIT_ASSERT(cluster.runUntil(isSuspected, seconds(10)));
        // Newcomers take the places of most of its neighbours before anybody comes to a verdict.
        cluster.setBrokenLinks({});
        for (const Member& member : later)
            start(cluster, member, members);
        CPPUNIT_ASSERT(cluster.runUntil([&] { return allSee(cluster, 40); }, seconds(20)));
    }

    void testDeafVmCondemnsNobody()
    {
        Cluster cluster(8);
        const auto members = makeMembers(20);
        settle(cluster, members);
        const VmId deaf = members[3].vm;
        // It hears one VM only, which is nobody's business but its own.
        const VmId heard = cluster.at(deaf).membership.getNeighbours().front();
        cluster.setBrokenLinks([&](const VmId& from, const VmId& to) { return to == deaf && from != heard; });
        cluster.runFor(seconds(60));
        for (const auto& [vm, node] : cluster.getNodes()) {
            if (vm == deaf)
                continue;
            for (const Member& member : members)
                CPPUNIT_ASSERT_EQUAL(std::int64_t { 0 }, node->countChangesTo(MemberState::Gone, member.vm));
        }
    }

    void testVmThatHearsNobodyReportsNobody()
    {
        Cluster cluster(15);
        const auto members = makeMembers(20);
        settle(cluster, members);
        const VmId deaf = members[3].vm;
        cluster.setBrokenLinks([&](const VmId&, const VmId& to) { return to == deaf; });
        cluster.runFor(seconds(60));
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 0 }, countAllChangesTo(cluster, MemberState::Gone));
        CPPUNIT_ASSERT(countAt(cluster, deaf, MemberState::Suspect) > 0);
        cluster.setBrokenLinks({});
        CPPUNIT_ASSERT(cluster.runUntil([&] { return allSee(cluster, 20); }, seconds(5)));
    }

    void testHalvesPartAndJoinAgain()
    {
        Cluster cluster(9);
        const auto members = makeMembers(60);
        settle(cluster, members);
        const RegionId cutOff("verapaz");
        std::size_t inside = 0;
        for (const Member& member : members)
            inside += member.region == cutOff ? 1 : 0;
        cluster.setBrokenLinks([&](const VmId& from, const VmId& to) {
            return (cluster.regionOf(from) == cutOff) != (cluster.regionOf(to) == cutOff);
        });
        const auto isParted = [&] {
            for (const Member& member : members) {
                const std::size_t own = member.region == cutOff ? inside : members.size() - inside;
                if (countAt(cluster, member.vm, MemberState::Live) != own)
                    return false;
            }
            return true;
        };
        CPPUNIT_ASSERT(cluster.runUntil(isParted, seconds(120)));
        for (const auto& [vm, node] : cluster.getNodes())
            node->changes.clear();
        cluster.setBrokenLinks({});
        CPPUNIT_ASSERT(cluster.runUntil([&] { return allSee(cluster, 60); }, seconds(30)));
        cluster.runFor(seconds(30));
        CPPUNIT_ASSERT(allSee(cluster, 60));
        // Nobody in either half believed what the other half had concluded.
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 0 }, countAllChangesTo(cluster, MemberState::Gone));
    }

    void testNewLifeReplacesTheOldAtOnce()
    {
        Cluster cluster(10);
        const auto members = makeMembers(20);
        settle(cluster, members);
        Member reborn = members[5];
        reborn.incarnation = 2;
        reborn.peerEndpoint.port = 7001;
        auto old = std::move(cluster.getNodes().at(reborn.vm));
        cluster.crash(reborn.vm);
        start(cluster, reborn, members);
        const auto isKnown = [&] {
            return std::all_of(members.begin(), members.end(), [&](const Member& member) {
                return cluster.at(member.vm).membership.findPeerEndpoint(reborn.vm)->port == 7001;
            });
        };
        CPPUNIT_ASSERT(cluster.runUntil(isKnown, seconds(3)));
        // The old process wakes: what it says counts for nothing, and it is told.
        const VmId neighbour = cluster.at(reborn.vm).membership.getNeighbours().front();
        Heartbeat late;
        late.vm = reborn.vm;
        late.incarnation = 1;
        const auto answer = cluster.at(neighbour).membership.handleHeartbeat(cluster.now(), late, reborn.vm);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, answer.sends.size());
        old->receive(cluster.now(), neighbour, answer.sends.front().message);
        CPPUNIT_ASSERT(old->membership.isReplaced());
        CPPUNIT_ASSERT(!cluster.at(reborn.vm).membership.isReplaced());
    }

    void testPausedVmComesBack()
    {
        Cluster cluster(11);
        const auto members = makeMembers(20);
        settle(cluster, members);
        const VmId paused = members[4].vm;
        cluster.pause(paused);
        cluster.runFor(seconds(40));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 19 }, countAt(cluster, members[0].vm, MemberState::Live));
        cluster.resume(paused);
        CPPUNIT_ASSERT(cluster.runUntil([&] { return allSee(cluster, 20); }, seconds(10)));
        cluster.runFor(seconds(20));
        CPPUNIT_ASSERT(allSee(cluster, 20));
        // Waking up, it blamed none of the others.
        for (const Member& member : members)
            CPPUNIT_ASSERT_EQUAL(
                std::int64_t { 0 }, cluster.at(paused).countChangesTo(MemberState::Suspect, member.vm));
    }

    void testLeavingThenDeparting()
    {
        Cluster cluster(12);
        const auto members = makeMembers(20);
        settle(cluster, members);
        const VmId leaver = members[2].vm;
        cluster.send(leaver, cluster.at(leaver).take(cluster.at(leaver).membership.leave(cluster.now())));
        cluster.runFor(seconds(1));
        for (const Member& member : members)
            CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, countAt(cluster, member.vm, MemberState::Leaving));
        cluster.runFor(seconds(60));
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 0 }, countAllChangesTo(cluster, MemberState::Gone));
        cluster.send(leaver, cluster.at(leaver).take(cluster.at(leaver).membership.depart(cluster.now())));
        cluster.crash(leaver);
        cluster.runFor(seconds(3));
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 19 }, countAllChangesTo(cluster, MemberState::Gone));
    }

    void testGoneVmIsForgottenOnceDelisted()
    {
        Cluster cluster(13);
        auto members = makeMembers(6);
        settle(cluster, members);
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
