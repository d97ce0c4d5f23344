#include "shares/DefaultFleet.h"

#include <cppunit/extensions/HelperMacros.h>

namespace papayashelf {

class EpochCoordinatorTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(EpochCoordinatorTest);
    CPPUNIT_TEST(testStoredValueIsReadBack);
    CPPUNIT_TEST(testUnknownSchemaIsIgnoredAndKept);
    CPPUNIT_TEST(testLostStoreRepliesAreResolvedByReading);
    CPPUNIT_TEST(testStaleStoreIsReportedAndIgnored);
    CPPUNIT_TEST(testUnresponsiveListedHolderRemains);
    CPPUNIT_TEST(testReleasedVmIsRemovedFromTheHolders);
    CPPUNIT_TEST(testRestartedVmIsANewHolder);
    CPPUNIT_TEST(testEpochsReachNewVmWithoutTheStore);
    CPPUNIT_TEST_SUITE_END();

    static constexpr std::uint64_t seed = 11;

    static ShareEpoch getStoredEpoch(ShareFleet& fleet, const char* region)
    {
        return readShareEpoch(fleet.getStored(shareEpochKey(RegionId(region)))).value();
    }

    static bool hasEvent(const ShareFleet& fleet, const std::string& event)
    {
        return std::find(fleet.events.begin(), fleet.events.end(), event) != fleet.events.end();
    }

    static void runWithDefaultVms(ShareFleet& fleet)
    {
        addDefaultVms(fleet);
        fleet.publish(makeGovernance(1, 900, 9000), Milliseconds(0));
        fleet.runUntil(Milliseconds::fromSeconds(30));
    }

    // Guards against holders that are lost or reordered in the store, and against using a damaged or unknown value.
    void testStoredValueIsReadBack()
    {
        const ShareEpoch epoch { RegionId("verapaz"), 7, { { VmId("v1"), 1764800000000 }, { VmId("v2"), 5 } },
            { { VmId("v1"), 3 } } };
        CPPUNIT_ASSERT(epoch == readShareEpoch(writeShareEpoch(epoch)).value());
        CPPUNIT_ASSERT(readShareEpoch("{").error().code == ErrorCode::Damaged);
        CPPUNIT_ASSERT(readShareEpoch("{\"schema_version\":1}").error().code == ErrorCode::Damaged);
        CPPUNIT_ASSERT(readShareEpoch("{\"schema_version\":2}").error().code == ErrorCode::UnknownSchemaVersion);
        CPPUNIT_ASSERT(readShareEpoch("{}").error().code == ErrorCode::UnknownSchemaVersion);
    }

