#include "node/adoption/AdoptionTracker.h"

#include <cppunit/extensions/HelperMacros.h>

namespace papayashelf {

class AdoptionTrackerTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(AdoptionTrackerTest);
    CPPUNIT_TEST(testBitmapsSpreadWhatIsKnown);
    CPPUNIT_TEST(testCutOffVmHoldsItBack);
    CPPUNIT_TEST(testListedVmThatIsNotKnownHoldsItBack);
    CPPUNIT_TEST(testNewLifeMustAdoptAnew);
    CPPUNIT_TEST(testNewRevisionStartsAgain);
    CPPUNIT_TEST_SUITE_END();

    std::map<VmId, Member> members;
    std::set<VmId> listed;

public:
    void setUp() override
    {
        for (int index = 0; index < 20; ++index) {
            Member member;
            member.vm = VmId("vm-" + std::to_string(100 + index));
            member.incarnation = 1;
            this->members.emplace(member.vm, member);
            this->listed.insert(member.vm);
        }
    }

private:
    static VmId vm(int index) { return VmId("vm-" + std::to_string(100 + index)); }

    AdoptionTracker following(int index)
    {
        AdoptionTracker tracker;
        tracker.follow(7, this->members.at(vm(index)));
        return tracker;
    }

    /** A tracker that knows of everybody. */
    AdoptionTracker complete()
    {
        AdoptionTracker tracker = this->following(0);
        for (const auto& [id, member] : this->members)
            tracker.note(id, member.incarnation, 7);
        return tracker;
    }

    void testBitmapsSpreadWhatIsKnown()
    {
        AdoptionTracker first = this->following(3);
        for (int index = 0; index < 20; ++index) {
            CPPUNIT_ASSERT(!first.isEverywhere(this->members, this->listed) || index == 19);
            first.join(this->following(index).encode(this->members), this->members);
        }
        CPPUNIT_ASSERT(first.isEverywhere(this->members, this->listed));
        AdoptionTracker second = this->following(4);
        second.join(first.encode(this->members), this->members);
        CPPUNIT_ASSERT(second.isEverywhere(this->members, this->listed));
    }

    void testCutOffVmHoldsItBack()
    {
        AdoptionTracker tracker = this->following(0);
        for (int index = 0; index < 19; ++index)
            tracker.note(vm(index), 1, 7);
        this->members.at(vm(19)).state = MemberState::Gone;
        CPPUNIT_ASSERT(!tracker.isEverywhere(this->members, this->listed));
        this->listed.erase(vm(19));
        CPPUNIT_ASSERT(tracker.isEverywhere(this->members, this->listed));
    }

    void testListedVmThatIsNotKnownHoldsItBack()
    {
        const AdoptionTracker tracker = this->complete();
        CPPUNIT_ASSERT(tracker.isEverywhere(this->members, this->listed));
        this->listed.insert(VmId("vm-500"));
        CPPUNIT_ASSERT(!tracker.isEverywhere(this->members, this->listed));
    }

    void testNewLifeMustAdoptAnew()
    {
        const AdoptionTracker tracker = this->complete();
        this->members.at(vm(5)).incarnation = 2;
        CPPUNIT_ASSERT(!tracker.isEverywhere(this->members, this->listed));
    }

    void testNewRevisionStartsAgain()
    {
        AdoptionTracker tracker = this->complete();
        tracker.follow(8, this->members.at(vm(0)));
        tracker.note(vm(1), 1, 7);
        CPPUNIT_ASSERT(!tracker.isEverywhere(this->members, this->listed));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AdoptionTrackerTest);

} // namespace papayashelf
