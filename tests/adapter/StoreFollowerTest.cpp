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
        , follower(this->context.get_executor(), store.getEndpoint(), "",
              { [this](const StoreItem& item) { this->items.push_back(item); },
                  [this](Milliseconds, std::int64_t revision) { this->confirmed.push_back(revision); },
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
    std::vector<std::int64_t> confirmed;

private:
    asio::io_context context;
    int logFile;
    DecisionLog log;

public:
    StoreFollower follower;
};

} // namespace

class StoreFollowerTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(StoreFollowerTest);
    CPPUNIT_TEST(testLogTellsThatTheStoreWasRestored);
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
};

CPPUNIT_TEST_SUITE_REGISTRATION(StoreFollowerTest);

} // namespace papayashelf
