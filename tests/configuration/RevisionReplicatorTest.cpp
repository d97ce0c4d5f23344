#include "ControlNode.h"

#include <cppunit/extensions/HelperMacros.h>

namespace papayashelf {

class RevisionReplicatorTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(RevisionReplicatorTest);
    CPPUNIT_TEST(testRevisionReachesEveryVmInTime);
    CPPUNIT_TEST(testRevisionSpreadsWithoutTheStore);
    CPPUNIT_TEST(testVmStartedDuringStoreOutageAdoptsRevisionFromPeer);
    CPPUNIT_TEST(testOlderStoreIsReportedAndNotFollowed);
    CPPUNIT_TEST(testRevisionSpreadsInTimeDespiteLostStoreAnswers);
    CPPUNIT_TEST(testStoreRecoversAfterOneHourOutage);
    CPPUNIT_TEST(testIsolatedRegionCatchesUp);
    CPPUNIT_TEST(testPausedVmCatchesUp);
    CPPUNIT_TEST(testRefusedRevisionIsNotAdopted);
    CPPUNIT_TEST(testConflictingDigestIsReported);
    CPPUNIT_TEST(testUnansweredPullIsSentToAnotherHolder);
    CPPUNIT_TEST(testPushedDeltaIsAdopted);
    CPPUNIT_TEST(testDamagedTransferPullsFullRevisionFromAnotherHolder);
    CPPUNIT_TEST(testNumberNeverFallsUnderRandomFaults);
    CPPUNIT_TEST(testStoreCallsStayWithinBudget);
    CPPUNIT_TEST(testHistoryServesDeltasAndFullRevisions);
    CPPUNIT_TEST(testUnknownSchemaVersionIsRejected);
    CPPUNIT_TEST_SUITE_END();

    // A published revision must be in force at every VM within 8 s.
    static constexpr Milliseconds maximumAdoptionTime = Milliseconds::fromSeconds(8);

    // Limit on the store calls of one VM, from docs/CONFIGURATION.md.
    static constexpr std::int64_t maximumCallsPerMinute = 50;

    static Milliseconds seconds(std::int64_t count) { return Milliseconds::fromSeconds(count); }

    using Replicator = RevisionReplicator<TestChecker>;

    static Replicator makeReplicator() { return { ConfigurationSettings {}, TestChecker {}, 1 }; }

    /** Delivers a full revision in the way a peer does. */
    static ConfigurationOutput deliverRevision(
        Replicator& replicator, const Revision& revision, const VmId& from = VmId("peer"))
    {
        replicator.handleAnnouncement(seconds(1), { revision.number, revision.digest }, from);
        return replicator.handlePart(seconds(1), { makeFullDelta(revision), 0, 1 }, from);
    }

    void testRevisionReachesEveryVmInTime()
    {
        ControlCluster cluster(320, 1);
        cluster.store.publish(makeTestRevision(1));
        CPPUNIT_ASSERT(cluster.settle(1));
        cluster.setLossProbability(0.2);
        for (RevisionNumber number = 2; number <= 4; ++number) {
            cluster.store.publish(makeTestRevision(number));
            CPPUNIT_ASSERT(cluster.runUntil([&] { return cluster.allHave(number); }, maximumAdoptionTime));
        }
    }

    void testRevisionSpreadsWithoutTheStore()
    {
        ControlCluster cluster(320, 2);
        cluster.store.publish(makeTestRevision(1));
        CPPUNIT_ASSERT(cluster.settle(1));
        cluster.setLossProbability(0.2);
        cluster.store.publish(makeTestRevision(2));
        const Milliseconds published = cluster.now();
        const auto isAdoptedAnywhere = [&] {
            return !cluster.all([](const VmId&, ControlNode& node) { return node.replicator.getNumber() == 1; });
        };
        CPPUNIT_ASSERT(cluster.runUntil(isAdoptedAnywhere, maximumAdoptionTime));
        cluster.store.isDown = true;
        CPPUNIT_ASSERT(
            cluster.runUntil([&] { return cluster.allHave(2); }, published + maximumAdoptionTime - cluster.now()));
    }

