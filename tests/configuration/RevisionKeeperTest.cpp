#include "ControlNode.h"

#include <cppunit/extensions/HelperMacros.h>

namespace papayashelf {

class RevisionKeeperTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(RevisionKeeperTest);
    CPPUNIT_TEST(testRevisionReachesEveryVmInTime);
    CPPUNIT_TEST(testRevisionSpreadsWithoutTheStore);
    CPPUNIT_TEST(testVmStartedDuringOutageTakesItFromPeers);
    CPPUNIT_TEST(testOlderStoreIsReportedAndNotFollowed);
    CPPUNIT_TEST(testLostStoreAnswersCostLittle);
    CPPUNIT_TEST(testStoreComesBackAfterAnHour);
    CPPUNIT_TEST(testCutOffRegionCatchesUp);
    CPPUNIT_TEST(testPausedVmCatchesUp);
    CPPUNIT_TEST(testRefusedRevisionStaysOut);
    CPPUNIT_TEST(testConflictingDigestIsReported);
    CPPUNIT_TEST(testUnansweredPullGoesToAnother);
    CPPUNIT_TEST(testSmallChangeIsTakenUnasked);
    CPPUNIT_TEST(testDamagedTransferIsPulledWholeFromAnother);
    CPPUNIT_TEST(testNumberNeverFallsUnderRandomFaults);
    CPPUNIT_TEST(testCallsToTheStoreStayInBudget);
    CPPUNIT_TEST(testHistoryServesDeltasAndWholes);
    CPPUNIT_TEST(testUnknownSchemaIsSetAside);
    CPPUNIT_TEST_SUITE_END();

    // "In force everywhere within 8 s."
    static constexpr Milliseconds inForceWithin = Milliseconds::fromSeconds(8);

    // docs/CONFIGURATION.md states this budget.
    static constexpr std::int64_t callsAMinute = 50;

    static Milliseconds seconds(std::int64_t count) { return Milliseconds::fromSeconds(count); }

    using Keeper = RevisionReplicator<TestChecker>;

    static Keeper makeKeeper() { return { ConfigurationSettings {}, TestChecker {}, 1 }; }

    /** Gives a keeper a revision as a peer would. */
    static ConfigurationOutput feed(Keeper& keeper, const Revision& revision, const VmId& from = VmId("peer"))
    {
        keeper.handleAnnouncement(seconds(1), { revision.number, revision.digest }, from);
        return keeper.handlePart(seconds(1), { makeWholeDelta(revision), 0, 1 }, from);
    }

