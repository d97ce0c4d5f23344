#include "MembershipNode.h"

#include <cppunit/extensions/HelperMacros.h>
#include <set>

namespace papayashelf {

class OverlayTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(OverlayTest);
    CPPUNIT_TEST(testNeighboursAreFewSymmetricAndNear);
    CPPUNIT_TEST(testGoneMembersAreLeftOut);
    CPPUNIT_TEST(testRingsStayConnectedWhenOneDomainFails);
    CPPUNIT_TEST(testStoreWatchersAreLiveAndStable);
    CPPUNIT_TEST_SUITE_END();

    static std::map<VmId, Member> makeTable(int count)
    {
        std::map<VmId, Member> table;
        for (const Member& member : makeMembers(count))
            table[member.vm] = member;
        return table;
    }

    void testNeighboursAreFewSymmetricAndNear()
    {
        const auto table = makeTable(320);
        NeighbourRings rings;
        for (const auto& [vm, member] : table) {
            const auto neighbours = rings.computeNeighbours(vm, table);
            CPPUNIT_ASSERT(neighbours.size() <= maximumNeighbours);
            std::size_t inDomain = 0;
            std::size_t inRegion = 0;
            for (const VmId& other : neighbours) {
                const auto back = rings.computeNeighbours(other, table);
                CPPUNIT_ASSERT(std::binary_search(back.begin(), back.end(), vm));
                inDomain += table.at(other).domain == member.domain ? 1 : 0;
                inRegion += table.at(other).region == member.region ? 1 : 0;
            }
            CPPUNIT_ASSERT(inDomain >= 2);
            CPPUNIT_ASSERT(inRegion >= 3);
        }
    }

    void testGoneMembersAreLeftOut()
    {
        auto table = makeTable(20);
        NeighbourRings rings;
        const VmId vm = table.begin()->first;
        const VmId gone = rings.computeNeighbours(vm, table).front();
        table[gone].state = MemberState::Gone;
        const auto neighbours = rings.computeNeighbours(vm, table);
        CPPUNIT_ASSERT(!std::binary_search(neighbours.begin(), neighbours.end(), gone));
    }

    void testRingsStayConnectedWhenOneDomainFails()
    {
        auto table = makeTable(320);
        // All VMs of a failure domain fail at once, before any other VM has detected it.
        std::set<VmId> lost;
        for (const auto& [vm, member] : table) {
            if (member.domain == FailureDomainId("domain-4"))
                lost.insert(vm);
        }
        NeighbourRings rings;
        std::vector<VmId> found { table.begin()->first };
        std::set<VmId> seen { found.front() };
        for (std::size_t index = 0; index < found.size(); ++index) {
            const VmId vm = found[index];
            for (const VmId& other : rings.computeNeighbours(vm, table)) {
                if (lost.count(other) == 0 && seen.insert(other).second)
                    found.push_back(other);
            }
        }
        CPPUNIT_ASSERT_EQUAL(table.size() - lost.size(), seen.size());
    }

    void testStoreWatchersAreLiveAndStable()
    {
        auto table = makeTable(60);
        const RegionId region("verapaz");
        const auto before = selectStoreWatchers(table, region);
        CPPUNIT_ASSERT_EQUAL(storeWatchersPerRegion, before.size());
        for (const VmId& vm : before)
            CPPUNIT_ASSERT(table.at(vm).region == region && isStoreWatcher(table, table.at(vm)));
        table[before.front()].state = MemberState::Suspect;
        const auto after = selectStoreWatchers(table, region);
        CPPUNIT_ASSERT_EQUAL(storeWatchersPerRegion, after.size());
        CPPUNIT_ASSERT(after.front() == before.back());
        CPPUNIT_ASSERT(std::find(after.begin(), after.end(), before.front()) == after.end());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(OverlayTest);

} // namespace papayashelf