    // A VM that restarts while the store is silent must become able to serve with a revision from its peers.
    void testVmStartedDuringStoreOutageAdoptsRevisionFromPeer()
    {
        ControlCluster cluster(8, 3);
        cluster.store.publish(makeTestRevision(1));
        CPPUNIT_ASSERT(cluster.settle(1));
        cluster.store.isSilent = true;
        const Member replaced = cluster.members[3];
        cluster.crash(replaced.vm);
        Member restarted = replaced;
        restarted.incarnation = 2;
        ControlNode& node = cluster.start(restarted);
        CPPUNIT_ASSERT(!node.replicator.getRevision());
        CPPUNIT_ASSERT(cluster.runUntil([&] { return node.replicator.getNumber() == 1; }, maximumAdoptionTime));
        CPPUNIT_ASSERT(node.adoptions.front().isFirst);
        CPPUNIT_ASSERT(node.adoptions.front().source == AdoptionSource::Peer);
        CPPUNIT_ASSERT(!node.adoptions.front().from.isEmpty());
    }

    // A store restored from an old backup holds an older revision, which must not replace the one in force.
    void testOlderStoreIsReportedAndNotFollowed()
    {
        ControlCluster cluster(8, 4);
        cluster.store.publish(makeTestRevision(1));
        const auto olderEntries = cluster.store.entries;
        cluster.store.publish(makeTestRevision(2));
        CPPUNIT_ASSERT(cluster.settle(2));
        cluster.store.entries = olderEntries;
        cluster.runFor(seconds(60));
        CPPUNIT_ASSERT(cluster.allHave(2));
        std::int64_t reports = 0;
        for (const auto& [vm, node] : cluster.getNodes())
            reports += node->countEvents(ConfigurationEventKind::StoreOlder);
        CPPUNIT_ASSERT(reports > 0 && reports <= 8);
        // An empty store must not replace the revision in force either.
        cluster.store.entries.clear();
        cluster.runFor(seconds(30));
        CPPUNIT_ASSERT(cluster.allHave(2));
        cluster.store.publish(makeTestRevision(3));
        CPPUNIT_ASSERT(cluster.runUntil([&] { return cluster.allHave(3); }, maximumAdoptionTime));
    }

    void testRevisionSpreadsInTimeDespiteLostStoreAnswers()
    {
        ControlCluster cluster(8, 5);
        cluster.store.publish(makeTestRevision(1));
        CPPUNIT_ASSERT(cluster.settle(1));
        // The pending watches never get a reply, as on a connection whose peer stopped responding.
        cluster.store.isSilent = true;
        cluster.store.publish(makeTestRevision(2));
        cluster.runFor(Milliseconds(100));
        cluster.store.isSilent = false;
        CPPUNIT_ASSERT(cluster.runUntil([&] { return cluster.allHave(2); }, maximumAdoptionTime));
    }

    void testStoreRecoversAfterOneHourOutage()
    {
        ControlCluster cluster(6, 6);
        cluster.store.publish(makeTestRevision(1));
        CPPUNIT_ASSERT(cluster.settle(1));
        cluster.store.isDown = true;
        cluster.runFor(seconds(3600));
        cluster.store.isDown = false;
        cluster.store.publish(makeTestRevision(2));
        CPPUNIT_ASSERT(cluster.runUntil([&] { return cluster.allHave(2); }, maximumAdoptionTime));
        cluster.runFor(maximumAdoptionTime);
        for (const auto& [vm, node] : cluster.getNodes()) {
            const std::int64_t outagesReported = node->countEvents(ConfigurationEventKind::StoreUnavailable);
            CPPUNIT_ASSERT(outagesReported <= 2); // One report each for revisions and withdrawals.
            CPPUNIT_ASSERT_EQUAL(outagesReported, node->countEvents(ConfigurationEventKind::StoreAvailable));
        }
    }

