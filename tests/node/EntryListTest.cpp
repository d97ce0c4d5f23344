#include "node/entries/EntryList.h"

#include <cppunit/extensions/HelperMacros.h>

namespace papayashelf {

class EntryListTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(EntryListTest);
    CPPUNIT_TEST(testNearestRegionThenOwnersComeFirst);
    CPPUNIT_TEST(testLeavingAndGoneAreOmittedAndSuspectsComeLast);
    CPPUNIT_TEST(testOnlyRegionsOfResidencyAreListed);
    CPPUNIT_TEST(testCallersAreSpreadEvenly);
    CPPUNIT_TEST(testNearestRegionByLongestPrefix);
    CPPUNIT_TEST_SUITE_END();

    NodeSnapshot snapshot;
    Governance governance;

public:
    void setUp() override
    {
        this->add("a-1", "a", MemberState::Live);
        this->add("a-2", "a", MemberState::Live);
        this->add("a-3", "a", MemberState::Live);
        this->add("b-1", "b", MemberState::Live);
        this->snapshot.self = this->snapshot.members.front();
        Workspace restricted;
        restricted.id = WorkspaceId("bound");
        restricted.residency = { RegionId("b") };
        this->governance.workspaces = { { restricted.id, restricted } };
        this->snapshot.governance = std::make_shared<const Governance>(this->governance);
        this->snapshot.owners = std::make_shared<const OwnersByWorkspace>(
            OwnersByWorkspace { { WorkspaceId("club"), { VmId("a-3"), VmId("b-1") } } });
    }

private:
    void add(const std::string& vm, const std::string& region, MemberState state)
    {
        Member member;
        member.vm = VmId(vm);
        member.region = RegionId(region);
        member.state = state;
        this->snapshot.members.push_back(member);
    }

    std::vector<std::string> listVmNames(const EntryListQuery& query) const
    {
        std::vector<std::string> names;
        for (const Entry& entry : listEntries(this->snapshot, query))
            names.push_back(entry.vm.string());
        return names;
    }

    void testNearestRegionThenOwnersComeFirst()
    {
        EntryListQuery query;
        query.workspace = WorkspaceId("club");
        const auto namesFromOwnRegion = this->listVmNames(query);
        CPPUNIT_ASSERT_EQUAL(std::string("a-3"), namesFromOwnRegion.front());
        CPPUNIT_ASSERT_EQUAL(std::string("b-1"), namesFromOwnRegion.back());
        query.nearestRegion = RegionId("b");
        CPPUNIT_ASSERT_EQUAL(std::string("b-1"), this->listVmNames(query).front());
    }

    void testLeavingAndGoneAreOmittedAndSuspectsComeLast()
    {
        this->snapshot.members[0].state = MemberState::Suspect;
        this->snapshot.members[1].state = MemberState::Leaving;
        this->snapshot.members[2].state = MemberState::Gone;
        const auto names = this->listVmNames({});
        CPPUNIT_ASSERT((names == std::vector<std::string> { "b-1", "a-1" }));
    }

    void testOnlyRegionsOfResidencyAreListed()
    {
        EntryListQuery query;
        query.workspace = WorkspaceId("bound");
        CPPUNIT_ASSERT((this->listVmNames(query) == std::vector<std::string> { "b-1" }));
    }

    void testCallersAreSpreadEvenly()
    {
        std::map<std::string, int> first;
        for (std::uint64_t caller = 0; caller < 300; ++caller) {
            EntryListQuery query;
            query.callerHash = caller * 7919;
            ++first[this->listVmNames(query).front()];
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t { 3 }, first.size());
        for (const auto& [vm, count] : first)
            CPPUNIT_ASSERT(count > 50);
    }

    void testNearestRegionByLongestPrefix()
    {
        Region wide;
        wide.id = RegionId("wide");
        wide.callerNetworks = { "10.0.0.0/8", "fd00::/8" };
        Region narrow;
        narrow.id = RegionId("narrow");
        narrow.callerNetworks = { "10.2.0.0/16" };
        this->governance.regions = { { wide.id, wide }, { narrow.id, narrow } };
        CPPUNIT_ASSERT(RegionId("narrow") == *findNearestRegion(this->governance, "10.2.9.9"));
        CPPUNIT_ASSERT(RegionId("wide") == *findNearestRegion(this->governance, "10.3.9.9"));
        CPPUNIT_ASSERT(RegionId("wide") == *findNearestRegion(this->governance, "fd12::1"));
        CPPUNIT_ASSERT(!findNearestRegion(this->governance, "192.0.2.1"));
        CPPUNIT_ASSERT(!findNearestRegion(this->governance, "not an address"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EntryListTest);

} // namespace papayashelf
