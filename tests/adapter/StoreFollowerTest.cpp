#include "adapter/StoreFollower.h"

#include "adapter/RestorableStore.h"
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <cppunit/extensions/HelperMacros.h>
#include <sys/mman.h>
#include <unistd.h>

namespace papayashelf {

namespace asio = boost::asio;

namespace {

constexpr std::chrono::seconds implausibleWait { 6 };

/** Runs a follower against a store and keeps what it reports. */
class FollowerRun {
public:
    explicit FollowerRun(RestorableStore& store, bool hasShortWatches = true)
        : logFile(::memfd_create("log", 0))
        , log(this->logFile)
        , follower(this->context.get_executor(), store.getEndpoint(), this->era, "",
              { [this](const StoreItem& item) { this->items.push_back(item); }, [](StorePosition) {},
                  [](StorePosition) {},
                  [this](Milliseconds sentAt, StorePosition position) {
                      this->confirmed.push_back(position.revision);
                      this->confirmedTimes.push_back(sentAt);
                  },
                  [hasShortWatches] { return hasShortWatches; } },
              this->log)
    {
        asio::co_spawn(this->context, this->follower.run(), asio::detached);
    }

    ~FollowerRun() { ::close(this->logFile); }

    /** Returns false if the condition does not come true in an implausibly long time. */
    bool runUntil(const std::function<bool()>& condition)
    {
        const auto end = std::chrono::steady_clock::now() + implausibleWait;
        while (!condition() && std::chrono::steady_clock::now() < end)
            this->context.run_for(std::chrono::milliseconds(20));
        return condition();
    }

    void runFor(std::chrono::milliseconds duration) { this->context.run_for(duration); }

    bool runUntilConfirmed(std::size_t times = 1)
    {
        const std::size_t count = this->confirmed.size() + times;
        return this->runUntil([&] { return this->confirmed.size() >= count; });
    }

    bool hasReported(const std::string& key, const std::string& value) const
    {
        return std::any_of(this->items.begin(), this->items.end(),
            [&](const StoreItem& item) { return item.key == key && item.value == value; });
    }

    std::string readLog()
    {
        this->log.flush();
        std::string text(static_cast<std::size_t>(::lseek(this->logFile, 0, SEEK_END)), '\0');
        text.resize(static_cast<std::size_t>(::pread(this->logFile, text.data(), text.size(), 0)));
        return text;
    }

    std::vector<StoreItem> items;
    std::vector<std::int64_t> confirmed; /**< Revisions. */
    std::vector<Milliseconds> confirmedTimes; /**< By the same index, the time as of which each was confirmed. */

private:
    asio::io_context context;
    StoreEra era;
    int logFile;
    DecisionLog log;

public:
    StoreFollower follower;
};

} // namespace

class StoreFollowerTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(StoreFollowerTest);
    CPPUNIT_TEST(testLogTellsThatTheStoreWasRestored);
    CPPUNIT_TEST(testConfigurationWrittenAgainWithLowerRevisionIsApplied);
    CPPUNIT_TEST(testWatchThatAnswersAfterARestorationIsFollowedByAFullRead);
    CPPUNIT_TEST(testLateReplyOfAnEarlierEraIsIgnored);
    CPPUNIT_TEST(testPagesOfTwoErasAreNotOneRead);
    CPPUNIT_TEST(testItemsLostWithTheCopyAreNotRemoved);
    CPPUNIT_TEST(testPageWithUnreadableLastItemEnds);
    CPPUNIT_TEST(testPageThatEndsWithAnOddKeyIsFollowedByTheNextOne);
    CPPUNIT_TEST(testImpossibleRevisionDoesNotEndTheFollower);
    CPPUNIT_TEST(testReplyThatLeavesChangesOutConfirmsNothing);
    CPPUNIT_TEST(testConfirmationsBetweenSlowChangesHold);
    CPPUNIT_TEST(testFastChangesInBoundedRepliesAreFollowed);
    CPPUNIT_TEST(testFastChangesAreConfirmedAllTheTime);
    CPPUNIT_TEST(testReplyThatIsTooLargeIsFollowedByAFullRead);
    CPPUNIT_TEST(testFewChangesAfterAnOutageAreFollowed);
    CPPUNIT_TEST_SUITE_END();

public:
    void testLogTellsThatTheStoreWasRestored()
    {
        RestorableStore store;
        store.write("op/config", "old");
        store.saveCopy();
        store.write("op/config", "new");
        FollowerRun run(store);
        CPPUNIT_ASSERT(run.runUntilConfirmed());
        store.restoreCopy();
        store.write("servers/other", "entry");
        CPPUNIT_ASSERT(run.runUntilConfirmed(2));
        CPPUNIT_ASSERT(contains(run.readLog(), "\"store_restored\""));
        CPPUNIT_ASSERT(contains(run.readLog(), "\"era_before\":1,\"era\":2,\"revision_before\":32"));
    }

