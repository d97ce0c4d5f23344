#include "ControlNode.h"

#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>
#include <random>
#include <set>

namespace papayashelf {

class WithdrawalSetTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(WithdrawalSetTest);
    CPPUNIT_TEST(testWithdrawalReachesEveryVmInTime);
    CPPUNIT_TEST(testCoverageReportsReachedRegions);
    CPPUNIT_TEST(testIsolatedRegionIsReportedAndCatchesUp);
    CPPUNIT_TEST(testStoredWithdrawalReachesNewVms);
    CPPUNIT_TEST(testConcurrentWritersAndLostAnswersLoseNoWithdrawal);
    CPPUNIT_TEST(testWatcherResolvesWriteConflictAndLostAnswer);
    CPPUNIT_TEST(testWithdrawalInTheStoreReachesAll);
    CPPUNIT_TEST(testUnknownSchemaVersionIsNotOverwritten);
    CPPUNIT_TEST(testNewVmLearnsTheSetFromPeers);
    CPPUNIT_TEST(testEntryIsDroppedOnlyByALaterRevisionWithoutTheKey);
    CPPUNIT_TEST(testDigestDependsOnEntriesOnly);
    CPPUNIT_TEST(testLargeSetIsSentInSeveralNotices);
    CPPUNIT_TEST(testRandomFaultsLoseNoWithdrawal);
    CPPUNIT_TEST_SUITE_END();

    // A withdrawn key must be refused by every VM within this time.
    static constexpr Milliseconds maximumWithdrawalTime = Milliseconds::fromSeconds(3);

    static Milliseconds seconds(std::int64_t count) { return Milliseconds::fromSeconds(count); }

    static bool allRefuse(ControlCluster& cluster, const KeyDigest& key)
    {
        return cluster.all([&](const VmId&, ControlNode& node) { return node.withdrawals.isWithdrawn(key); });
    }

    static void withdrawAt(ControlCluster& cluster, const VmId& vm, const KeyDigest& key)
    {
        cluster.send(vm, cluster.at(vm).withdraw(cluster.now(), key));
    }

    static std::vector<Withdrawal> readStoredWithdrawals(const TestStore& store)
    {
        const StoreEntry entry = store.get(std::string(withdrawalsKey));
        return entry.version == 0 ? std::vector<Withdrawal> {} : decodeWithdrawals(entry.value).value();
    }

    static std::shared_ptr<const Governance> makeGovernance(RevisionNumber number, const std::set<KeyDigest>& keys)
    {
        Governance governance;
        governance.revision = number;
        for (const KeyDigest& key : keys)
            governance.keys[key] = { key, WorkspaceId("w") };
        return std::make_shared<const Governance>(std::move(governance));
    }