    void testIsolatedRegionCatchesUp()
    {
        ControlCluster cluster(20, 7);
        cluster.store.publish(makeTestRevision(1));
        CPPUNIT_ASSERT(cluster.settle(1));
        const RegionId isolatedRegion("oriente");
        cluster.setBrokenLinks([&](const VmId& from, const VmId& to) {
            return (cluster.regionOf(from) == isolatedRegion) != (cluster.regionOf(to) == isolatedRegion);
        });
        cluster.store.isDown = true; // Keeps the isolated region from reading the revision from the store.
        cluster.runFor(seconds(60));
        deliverRevision(cluster.at(cluster.members[0].vm).replicator, makeTestRevision(2));
        cluster.runFor(seconds(10));
        for (const Member& member : cluster.members) {
            const RevisionNumber expected = member.region == isolatedRegion ? 1 : 2;
            CPPUNIT_ASSERT_EQUAL(expected, cluster.at(member.vm).replicator.getNumber());
        }
        cluster.setBrokenLinks({});
        CPPUNIT_ASSERT(cluster.runUntil([&] { return cluster.allHave(2); }, seconds(20)));
    }

    void testPausedVmCatchesUp()
    {
        ControlCluster cluster(8, 8);
        cluster.store.publish(makeTestRevision(1));
        CPPUNIT_ASSERT(cluster.settle(1));
        cluster.pause(cluster.members[2].vm);
        cluster.runFor(seconds(30));
        cluster.store.publish(makeTestRevision(2));
        cluster.runFor(seconds(30));
        cluster.resume(cluster.members[2].vm);
        CPPUNIT_ASSERT(cluster.runUntil([&] { return cluster.allHave(2); }, maximumAdoptionTime));
    }

    void testRefusedRevisionIsNotAdopted()
    {
        Replicator replicator = makeReplicator();
        deliverRevision(replicator, makeTestRevision(1));
        Revision bad = makeTestRevision(2);
        bad.documents["bad"] = "";
        bad.digest = digestOf(bad.documents);
        const ConfigurationOutput output = deliverRevision(replicator, bad);
        CPPUNIT_ASSERT(!output.adopted);
        CPPUNIT_ASSERT(output.events.front().kind == ConfigurationEventKind::RevisionRefused);
        CPPUNIT_ASSERT_EQUAL(RevisionNumber { 1 }, replicator.getNumber());
        CPPUNIT_ASSERT(replicator.handleAnnouncement(seconds(2), { 2, bad.digest }, VmId("other")).sends.empty());
        CPPUNIT_ASSERT(deliverRevision(replicator, makeTestRevision(3)).adopted.has_value());
    }

    void testConflictingDigestIsReported()
    {
        Replicator replicator = makeReplicator();
        const Revision revision = makeTestRevision(1);
        deliverRevision(replicator, revision);
        const auto output = replicator.handleAnnouncement(seconds(2), { 1, "another" }, VmId("other"));
        CPPUNIT_ASSERT(output.events.front().kind == ConfigurationEventKind::ConflictingDigest);
        CPPUNIT_ASSERT(output.sends.empty());
        CPPUNIT_ASSERT(*replicator.getRevision() == revision);
    }

    void testUnansweredPullIsSentToAnotherHolder()
    {
        Replicator replicator = makeReplicator();
        const auto first = replicator.handleHeartbeat(seconds(1), 1, VmId("a"));
        CPPUNIT_ASSERT(first.sends.front().to == VmId("a"));
        CPPUNIT_ASSERT(replicator.handleHeartbeat(seconds(1), 1, VmId("b")).sends.empty());
        const auto second = replicator.tick(replicator.getNextDeadline());
        CPPUNIT_ASSERT(second.sends.front().to == VmId("b"));
        // A late answer to the first pull must not be used for the second.
        const Revision revision = makeTestRevision(1);
        CPPUNIT_ASSERT(!replicator.handlePart(seconds(3), { makeFullDelta(revision), 0, 1 }, VmId("a")).adopted);
        CPPUNIT_ASSERT(replicator.handlePart(seconds(3), { makeFullDelta(revision), 0, 1 }, VmId("b")).adopted);
    }