    void testConfigurationWrittenAgainWithLowerRevisionIsApplied()
    {
        RestorableStore store;
        store.write("op/config", "first");
        store.saveCopy();
        for (const char* version : { "second", "third", "fourth" })
            store.write("op/config", version);
        FollowerRun run(store);
        CPPUNIT_ASSERT(run.runUntilConfirmed());
        store.restoreCopy();
        store.write("op/config", "fifth");
        CPPUNIT_ASSERT(run.runUntil([&] { return run.hasReported("op/config", "fifth"); }));
        store.write("op/config", "sixth");
        CPPUNIT_ASSERT(run.runUntil([&] { return run.hasReported("op/config", "sixth"); }));
    }

    void testWatchThatAnswersAfterARestorationIsFollowedByAFullRead()
    {
        RestorableStore store;
        store.saveCopy();
        store.write("servers/one", "first");
        FollowerRun run(store);
        CPPUNIT_ASSERT(run.runUntilConfirmed());
        store.restoreCopy();
        store.write("op/config", "within the revisions of the earlier era");
        for (int number = 0; number < 5; ++number)
            store.write("servers/two", "entry");
        CPPUNIT_ASSERT(
            run.runUntil([&] { return run.hasReported("op/config", "within the revisions of the earlier era"); }));
    }

    void testLateReplyOfAnEarlierEraIsIgnored()
    {
        RestorableStore store;
        store.write("op/config", "current");
        store.saveCopy();
        FollowerRun run(store);
        CPPUNIT_ASSERT(run.runUntilConfirmed());
        store.restoreCopy();
        CPPUNIT_ASSERT(run.runUntilConfirmed(2));
        store.scriptReply("kv-watch",
            { 1, 200, R"({"events":[{"key":"servers/x","value":"eA==","revision":90}],"store_revision":90})" });
        CPPUNIT_ASSERT(run.runUntilConfirmed(2));
        CPPUNIT_ASSERT(!run.hasReported("servers/x", "x"));
        CPPUNIT_ASSERT(std::all_of(
            run.confirmed.begin(), run.confirmed.end(), [](std::int64_t revision) { return revision < 90; }));
    }

    void testPagesOfTwoErasAreNotOneRead()
    {
        RestorableStore store;
        store.saveCopy();
        store.restoreCopy();
        store.write("op/config", "current");
        store.write("servers/a", "a");
        store.scriptReply("kv-range",
            { 1, 200,
                R"({"items":[{"key":"servers/a","value":"eA==","revision":90}],"store_revision":90,"truncated":true})" });
        FollowerRun run(store);
        CPPUNIT_ASSERT(run.runUntilConfirmed());
        CPPUNIT_ASSERT(run.hasReported("servers/a", "a"));
        CPPUNIT_ASSERT(run.confirmed.front() < 90);
    }

    void testItemsLostWithTheCopyAreNotRemoved()
    {
        RestorableStore store;
        store.saveCopy();
        store.write("servers/one", "entry");
        FollowerRun run(store);
        CPPUNIT_ASSERT(run.runUntilConfirmed());
        store.restoreCopy();
        CPPUNIT_ASSERT(run.runUntilConfirmed(2));
        CPPUNIT_ASSERT(std::none_of(run.items.begin(), run.items.end(),
            [](const StoreItem& item) { return item.state == StoreItemState::Removed; }));
    }

