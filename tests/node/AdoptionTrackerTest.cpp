#include "node/adoption/AdoptionTracker.h"

#include <cppunit/extensions/HelperMacros.h>

namespace papayashelf {

class AdoptionTrackerTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(AdoptionTrackerTest);
    CPPUNIT_TEST(testBitmapsPropagateKnownAdopters);
    CPPUNIT_TEST(testListedGoneVmPreventsFullAdoption);
    CPPUNIT_TEST(testUnknownListedVmPreventsFullAdoption);
    CPPUNIT_TEST(testNewIncarnationMustAdoptAgain);
    CPPUNIT_TEST(testNewRevisionResetsAdopters);
    CPPUNIT_TEST_SUITE_END();

    std::map<VmId, Member> members;
    std::set<VmId> listedVms;

public:
    void setUp() override
    {
        for (int index = 0; index < 20; ++index) {
            Member member;
            member.vm = VmId("vm-" + std::to_string(100 + index));
            member.incarnation = 1;
            this->members.emplace(member.vm, member);
            this->listedVms.insert(member.vm);
        }
    }

private:
    static VmId vm(int index) { return VmId("vm-" + std::to_string(100 + index)); }

    AdoptionTracker makeTracker(int index)
    {
        AdoptionTracker tracker;
        tracker.startTracking(7, this->members.at(vm(index)));
        return tracker;
    }

    /** Creates a tracker for which all members have adopted the revision. */
    AdoptionTracker makeCompleteTracker()
    {
        AdoptionTracker tracker = this->makeTracker(0);
        for (const auto& [id, member] : this->members)
            tracker.recordAdoption(id, member.incarnation, 7);
        return tracker;
    }

    void testBitmapsPropagateKnownAdopters()
    {
        AdoptionTracker first = this->makeTracker(3);
        for (int index = 0; index < 20; ++index) {
            CPPUNIT_ASSERT(!first.isAdoptedByAll(this->members, this->listedVms) || index == 19);
            first.mergeBitmap(this->makeTracker(index).encodeBitmap(this->members), this->members);
        }
        CPPUNIT_ASSERT(first.isAdoptedByAll(this->members, this->listedVms));
        AdoptionTracker second = this->makeTracker(4);
        second.mergeBitmap(first.encodeBitmap(this->members), this->members);
        CPPUNIT_ASSERT(second.isAdoptedByAll(this->members, this->listedVms));
    }

    // A VM that is Gone but still listed may only be unreachable and still act on the old revision.
    void testListedGoneVmPreventsFullAdoption()
    {
        AdoptionTracker tracker = this->makeTracker(0);
        for (int index = 0; index < 19; ++index)
            tracker.recordAdoption(vm(index), 1, 7);
        this->members.at(vm(19)).state = MemberState::Gone;
        CPPUNIT_ASSERT(!tracker.isAdoptedByAll(this->members, this->listedVms));
        this->listedVms.erase(vm(19));
        CPPUNIT_ASSERT(tracker.isAdoptedByAll(this->members, this->listedVms));
    }

    // A VM that the platform lists but that has not yet joined the member table may act on the old revision.
    void testUnknownListedVmPreventsFullAdoption()
    {
        const AdoptionTracker tracker = this->makeCompleteTracker();
        CPPUNIT_ASSERT(tracker.isAdoptedByAll(this->members, this->listedVms));
        this->listedVms.insert(VmId("vm-500"));
        CPPUNIT_ASSERT(!tracker.isAdoptedByAll(this->members, this->listedVms));
    }

    void testNewIncarnationMustAdoptAgain()
    {
        const AdoptionTracker tracker = this->makeCompleteTracker();
        this->members.at(vm(5)).incarnation = 2;
        CPPUNIT_ASSERT(!tracker.isAdoptedByAll(this->members, this->listedVms));
    }

    void testNewRevisionResetsAdopters()
    {
        AdoptionTracker tracker = this->makeCompleteTracker();
        tracker.startTracking(8, this->members.at(vm(0)));
        tracker.recordAdoption(vm(1), 1, 7);
        CPPUNIT_ASSERT(!tracker.isAdoptedByAll(this->members, this->listedVms));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AdoptionTrackerTest);

} // namespace papayashelf
