#include "gateway/GatewayFixture.h"

#include <cppunit/extensions/HelperMacros.h>

namespace papayashelf {

using namespace gatewayfixture;

namespace {

constexpr Milliseconds now { 100'000 };
const VmId vmId("vm-2");

VmAnnouncement makeStatus(std::int64_t sequence, bool isReady = true, const std::string& relayKey = "key-1")
{
    VmAnnouncement status = makeVm(vmId.string(), "north", isReady);
    status.sequence = sequence;
    status.relayKey = relayKey;
    return status;
}

bool isReady(const VmRegistry& vms)
{
    return !vms.getReadyVms(RegionId("north")).empty();
}

/** Removes the VM at once. */
void end(VmRegistry& vms, Milliseconds at)
{
    vms.remove(vmId, at);
    vms.expire(at);
}

} // namespace

class VmOrderTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(VmOrderTest);
    CPPUNIT_TEST(testStoppingVmDoesNotReturnThroughAnOlderStatus);
    CPPUNIT_TEST(testVmThatBecomesReadyAfterAnUnreadyStatusIsListed);
    CPPUNIT_TEST(testEndedVmDoesNotReturnThroughAnOlderStatus);
    CPPUNIT_TEST(testEndedProcessDoesNotReplaceItsSuccessor);
    CPPUNIT_TEST(testLapsedVmReturnsWithALaterStatus);
    CPPUNIT_TEST(testOlderStatusDoesNotProlongALapsedVm);
    CPPUNIT_TEST(testRestartedVmIsNotOrderedByItsFormerSequence);
    CPPUNIT_TEST(testStatusesWithoutASequenceApplyAsTheyCome);
    CPPUNIT_TEST(testEndedProcessesAreForgotten);
    CPPUNIT_TEST_SUITE_END();

public:
    void testStoppingVmDoesNotReturnThroughAnOlderStatus()
    {
        VmRegistry vms;
        vms.put(makeStatus(1));
        vms.put(makeStatus(2, false));
        vms.put(makeStatus(1));
        CPPUNIT_ASSERT(!isReady(vms));
    }

    // A process may write that it is not ready before it has a configuration.
    void testVmThatBecomesReadyAfterAnUnreadyStatusIsListed()
    {
        VmRegistry vms;
        vms.put(makeStatus(1, false));
        vms.put(makeStatus(2));
        CPPUNIT_ASSERT(isReady(vms));
        vms.put(makeStatus(3, false));
        end(vms, now);
        vms.put(makeStatus(4));
        CPPUNIT_ASSERT(isReady(vms));
    }

    void testEndedVmDoesNotReturnThroughAnOlderStatus()
    {
        for (const bool wasReady : { false, true }) {
            VmRegistry vms;
            vms.put(makeStatus(2, wasReady));
            end(vms, now);
            vms.put(makeStatus(1));
            CPPUNIT_ASSERT(!isReady(vms));
            vms.put(makeStatus(2));
            CPPUNIT_ASSERT(!isReady(vms));
            CPPUNIT_ASSERT(vms.getAll().empty());
        }
    }

    void testEndedProcessDoesNotReplaceItsSuccessor()
    {
        VmRegistry vms;
        vms.expire(now);
        vms.put(makeStatus(5));
        vms.put(makeStatus(1, true, "key-2"));
        vms.put(makeStatus(5));
        CPPUNIT_ASSERT_EQUAL(std::string("key-2"), vms.getAll().at(vmId).relayKey);
        end(vms, now + Milliseconds(1'000));
        vms.put(makeStatus(5));
        CPPUNIT_ASSERT(!isReady(vms));
    }

    void testLapsedVmReturnsWithALaterStatus()
    {
        VmRegistry vms;
        vms.put(makeStatus(2));
        end(vms, now);
        vms.put(makeStatus(3));
        CPPUNIT_ASSERT(isReady(vms));
    }

    void testOlderStatusDoesNotProlongALapsedVm()
    {
        VmRegistry vms;
        vms.put(makeStatus(2));
        vms.remove(vmId, now + Milliseconds(2'000));
        vms.put(makeStatus(1));
        vms.expire(now + Milliseconds(2'000));
        CPPUNIT_ASSERT(!isReady(vms));
    }

    void testRestartedVmIsNotOrderedByItsFormerSequence()
    {
        VmRegistry vms;
        vms.put(makeStatus(5, false));
        vms.put(makeStatus(1, true, "key-2"));
        CPPUNIT_ASSERT(isReady(vms));
        end(vms, now);
        vms.put(makeStatus(1, true, "key-3"));
        CPPUNIT_ASSERT(isReady(vms));
    }

    void testStatusesWithoutASequenceApplyAsTheyCome()
    {
        VmRegistry vms;
        vms.put(makeStatus(0));
        end(vms, now);
        vms.put(makeStatus(0));
        CPPUNIT_ASSERT(isReady(vms));
        vms.put(makeStatus(0, true, "key-2"));
        vms.put(makeStatus(0));
        CPPUNIT_ASSERT_EQUAL(std::string("key-1"), vms.getAll().at(vmId).relayKey);
    }

    void testEndedProcessesAreForgotten()
    {
        VmRegistry vms;
        vms.expire(now);
        for (int number = 0; number < 20'000; ++number)
            vms.put(makeStatus(2, true, "key-" + std::to_string(number)));
        end(vms, now);
        CPPUNIT_ASSERT(vms.countRemembered() > 0 && vms.countRemembered() <= 10'000);
        vms.expire(now + Milliseconds(600'000));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 0 }, vms.countRemembered());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(VmOrderTest);

} // namespace papayashelf