    void testPageWithUnreadableLastItemEnds()
    {
        RestorableStore store;
        store.write("z/last", "entry");
        store.scriptReply("kv-range",
            { 1, 200,
                R"({"items":[{"key":"op/config","value":"eA==","revision":3},{"key":"servers/x","value":7,"revision":4}],)"
                R"("store_revision":31,"truncated":true})" });
        FollowerRun run(store);
        CPPUNIT_ASSERT(run.runUntilConfirmed());
        CPPUNIT_ASSERT_EQUAL(1, store.countTargets("after=servers/x"));
    }

    void testPageThatEndsWithAnOddKeyIsFollowedByTheNextOne()
    {
        RestorableStore store;
        store.write("z/last", "entry");
        store.scriptReply("kv-range",
            { 1, 200,
                R"({"items":[{"key":"servers/a b&c#%\r\n","value":"eA==","revision":4}],)"
                R"("store_revision":31,"truncated":true})" });
        FollowerRun run(store);
        CPPUNIT_ASSERT(run.runUntilConfirmed());
        CPPUNIT_ASSERT_EQUAL(1, store.countTargets("after=servers/a%20b%26c%23%25%0D%0A"));
    }

    void testImpossibleRevisionDoesNotEndTheFollower()
    {
        RestorableStore store;
        store.write("op/config", "first");
        store.scriptReply("kv-range", { 1, 200, R"({"items":[],"store_revision":1e30,"truncated":false})" });
        FollowerRun run(store);
        CPPUNIT_ASSERT(run.runUntilConfirmed());
        store.scriptReply("kv-watch", { 1, 200, R"({"events":[],"store_revision":31.5})" });
        CPPUNIT_ASSERT(run.runUntilConfirmed(3));
    }

    void testReplyThatLeavesChangesOutConfirmsNothing()
    {
        RestorableStore store;
        store.write("op/config", "first");
        FollowerRun run(store);
        CPPUNIT_ASSERT(run.runUntilConfirmed());
        store.setMaximumChanges(1);
        const std::vector<Write> writes
            = this->writeAtIntervals(store, run, "entry", 40, std::chrono::milliseconds(30));
        CPPUNIT_ASSERT(run.runUntil([&] { return run.hasReported("op/config", "entry 40"); }));
        CPPUNIT_ASSERT(run.runUntilConfirmed());
        this->checkConfirmations(run, writes);
    }

    void testConfirmationsBetweenSlowChangesHold()
    {
        for (const bool hasShortWatches : { true, false }) {
            RestorableStore store;
            store.write("op/config", "first");
            FollowerRun run(store, hasShortWatches);
            CPPUNIT_ASSERT(run.runUntilConfirmed());
            const std::vector<Write> writes
                = this->writeAtIntervals(store, run, "entry", 4, std::chrono::milliseconds(400));
            CPPUNIT_ASSERT(run.runUntil([&] { return run.hasReported("op/config", "entry 4"); }));
            this->checkConfirmations(run, writes);
        }
    }

    void testFastChangesInBoundedRepliesAreFollowed()
    {
        this->checkFollows(std::string(largeBytes, 'x'), false);
        this->checkFollows("small", true);
    }

    void testFastChangesAreConfirmedAllTheTime()
    {
        RestorableStore store;
        store.write("op/config", "first");
        FollowerRun run(store);
        CPPUNIT_ASSERT(run.runUntilConfirmed());
        const std::vector<Write> writes
            = this->writeAtIntervals(store, run, "entry", 150, std::chrono::milliseconds(20));
        this->checkConfirmations(run, writes);
        for (std::size_t index = 1; index < run.confirmedTimes.size(); ++index)
            CPPUNIT_ASSERT(run.confirmedTimes[index] - run.confirmedTimes[index - 1] < longestUnconfirmed);
        CPPUNIT_ASSERT(Clock().now() - run.confirmedTimes.back() < longestUnconfirmed);
    }