    void testPushedDeltaIsAdopted()
    {
        Replicator replicator = makeReplicator();
        deliverRevision(replicator, makeTestRevision(1));
        replicator.setNeighbours({ VmId("a"), VmId("b") });
        const RevisionDelta delta = makeDelta(makeTestRevision(1), makeTestRevision(2));
        const auto output = replicator.handlePart(seconds(2), { delta, 0, 1 }, VmId("a"));
        CPPUNIT_ASSERT(output.adopted.has_value());
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, output.sends.size());
        CPPUNIT_ASSERT(std::get<RevisionPart>(output.sends.front().message).delta == delta);
        // A pushed delta with another base, or a damaged one, only causes a pull from a holder.
        const RevisionDelta gap = makeDelta(makeTestRevision(3), makeTestRevision(4));
        const auto pulled = replicator.handlePart(seconds(2), { gap, 0, 1 }, VmId("b"));
        CPPUNIT_ASSERT(!pulled.adopted);
        CPPUNIT_ASSERT(std::get<RevisionPull>(pulled.sends.front().message).held == 2);
        RevisionDelta damaged = makeDelta(makeTestRevision(2), makeTestRevision(3));
        damaged.changed.front().body = "damage";
        CPPUNIT_ASSERT(!replicator.handlePart(seconds(2), { damaged, 0, 1 }, VmId("a")).adopted);
        CPPUNIT_ASSERT_EQUAL(RevisionNumber { 2 }, replicator.getNumber());
    }

    // A delta that does not give the announced digest must not be adopted. The full revision is pulled instead, as the
    // base of the delta may be at fault.
    void testDamagedTransferPullsFullRevisionFromAnotherHolder()
    {
        Replicator replicator = makeReplicator();
        deliverRevision(replicator, makeTestRevision(1));
        const Revision later = makeTestRevision(2);
        replicator.handleAnnouncement(seconds(2), { 2, later.digest }, VmId("a"));
        replicator.handleAnnouncement(seconds(2), { 2, later.digest }, VmId("b"));
        RevisionDelta delta = makeDelta(makeTestRevision(1), later);
        delta.changed.front().body += "damage";
        const auto output = replicator.handlePart(seconds(2), { delta, 0, 1 }, VmId("a"));
        CPPUNIT_ASSERT(!output.adopted);
        CPPUNIT_ASSERT(output.events.front().kind == ConfigurationEventKind::DamagedTransfer);
        CPPUNIT_ASSERT(output.sends.front().to == VmId("b"));
        CPPUNIT_ASSERT(std::get<RevisionPull>(output.sends.front().message).held == 0);
        CPPUNIT_ASSERT(replicator.handlePart(seconds(2), { makeFullDelta(later), 0, 1 }, VmId("b")).adopted);
    }

    // The revision number must not decrease under message loss, store outages and a store that is reset to older
    // contents.
    void testNumberNeverFallsUnderRandomFaults()
    {
        for (std::uint64_t seed = 1; seed <= 5; ++seed) {
            ControlCluster cluster(12, seed);
            std::mt19937_64 random(seed);
            std::map<std::string, StoreEntry> olderEntries;
            RevisionNumber published = 0;
            for (int round = 0; round < 60; ++round) {
                cluster.setLossProbability(round % 3 == 0 ? 0.3 : 0);
                cluster.store.isDown = random() % 4 == 0;
                cluster.store.isSilent = random() % 6 == 0;
                if (random() % 5 == 0)
                    cluster.store.entries.swap(olderEntries);
                if (random() % 2 == 0)
                    cluster.store.publish(makeTestRevision(++published));
                if (random() % 8 == 0)
                    olderEntries = cluster.store.entries;
                cluster.runFor(seconds(2));
            }
            cluster.setLossProbability(0);
            cluster.store.isDown = false;
            cluster.store.isSilent = false;
            cluster.store.publish(makeTestRevision(++published));
            CPPUNIT_ASSERT(cluster.runUntil([&] { return cluster.allHave(published); }, maximumAdoptionTime));
            for (const auto& [vm, node] : cluster.getNodes()) {
                for (std::size_t index = 1; index < node->adoptions.size(); ++index)
                    CPPUNIT_ASSERT(
                        node->adoptions[index - 1].revision->number < node->adoptions[index].revision->number);
            }
        }
    }

    void testStoreCallsStayWithinBudget()
    {
        constexpr RevisionNumber changesPerMinute = 2;
        constexpr std::int64_t minutes = 1;
        for (const int count : { 8, 320 }) {
            ControlCluster cluster(count, 9);
            cluster.store.publish(makeTestRevision(1));
            CPPUNIT_ASSERT(cluster.settle(1));
            for (const bool isDown : { false, true }) {
                cluster.store.calls.clear();
                cluster.store.isDown = isDown;
                for (RevisionNumber change = 0; change < changesPerMinute * minutes; ++change) {
                    if (!isDown)
                        cluster.store.publish(makeTestRevision(change + 2));
                    cluster.runFor(seconds(30));
                }
                CPPUNIT_ASSERT(!cluster.store.calls.empty());
                CPPUNIT_ASSERT(cluster.store.calls.size() <= 3 * storeWatchersPerRegion);
                for (const auto& [vm, calls] : cluster.store.calls)
                    CPPUNIT_ASSERT(calls <= maximumCallsPerMinute * minutes);
            }
        }
    }

    void testHistoryServesDeltasAndFullRevisions()
    {
        const ConfigurationSettings settings;
        RevisionHistory history(settings.maximumKeptDeltas);
        for (RevisionNumber number = 1; number <= 100; ++number) {
            if (number != 90)
                history.add(std::make_shared<const Revision>(makeTestRevision(number, 5000)));
        }
        const auto mergeParts = [&](RevisionNumber held) {
            RevisionDelta merged;
            for (const RevisionPart& part : history.makePartsSince(held, settings.maximumPartBytes)) {
                std::size_t bytes = 0;
                for (const Document& document : part.delta.changed)
                    bytes += document.path.size() + document.body.size();
                CPPUNIT_ASSERT(bytes <= settings.maximumPartBytes);
                merged.changed.insert(merged.changed.end(), part.delta.changed.begin(), part.delta.changed.end());
                merged.from = part.delta.from;
                merged.to = part.delta.to;
                merged.digest = part.delta.digest;
            }
            return merged;
        };
        CPPUNIT_ASSERT(history.makePartsSince(100, settings.maximumPartBytes).empty());
        CPPUNIT_ASSERT_EQUAL(RevisionNumber { 0 }, mergeParts(1).from);
        CPPUNIT_ASSERT(applyDelta({}, mergeParts(1)).value() == makeTestRevision(100, 5000));
        // The history has never held revision 90.
        for (const RevisionNumber held : { 50, 90, 99 }) {
            CPPUNIT_ASSERT_EQUAL(held, mergeParts(held).from);
            CPPUNIT_ASSERT(
                applyDelta(makeTestRevision(held, 5000), mergeParts(held)).value() == makeTestRevision(100, 5000));
        }
    }

    void testUnknownSchemaVersionIsRejected()
    {
        ControlCluster cluster(3, 10);
        cluster.store.publish(makeTestRevision(1));
        CPPUNIT_ASSERT(cluster.settle(1));
        cluster.store.put(std::string(manifestKey), R"({"schema_version":2,"number":9,"digest":"d","parts":[]})");
        cluster.runFor(seconds(30));
        CPPUNIT_ASSERT(cluster.allHave(1));
        for (const auto& [vm, node] : cluster.getNodes()) {
            CPPUNIT_ASSERT_EQUAL(std::int64_t { 1 }, node->countEvents(ConfigurationEventKind::StoredValueRejected));
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RevisionReplicatorTest);

} // namespace papayashelf