    void testRevisionReachesEveryVmInTime()
    {
        ControlCluster cluster(320, 1);
        cluster.store.publish(makeTestRevision(1));
        CPPUNIT_ASSERT(cluster.settle(1));
        cluster.setLossProbability(0.2);
        for (RevisionNumber number = 2; number <= 4; ++number) {
            cluster.store.publish(makeTestRevision(number));
            CPPUNIT_ASSERT(cluster.runUntil([&] { return cluster.allHave(number); }, inForceWithin));
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
        const auto isSeen
            = [&] { return !cluster.all([](const VmId&, ControlNode& node) { return node.keeper.getNumber() == 1; }); };
        CPPUNIT_ASSERT(cluster.runUntil(isSeen, inForceWithin));
        cluster.store.isDown = true;
        CPPUNIT_ASSERT(cluster.runUntil([&] { return cluster.allHave(2); }, published + inForceWithin - cluster.now()));
    }

    void testVmStartedDuringOutageTakesItFromPeers()
    {
        ControlCluster cluster(8, 3);
        cluster.store.publish(makeTestRevision(1));
        CPPUNIT_ASSERT(cluster.settle(1));
        cluster.store.isSilent = true;
        const Member replaced = cluster.members[3];
        cluster.crash(replaced.vm);
        Member reborn = replaced;
        reborn.incarnation = 2;
        ControlNode& node = cluster.start(reborn);
        CPPUNIT_ASSERT(!node.keeper.getRevision());
        CPPUNIT_ASSERT(cluster.runUntil([&] { return node.keeper.getNumber() == 1; }, inForceWithin));
        CPPUNIT_ASSERT(node.adoptions.front().isFirst);
        CPPUNIT_ASSERT(node.adoptions.front().source == AdoptionSource::Peer);
        CPPUNIT_ASSERT(!node.adoptions.front().from.isEmpty());
    }

    void testOlderStoreIsReportedAndNotFollowed()
    {
        ControlCluster cluster(8, 4);
        cluster.store.publish(makeTestRevision(1));
        const auto older = cluster.store.entries;
        cluster.store.publish(makeTestRevision(2));
        CPPUNIT_ASSERT(cluster.settle(2));
        cluster.store.entries = older;
        cluster.runFor(seconds(60));
        CPPUNIT_ASSERT(cluster.allHave(2));
        std::int64_t reports = 0;
        for (const auto& [vm, node] : cluster.getNodes())
            reports += node->countEvents(ConfigurationEventKind::StoreOlder);
        CPPUNIT_ASSERT(reports > 0 && reports <= 8);
        // A store that has lost everything is no newer either.
        cluster.store.entries.clear();
        cluster.runFor(seconds(30));
        CPPUNIT_ASSERT(cluster.allHave(2));
        cluster.store.publish(makeTestRevision(3));
        CPPUNIT_ASSERT(cluster.runUntil([&] { return cluster.allHave(3); }, inForceWithin));
    }

    void testLostStoreAnswersCostLittle()
    {
        ControlCluster cluster(8, 5);
        cluster.store.publish(makeTestRevision(1));
        CPPUNIT_ASSERT(cluster.settle(1));
        // Every watch that now waits is never answered, as on a connection that went silent.
        cluster.store.isSilent = true;
        cluster.store.publish(makeTestRevision(2));
        cluster.runFor(Milliseconds(100));
        cluster.store.isSilent = false;
        CPPUNIT_ASSERT(cluster.runUntil([&] { return cluster.allHave(2); }, inForceWithin));
    }

    void testStoreComesBackAfterAnHour()
    {
        ControlCluster cluster(6, 6);
        cluster.store.publish(makeTestRevision(1));
        CPPUNIT_ASSERT(cluster.settle(1));
        cluster.store.isDown = true;
        cluster.runFor(seconds(3600));
        cluster.store.isDown = false;
        cluster.store.publish(makeTestRevision(2));
        CPPUNIT_ASSERT(cluster.runUntil([&] { return cluster.allHave(2); }, inForceWithin));
        cluster.runFor(inForceWithin);
        for (const auto& [vm, node] : cluster.getNodes()) {
            const std::int64_t told = node->countEvents(ConfigurationEventKind::StoreUnavailable);
            CPPUNIT_ASSERT(told <= 2); // Once for the revisions and once for the withdrawals.
            CPPUNIT_ASSERT_EQUAL(told, node->countEvents(ConfigurationEventKind::StoreAvailable));
        }
    }

    void testCutOffRegionCatchesUp()
    {
        ControlCluster cluster(20, 7);
        cluster.store.publish(makeTestRevision(1));
        CPPUNIT_ASSERT(cluster.settle(1));
        const RegionId cutOff("oriente");
        cluster.setBrokenLinks([&](const VmId& from, const VmId& to) {
            return (cluster.regionOf(from) == cutOff) != (cluster.regionOf(to) == cutOff);
        });
        cluster.store.isDown = true; // For the region cut off; the others get theirs from one of them.
        cluster.runFor(seconds(60));
        feed(cluster.at(cluster.members[0].vm).keeper, makeTestRevision(2));
        cluster.runFor(seconds(10));
        for (const Member& member : cluster.members) {
            const RevisionNumber expected = member.region == cutOff ? 1 : 2;
            CPPUNIT_ASSERT_EQUAL(expected, cluster.at(member.vm).keeper.getNumber());
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
        CPPUNIT_ASSERT(cluster.runUntil([&] { return cluster.allHave(2); }, inForceWithin));
    }

    void testRefusedRevisionStaysOut()
    {
        Keeper keeper = makeKeeper();
        feed(keeper, makeTestRevision(1));
        Revision bad = makeTestRevision(2);
        bad.documents["bad"] = "";
        bad.digest = digestOf(bad.documents);
        const ConfigurationOutput output = feed(keeper, bad);
        CPPUNIT_ASSERT(!output.adopted);
        CPPUNIT_ASSERT(output.events.front().kind == ConfigurationEventKind::RevisionRefused);
        CPPUNIT_ASSERT_EQUAL(RevisionNumber { 1 }, keeper.getNumber());
        CPPUNIT_ASSERT(keeper.handleAnnouncement(seconds(2), { 2, bad.digest }, VmId("other")).sends.empty());
        CPPUNIT_ASSERT(feed(keeper, makeTestRevision(3)).adopted.has_value());
    }

    void testConflictingDigestIsReported()
    {
        Keeper keeper = makeKeeper();
        const Revision revision = makeTestRevision(1);
        feed(keeper, revision);
        const auto output = keeper.handleAnnouncement(seconds(2), { 1, "another" }, VmId("other"));
        CPPUNIT_ASSERT(output.events.front().kind == ConfigurationEventKind::ConflictingDigest);
        CPPUNIT_ASSERT(output.sends.empty());
        CPPUNIT_ASSERT(*keeper.getRevision() == revision);
    }

    void testUnansweredPullGoesToAnother()
    {
        Keeper keeper = makeKeeper();
        const auto first = keeper.handleHeartbeat(seconds(1), 1, VmId("a"));
        CPPUNIT_ASSERT(first.sends.front().to == VmId("a"));
        CPPUNIT_ASSERT(keeper.handleHeartbeat(seconds(1), 1, VmId("b")).sends.empty());
        const auto second = keeper.tick(keeper.getNextDeadline());
        CPPUNIT_ASSERT(second.sends.front().to == VmId("b"));
        // The late answer of the first is not mixed into that of the second.
        const Revision revision = makeTestRevision(1);
        CPPUNIT_ASSERT(!keeper.handlePart(seconds(3), { makeWholeDelta(revision), 0, 1 }, VmId("a")).adopted);
        CPPUNIT_ASSERT(keeper.handlePart(seconds(3), { makeWholeDelta(revision), 0, 1 }, VmId("b")).adopted);
    }

    void testSmallChangeIsTakenUnasked()
    {
        Keeper keeper = makeKeeper();
        feed(keeper, makeTestRevision(1));
        keeper.setNeighbours({ VmId("a"), VmId("b") });
        const RevisionDelta delta = makeDelta(makeTestRevision(1), makeTestRevision(2));
        const auto output = keeper.handlePart(seconds(2), { delta, 0, 1 }, VmId("a"));
        CPPUNIT_ASSERT(output.adopted.has_value());
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, output.sends.size());
        CPPUNIT_ASSERT(std::get<RevisionPart>(output.sends.front().message).delta == delta);
        // One that starts elsewhere, or is damaged, only tells who to pull from.
        const RevisionDelta gap = makeDelta(makeTestRevision(3), makeTestRevision(4));
        const auto pulled = keeper.handlePart(seconds(2), { gap, 0, 1 }, VmId("b"));
        CPPUNIT_ASSERT(!pulled.adopted);
        CPPUNIT_ASSERT(std::get<RevisionPull>(pulled.sends.front().message).held == 2);
        RevisionDelta damaged = makeDelta(makeTestRevision(2), makeTestRevision(3));
        damaged.changed.front().body = "damage";
        CPPUNIT_ASSERT(!keeper.handlePart(seconds(2), { damaged, 0, 1 }, VmId("a")).adopted);
        CPPUNIT_ASSERT_EQUAL(RevisionNumber { 2 }, keeper.getNumber());
    }

    void testDamagedTransferIsPulledWholeFromAnother()
    {
        Keeper keeper = makeKeeper();
        feed(keeper, makeTestRevision(1));
        const Revision later = makeTestRevision(2);
        keeper.handleAnnouncement(seconds(2), { 2, later.digest }, VmId("a"));
        keeper.handleAnnouncement(seconds(2), { 2, later.digest }, VmId("b"));
        RevisionDelta delta = makeDelta(makeTestRevision(1), later);
        delta.changed.front().body += "damage";
        const auto output = keeper.handlePart(seconds(2), { delta, 0, 1 }, VmId("a"));
        CPPUNIT_ASSERT(!output.adopted);
        CPPUNIT_ASSERT(output.events.front().kind == ConfigurationEventKind::DamagedTransfer);
        CPPUNIT_ASSERT(output.sends.front().to == VmId("b"));
        CPPUNIT_ASSERT(std::get<RevisionPull>(output.sends.front().message).held == 0);
        CPPUNIT_ASSERT(keeper.handlePart(seconds(2), { makeWholeDelta(later), 0, 1 }, VmId("b")).adopted);
    }

    void testNumberNeverFallsUnderRandomFaults()
    {
        for (std::uint64_t seed = 1; seed <= 5; ++seed) {
            ControlCluster cluster(12, seed);
            std::mt19937_64 random(seed);
            std::map<std::string, StoreEntry> older;
            RevisionNumber published = 0;
            for (int round = 0; round < 60; ++round) {
                cluster.setLossProbability(round % 3 == 0 ? 0.3 : 0);
                cluster.store.isDown = random() % 4 == 0;
                cluster.store.isSilent = random() % 6 == 0;
                if (random() % 5 == 0)
                    cluster.store.entries.swap(older);
                if (random() % 2 == 0)
                    cluster.store.publish(makeTestRevision(++published));
                if (random() % 8 == 0)
                    older = cluster.store.entries;
                cluster.runFor(seconds(2));
            }
            cluster.setLossProbability(0);
            cluster.store.isDown = false;
            cluster.store.isSilent = false;
            cluster.store.publish(makeTestRevision(++published));
            CPPUNIT_ASSERT(cluster.runUntil([&] { return cluster.allHave(published); }, inForceWithin));
            for (const auto& [vm, node] : cluster.getNodes()) {
                for (std::size_t index = 1; index < node->adoptions.size(); ++index)
                    CPPUNIT_ASSERT(
                        node->adoptions[index - 1].revision->number < node->adoptions[index].revision->number);
            }
        }
    }

    void testCallsToTheStoreStayInBudget()
    {
        constexpr RevisionNumber changesAMinute = 2;
        constexpr std::int64_t minutes = 1;
        for (const int count : { 8, 320 }) {
            ControlCluster cluster(count, 9);
            cluster.store.publish(makeTestRevision(1));
            CPPUNIT_ASSERT(cluster.settle(1));
            for (const bool isDown : { false, true }) {
                cluster.store.calls.clear();
                cluster.store.isDown = isDown;
                for (RevisionNumber change = 0; change < changesAMinute * minutes; ++change) {
                    if (!isDown)
                        cluster.store.publish(makeTestRevision(change + 2));
                    cluster.runFor(seconds(30));
                }
                CPPUNIT_ASSERT(!cluster.store.calls.empty());
                CPPUNIT_ASSERT(cluster.store.calls.size() <= 3 * storeWatchersPerRegion);
                for (const auto& [vm, calls] : cluster.store.calls)
                    CPPUNIT_ASSERT(calls <= callsAMinute * minutes);
            }
        }
    }

    void testHistoryServesDeltasAndWholes()
    {
        const ConfigurationSettings settings;
        RevisionHistory history(settings.keptDeltas);
        for (RevisionNumber number = 1; number <= 100; ++number) {
            if (number != 90)
                history.add(std::make_shared<const Revision>(makeTestRevision(number, 5000)));
        }
        const auto join = [&](RevisionNumber held) {
            RevisionDelta whole;
            for (const RevisionPart& part : history.answer(held, settings.partBytes)) {
                std::size_t bytes = 0;
                for (const Document& document : part.delta.changed)
                    bytes += document.path.size() + document.body.size();
                CPPUNIT_ASSERT(bytes <= settings.partBytes);
                whole.changed.insert(whole.changed.end(), part.delta.changed.begin(), part.delta.changed.end());
                whole.from = part.delta.from;
                whole.to = part.delta.to;
                whole.digest = part.delta.digest;
            }
            return whole;
        };
        CPPUNIT_ASSERT(history.answer(100, settings.partBytes).empty());
        CPPUNIT_ASSERT_EQUAL(RevisionNumber { 0 }, join(1).from);
        CPPUNIT_ASSERT(applyDelta({}, join(1)).value() == makeTestRevision(100, 5000));
        // 90 is one that this VM never held.
        for (const RevisionNumber held : { 50, 90, 99 }) {
            CPPUNIT_ASSERT_EQUAL(held, join(held).from);
            CPPUNIT_ASSERT(applyDelta(makeTestRevision(held, 5000), join(held)).value() == makeTestRevision(100, 5000));
        }
    }

    void testUnknownSchemaIsSetAside()
    {
        ControlCluster cluster(3, 10);
        cluster.store.publish(makeTestRevision(1));
        CPPUNIT_ASSERT(cluster.settle(1));
        cluster.store.put(std::string(manifestKey), R"({"schema_version":2,"number":9,"digest":"d","parts":[]})");
        cluster.runFor(seconds(30));
        CPPUNIT_ASSERT(cluster.allHave(1));
        for (const auto& [vm, node] : cluster.getNodes()) {
            CPPUNIT_ASSERT_EQUAL(std::int64_t { 1 }, node->countEvents(ConfigurationEventKind::StoredValueSetAside));
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RevisionKeeperTest);

} // namespace papayashelf