    void testWithdrawalReachesEveryVmInTime()
    {
        ControlCluster cluster(320, 1);
        cluster.store.publish(makeTestRevision(1));
        CPPUNIT_ASSERT(cluster.settle(1));
        cluster.store.isDown = true;
        cluster.setLossProbability(0.2);
        const KeyDigest key("aa");
        withdrawAt(cluster, cluster.members[17].vm, key);
        CPPUNIT_ASSERT(cluster.runUntil([&] { return allRefuse(cluster, key); }, maximumWithdrawalTime));
        cluster.runFor(seconds(10));
        for (const auto& [vm, node] : cluster.getNodes())
            CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, node->withdrawn.size());
    }

    void testCoverageReportsReachedRegions()
    {
        ControlCluster cluster(30, 2);
        cluster.store.publish(makeTestRevision(1));
        CPPUNIT_ASSERT(cluster.settle(1));
        const KeyDigest key("aa");
        // A VM without a neighbour in some region gets no heartbeats from it and learns its coverage only by notices.
        const auto hasNoNeighbourInSomeRegion = [&](const Member& member) {
            std::set<RegionId> regions { member.region };
            for (const VmId& vm : cluster.at(member.vm).membership.getNeighbours())
                regions.insert(cluster.regionOf(vm));
            return regions.size() < 3;
        };
        const auto found = std::find_if(cluster.members.begin(), cluster.members.end(), hasNoNeighbourInSomeRegion);
        CPPUNIT_ASSERT(found != cluster.members.end());
        const VmId entry = found->vm;
        withdrawAt(cluster, entry, key);
        cluster.runFor(maximumWithdrawalTime);
        const auto coverages = cluster.at(entry).withdrawals.getCoverage(key);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 3 }, coverages.size());
        for (const RegionCoverage& coverage : coverages)
            CPPUNIT_ASSERT(coverage.isReached() && coverage.confirmed <= coverage.members);
        CPPUNIT_ASSERT(cluster.at(entry).withdrawals.getCoverage(KeyDigest("bb")).empty());
    }

    void testIsolatedRegionIsReportedAndCatchesUp()
    {
        ControlCluster cluster(30, 3);
        cluster.store.publish(makeTestRevision(1));
        CPPUNIT_ASSERT(cluster.settle(1));
        const RegionId isolatedRegion("verapaz");
        cluster.store.isDown = true;
        cluster.setBrokenLinks([&](const VmId& from, const VmId& to) {
            return (cluster.regionOf(from) == isolatedRegion) != (cluster.regionOf(to) == isolatedRegion);
        });
        const KeyDigest key("aa");
        const VmId entry = cluster.members[0].vm;
        withdrawAt(cluster, entry, key);
        cluster.runFor(maximumWithdrawalTime);
        for (const Member& member : cluster.members)
            CPPUNIT_ASSERT_EQUAL(member.region != isolatedRegion, cluster.at(member.vm).withdrawals.isWithdrawn(key));
        for (const RegionCoverage& coverage : cluster.at(entry).withdrawals.getCoverage(key))
            CPPUNIT_ASSERT_EQUAL(coverage.region != isolatedRegion, coverage.isReached());
        cluster.setBrokenLinks({});
        CPPUNIT_ASSERT(cluster.runUntil([&] { return allRefuse(cluster, key); }, maximumWithdrawalTime));
        cluster.runFor(seconds(3));
        for (const RegionCoverage& coverage : cluster.at(entry).withdrawals.getCoverage(key))
            CPPUNIT_ASSERT(coverage.isReached());
    }

    void testStoredWithdrawalReachesNewVms()
    {
        const KeyDigest key("aa");
        ControlCluster first(8, 4);
        first.store.publish(makeTestRevision(1));
        CPPUNIT_ASSERT(first.settle(1));
        withdrawAt(first, first.members[2].vm, key);
        first.runFor(seconds(10));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, readStoredWithdrawals(first.store).size());

        ControlCluster second(8, 5);
        second.store.entries = first.store.entries;
        CPPUNIT_ASSERT(second.runUntil([&] { return allRefuse(second, key); }, seconds(10)));
    }

    // Watchers that write at the same time, and writes without a reply, must not overwrite each other's withdrawals.
    void testConcurrentWritersAndLostAnswersLoseNoWithdrawal()
    {
        ControlCluster cluster(12, 6);
        cluster.store.publish(makeTestRevision(1));
        CPPUNIT_ASSERT(cluster.settle(1));
        cluster.store.losesWriteAnswers = true;
        // The cluster is partitioned into two halves that both write to the store.
        cluster.setBrokenLinks(
            [&](const VmId& from, const VmId& to) { return (from.string() < "vm-3") != (to.string() < "vm-3"); });
        std::set<KeyDigest> keys;
        for (std::size_t index = 0; index < cluster.members.size(); ++index) {
            keys.insert(KeyDigest("key-" + std::to_string(index)));
            withdrawAt(cluster, cluster.members[index].vm, KeyDigest("key-" + std::to_string(index)));
        }
        cluster.runFor(seconds(60));
        cluster.store.losesWriteAnswers = false;
        cluster.setBrokenLinks({});
        cluster.runFor(seconds(10));
        std::set<KeyDigest> stored;
        for (const Withdrawal& withdrawal : readStoredWithdrawals(cluster.store))
            stored.insert(withdrawal.key);
        CPPUNIT_ASSERT(stored == keys);
        for (const KeyDigest& key : keys)
            CPPUNIT_ASSERT(allRefuse(cluster, key));
    }

    /** Advances a set to its next store call and returns that call. */
    static StoreCall nextCall(WithdrawalSet& set, Milliseconds& now)
    {
        for (int tick = 0; tick < 100; ++tick) {
            now = std::max(now, set.getNextDeadline());
            const auto output = set.tick(now);
            if (!output.storeCalls.empty())
                return output.storeCalls.front();
        }
        CPPUNIT_FAIL("no store call within 100 ticks");
        return {};
    }

    static StoreReply storedReply(const std::vector<Withdrawal>& withdrawals, StoreVersion version)
    {
        const std::string value = version == 0 ? std::string() : encodeWithdrawals(withdrawals).value();
        return std::vector<StoreEntry> { { std::string(withdrawalsKey), value, version } };
    }

    void testWatcherResolvesWriteConflictAndLostAnswer()
    {
        const Withdrawal own { KeyDigest("aa"), 1 };
        const Withdrawal other { KeyDigest("bb"), 1 };
        WithdrawalSet set(VmId("vm"), ConfigurationSettings {}, 1);
        Milliseconds now = seconds(1);
        set.setWatcher(now, true);
        set.handleStoreReply(now, nextCall(set, now).call, storedReply({}, 0));
        set.withdraw(now, own);
        StoreCall call = nextCall(set, now);
        while (call.request.operation == StoreOperation::Watch)
            call = nextCall(set, now);
        CPPUNIT_ASSERT(call.request.operation == StoreOperation::CompareAndSwap);
        CPPUNIT_ASSERT_EQUAL(StoreVersion { 0 }, call.request.expectedVersion);

        // Another VM wrote first: its entry is added to the set, and both entries are written.
        set.handleStoreReply(now, call.call, Error { ErrorCode::Conflict, {} });
        const Milliseconds refused = now;
        call = nextCall(set, now);
        CPPUNIT_ASSERT(now <= refused + seconds(1));
        CPPUNIT_ASSERT(call.request.operation == StoreOperation::Watch);
        const auto read = set.handleStoreReply(now, call.call, storedReply({ other }, 1));
        CPPUNIT_ASSERT(read.withdrawn == std::vector<Withdrawal> { other });
        call = nextCall(set, now);
        while (call.request.operation == StoreOperation::Watch)
            call = nextCall(set, now);
        CPPUNIT_ASSERT_EQUAL(StoreVersion { 1 }, call.request.expectedVersion);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 2 }, decodeWithdrawals(call.request.value).value().size());

        // The write took effect but its reply was lost: the set is read again and not rewritten.
        set.handleStoreReply(now, call.call, Error { ErrorCode::OutcomeUnknown, {} });
        call = nextCall(set, now);
        CPPUNIT_ASSERT(call.request.operation == StoreOperation::Watch);
        set.handleStoreReply(now, call.call, storedReply({ own, other }, 2));
        for (int watch = 0; watch < 10; ++watch) {
            call = nextCall(set, now);
            CPPUNIT_ASSERT(call.request.operation == StoreOperation::Watch);
            set.handleStoreReply(now, call.call, storedReply({ own, other }, 2));
        }
    }

    void testWithdrawalInTheStoreReachesAll()
    {
        ControlCluster cluster(8, 7);
        cluster.store.publish(makeTestRevision(1));
        CPPUNIT_ASSERT(cluster.settle(1));
        const KeyDigest key("aa");
        cluster.store.put(std::string(withdrawalsKey), encodeWithdrawals({ { key, 1 } }).value());
        CPPUNIT_ASSERT(cluster.runUntil([&] { return allRefuse(cluster, key); }, maximumWithdrawalTime));
    }

    // A VM of an older version must not overwrite a stored set that it cannot decode.
    void testUnknownSchemaVersionIsNotOverwritten()
    {
        ControlCluster cluster(4, 8);
        const std::string later = R"({"schema_version":2,"withdrawals":[]})";
        cluster.store.put(std::string(withdrawalsKey), later);
        cluster.store.publish(makeTestRevision(1));
        CPPUNIT_ASSERT(cluster.settle(1));
        withdrawAt(cluster, cluster.members[0].vm, KeyDigest("aa"));
        cluster.runFor(seconds(30));
        CPPUNIT_ASSERT(allRefuse(cluster, KeyDigest("aa")));
        CPPUNIT_ASSERT_EQUAL(later, cluster.store.get(std::string(withdrawalsKey)).value);
    }

    void testNewVmLearnsTheSetFromPeers()
    {
        ControlCluster cluster(8, 9);
        cluster.store.publish(makeTestRevision(1));
        CPPUNIT_ASSERT(cluster.settle(1));
        cluster.store.isSilent = true;
        withdrawAt(cluster, cluster.members[0].vm, KeyDigest("aa"));
        cluster.runFor(seconds(3));
        Member restarted = cluster.members[5];
        cluster.crash(restarted.vm);
        restarted.incarnation = 2;
        ControlNode& node = cluster.start(restarted);
        CPPUNIT_ASSERT(cluster.runUntil([&] { return node.withdrawals.isWithdrawn(KeyDigest("aa")); }, seconds(6)));
    }

    void testEntryIsDroppedOnlyByALaterRevisionWithoutTheKey()
    {
        const KeyDigest key("aa");
        const RevisionNumber kept = ConfigurationSettings {}.withdrawalRetentionRevisions;
        WithdrawalTable table(kept);
        CPPUNIT_ASSERT(table.add({ key, 5 }));
        CPPUNIT_ASSERT(!table.add({ key, 4 }));
        table.setGovernance(makeGovernance(5 + kept - 1, {}));
        CPPUNIT_ASSERT(table.contains(key));
        table.setGovernance(makeGovernance(5 + kept, { key }));
        CPPUNIT_ASSERT(table.contains(key));
        table.setGovernance(makeGovernance(5 + kept, {}));
        CPPUNIT_ASSERT(!table.contains(key));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t { 0 }, table.getDigest());
        // A VM that still holds the obsolete entry must not add it again, so that all sets converge.
        CPPUNIT_ASSERT(!table.add({ key, 5 }));
    }

    void testDigestDependsOnEntriesOnly()
    {
        WithdrawalTable one(10);
        WithdrawalTable other(10);
        one.add({ KeyDigest("aa"), 1 });
        one.add({ KeyDigest("bb"), 2 });
        other.add({ KeyDigest("bb"), 2 });
        CPPUNIT_ASSERT(one.getDigest() != other.getDigest());
        other.add({ KeyDigest("aa"), 0 });
        CPPUNIT_ASSERT(one.getDigest() != other.getDigest());
        other.add({ KeyDigest("aa"), 1 });
        CPPUNIT_ASSERT_EQUAL(one.getDigest(), other.getDigest());
    }

    void testLargeSetIsSentInSeveralNotices()
    {
        const ConfigurationSettings settings;
        WithdrawalSet one(VmId("one"), settings, 1);
        WithdrawalSet other(VmId("other"), settings, 2);
        std::vector<Withdrawal> many;
        for (int index = 0; index < 6000; ++index)
            many.push_back({ KeyDigest("key-" + std::to_string(index)), 1 });
        one.setMembers({ VmId("other") }, {});
        other.setMembers({ VmId("one") }, {});
        one.handleNotice(seconds(1), { many, false }, VmId("other"));
        one.handleHeartbeat(seconds(2), other.getDigest(), VmId("other"));
        const auto output = one.handleHeartbeat(seconds(3), other.getDigest(), VmId("other"));
        CPPUNIT_ASSERT(output.sends.size() > 1);
        for (const auto& addressed : output.sends)
            other.handleNotice(seconds(3), std::get<WithdrawalNotice>(addressed.message), VmId("one"));
        CPPUNIT_ASSERT_EQUAL(one.getDigest(), other.getDigest());
    }

    /** Injects one round of faults: isolated regions, message loss, store faults, a replaced VM and a paused VM. */
    static void injectFaults(ControlCluster& cluster, std::mt19937_64& random)
    {
        const RegionId first = cluster.members[random() % cluster.members.size()].region;
        const RegionId second = cluster.members[random() % cluster.members.size()].region;
        const bool isCut = random() % 2 == 0;
        cluster.setBrokenLinks([&cluster, first, second, isCut](const VmId& from, const VmId& to) {
            const RegionId& left = cluster.regionOf(from);
            const RegionId& right = cluster.regionOf(to);
            return isCut && left != right && (left == first || right == first || left == second || right == second);
        });
        cluster.setLossProbability(random() % 3 == 0 ? 0.3 : 0);
        cluster.store.isDown = random() % 3 == 0;
        cluster.store.isSilent = random() % 5 == 0;
        cluster.store.losesWriteAnswers = random() % 2 == 0;
        Member& replaced = cluster.members[random() % cluster.members.size()];
        cluster.crash(replaced.vm);
        replaced.incarnation += 1;
        cluster.start(replaced);
        const VmId paused = cluster.members[random() % cluster.members.size()].vm;
        cluster.pause(paused);
        cluster.runFor(Milliseconds(static_cast<std::int64_t>(random() % 12000)));
        cluster.resume(paused);
    }

    void testRandomFaultsLoseNoWithdrawal()
    {
        for (std::uint64_t seed = 1; seed <= 8; ++seed) {
            ControlCluster cluster(15, seed);
            cluster.store.publish(makeTestRevision(1));
            CPPUNIT_ASSERT(cluster.settle(1));
            std::mt19937_64 random(seed);
            std::set<KeyDigest> keys;
            for (int round = 0; round < 20; ++round) {
                injectFaults(cluster, random);
                const KeyDigest key("key-" + std::to_string(round));
                const Member& entry = cluster.members[random() % cluster.members.size()];
                withdrawAt(cluster, entry.vm, key);
                keys.insert(key);
                // Lets the withdrawal spread within its region, as the next round may crash the VM where it was made.
                cluster.runFor(seconds(5));
            }
            cluster.setBrokenLinks({});
            cluster.setLossProbability(0);
            cluster.store.isDown = false;
            cluster.store.isSilent = false;
            cluster.runFor(seconds(30));
            const std::size_t count = cluster.members.size();
            CPPUNIT_ASSERT(cluster.all([&](const VmId&, ControlNode& node) {
                return node.withdrawals.size() == keys.size() && node.membership.getMembers().size() == count;
            }));
            CPPUNIT_ASSERT_EQUAL(keys.size(), readStoredWithdrawals(cluster.store).size());
            CPPUNIT_ASSERT(cluster.all([&](const VmId&, ControlNode& node) {
                const auto& members = node.membership.getMembers();
                return std::all_of(members.begin(), members.end(),
                    [](const auto& member) { return member.second.state == MemberState::Live; });
            }));
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(WithdrawalSetTest);

} // namespace papayashelf