    void testReplyThatIsTooLargeIsFollowedByAFullRead()
    {
        RestorableStore store;
        store.write("op/config", "first");
        FollowerRun run(store);
        CPPUNIT_ASSERT(run.runUntilConfirmed());
        store.setAway(true);
        CPPUNIT_ASSERT(run.runUntil([&] { return contains(run.readLog(), "store_lost"); }));
        constexpr int count = 40;
        for (int number = 1; number <= count; ++number)
            store.write("op/config", std::string(largeBytes, 'x') + " " + std::to_string(number));
        store.setAway(false);
        CPPUNIT_ASSERT(
            run.runUntil([&] { return run.hasReported("op/config", std::string(largeBytes, 'x') + " 40"); }));
        CPPUNIT_ASSERT(run.runUntil([&] { return contains(run.readLog(), "store_read_anew"); }));
    }

    void testFewChangesAfterAnOutageAreFollowed()
    {
        RestorableStore store;
        for (int number = 0; number < 20; ++number)
            store.write("servers/" + std::to_string(number), "entry");
        FollowerRun run(store);
        CPPUNIT_ASSERT(run.runUntilConfirmed());
        store.write("servers/1", "before");
        CPPUNIT_ASSERT(run.runUntil([&] { return run.hasReported("servers/1", "before"); }));
        store.setAway(true);
        CPPUNIT_ASSERT(run.runUntil([&] { return contains(run.readLog(), "store_lost"); }));
        store.write("servers/1", "first");
        store.write("servers/1", "second");
        store.setAway(false);
        CPPUNIT_ASSERT(run.runUntil([&] { return run.hasReported("servers/1", "second"); }));
        CPPUNIT_ASSERT(run.runUntilConfirmed());
        CPPUNIT_ASSERT(run.hasReported("servers/1", "first"));
        CPPUNIT_ASSERT(!contains(run.readLog(), "store_read_anew"));
    }

private:
    static constexpr std::size_t largeBytes = 250'000;
    /** Age of its view from which on a VM asks the store for itself, as nobody confirms its view. */
    static constexpr Milliseconds longestUnconfirmed { 2'800 };
    /** Time in which a change has to be in force at each VM. */
    static constexpr Milliseconds longestLag { 4'000 };

    struct Write {
        Milliseconds at;
        std::int64_t revision = 0;
    };

    /** Writes "VALUE 1", "VALUE 2" and so on as the configuration while the follower runs. */
    std::vector<Write> writeAtIntervals(RestorableStore& store, FollowerRun& run, const std::string& value, int count,
        std::chrono::milliseconds interval)
    {
        std::vector<Write> writes;
        for (int number = 1; number <= count; ++number) {
            writes.push_back({ Clock().now(), store.write("op/config", value + " " + std::to_string(number)) });
            run.runFor(interval);
        }
        return writes;
    }

    void checkFollows(const std::string& value, bool hasShortWatches)
    {
        constexpr int changes = 40;
        RestorableStore store;
        store.write("op/config", value);
        FollowerRun run(store, hasShortWatches);
        CPPUNIT_ASSERT(run.runUntilConfirmed());
        store.setMaximumChanges(1);
        this->writeAtIntervals(store, run, value, changes, std::chrono::milliseconds(100));
        const Milliseconds writtenAt = Clock().now();
        CPPUNIT_ASSERT(
            run.runUntil([&] { return run.hasReported("op/config", value + " " + std::to_string(changes)); }));
        CPPUNIT_ASSERT(Clock().now() - writtenAt < longestLag);
        // Most of what was replaced in the meantime was not worth reading.
        CPPUNIT_ASSERT(run.items.size() < changes * 3 / 4);
    }

    /** Each confirmation must hold every change that was made before the time that it names. */
    void checkConfirmations(const FollowerRun& run, const std::vector<Write>& writes)
    {
        for (std::size_t index = 0; index < run.confirmed.size(); ++index) {
            for (const Write& write : writes)
                CPPUNIT_ASSERT(write.at >= run.confirmedTimes[index] || write.revision <= run.confirmed[index]);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StoreFollowerTest);

} // namespace papayashelf