    // Guards against overwriting an epoch that a later version of the software has stored.
    void testUnknownSchemaIsIgnoredAndKept()
    {
        ShareFleet fleet(seed, makeSettings());
        const std::string later = "{\"schema_version\":2,\"holders\":{}}";
        fleet.setStored(shareEpochKey(RegionId("verapaz")), later);
        runWithDefaultVms(fleet);
        CPPUNIT_ASSERT(hasEvent(fleet, "share_epoch_set_aside"));
        CPPUNIT_ASSERT_EQUAL(later, fleet.getStored(shareEpochKey(RegionId("verapaz"))));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t { 0 }, fleet.getLedger(VmId("v1")).getShareEpoch());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t { 1 }, fleet.getLedger(VmId("o1")).getShareEpoch());
    }

    // Guards against writing a second epoch when the first write took effect but its reply was lost.
    void testLostStoreRepliesAreResolvedByReading()
    {
        ShareFleet fleet(seed, makeSettings());
        fleet.faults.lostStoreReplies = 1;
        runWithDefaultVms(fleet);
        for (const VmId& vm : fleet.getVms())
            CPPUNIT_ASSERT_EQUAL(std::uint64_t { 1 }, fleet.getLedger(vm).getShareEpoch());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t { 1 }, getStoredEpoch(fleet, "altiplano").epoch);
    }

    // Guards against returning to an older epoch when the store serves stale reads.
    void testStaleStoreIsReportedAndIgnored()
    {
        ShareFleet fleet(seed, makeSettings());
        runWithDefaultVms(fleet);
        fleet.kill(VmId("v1"));
        fleet.start(VmId("v1"));
        fleet.runUntil(Milliseconds::fromSeconds(60));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t { 2 }, fleet.getLedger(VmId("v2")).getShareEpoch());
        fleet.faults.isStoreStale = true;
        fleet.kill(VmId("v1"));
        fleet.start(VmId("v1"));
        fleet.runUntil(Milliseconds::fromSeconds(90));
        CPPUNIT_ASSERT(hasEvent(fleet, "share_epoch_older_in_store"));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t { 3 }, fleet.getLedger(VmId("v2")).getShareEpoch());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t { 3 }, getStoredEpoch(fleet, "verapaz").epoch);
    }

    // Guards against removing a holder that may still spend its tokens, because it is listed but unresponsive.
    void testUnresponsiveListedHolderRemains()
    {
        ShareFleet fleet(seed, makeSettings());
        runWithDefaultVms(fleet);
        fleet.kill(VmId("v1"));
        fleet.runUntil(Milliseconds::fromSeconds(600));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t { 1 }, fleet.getLedger(VmId("v2")).getShareEpoch());
        fleet.unlist(VmId("v1"));
        fleet.runUntil(Milliseconds::fromSeconds(630));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t { 2 }, fleet.getLedger(VmId("v2")).getShareEpoch());
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, getStoredEpoch(fleet, "verapaz").holders.size());
    }

    // Guards against keeping a released VM as a holder when messages about its release are lost.
    void testReleasedVmIsRemovedFromTheHolders()
    {
        ShareFleet fleet(seed, makeSettings());
        runWithDefaultVms(fleet);
        fleet.faults.loss = 0.5;
        fleet.release(VmId("v1"));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 0 }, fleet.getLedger(VmId("v1")).getOwnedCount());
        fleet.runUntil(Milliseconds::fromSeconds(60));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t { 2 }, fleet.getLedger(VmId("v2")).getShareEpoch());
        const std::vector<ShareHolder> holders = getStoredEpoch(fleet, "verapaz").holders;
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, holders.size());
        CPPUNIT_ASSERT(VmId("v2") == holders.front().vm);
    }

    // Guards against a restarted VM owning the buckets of its previous incarnation without a new epoch.
    void testRestartedVmIsANewHolder()
    {
        ShareFleet fleet(seed, makeSettings());
        runWithDefaultVms(fleet);
        const ShareEpoch before = getStoredEpoch(fleet, "verapaz");
        fleet.kill(VmId("v1"));
        fleet.start(VmId("v1"));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 0 }, fleet.getLedger(VmId("v1")).getOwnedCount());
        fleet.runUntil(Milliseconds::fromSeconds(60));
        const ShareEpoch after = getStoredEpoch(fleet, "verapaz");
        CPPUNIT_ASSERT(before.holders == after.previousHolders);
        CPPUNIT_ASSERT(after.holders.front().incarnation > before.holders.front().incarnation);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 2 }, fleet.getLedger(VmId("v1")).getOwnedCount());
    }

    // Guards against a new VM that cannot borrow because it learns the epochs only from the store.
    void testEpochsReachNewVmWithoutTheStore()
    {
        ShareFleet fleet(seed, makeSettings());
        runWithDefaultVms(fleet);
        fleet.faults.isStoreDown = true;
        fleet.addVm("a4", "altiplano");
        fleet.publish(makeGovernance(1, 900, 9000), Milliseconds(0));
        fleet.runUntil(Milliseconds::fromSeconds(60));
        // The new VM is not a holder, but knows the owners to borrow from.
        CPPUNIT_ASSERT_EQUAL(std::size_t { 0 }, fleet.getLedger(VmId("a4")).getOwnedCount());
        CPPUNIT_ASSERT_EQUAL(std::size_t { 6 }, fleet.getLedger(VmId("a4")).getOwners(trials).size());
        int granted = 0;
        fleet.onGranted = [&](const FleetRequest&, Milliseconds) { ++granted; };
        fleet.submit(VmId("a4"), { 1, trials, 4000, 4000, Milliseconds(10) });
        fleet.runUntil(Milliseconds::fromSeconds(61));
        CPPUNIT_ASSERT_EQUAL(1, granted);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EpochCoordinatorTest);

} // namespace papayashelf
