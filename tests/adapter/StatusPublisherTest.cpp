#include "adapter/StatusPublisher.h"

#include "adapter/RestorableStore.h"
#include "gateway/GatewayFixture.h"
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <cppunit/extensions/HelperMacros.h>
#include <unistd.h>

namespace papayashelf {

namespace asio = boost::asio;
using namespace gatewayfixture;

namespace {

constexpr std::chrono::seconds implausibleWait { 6 };
constexpr const char* key = "vm/vm-1";

/** So that a VM that stops changes its status only once. */
GatewaySettings makeLastingSettings()
{
    GatewaySettings settings = makeSettings();
    settings.bounds.stopGrace = Milliseconds::fromSeconds(3'600);
    return settings;
}

/** Runs the publisher of a VM that is ready. */
class StatusRun {
public:
    explicit StatusRun(RestorableStore& store)
        : log(STDOUT_FILENO)
        , core(makeLastingSettings(), "key", 1)
        , publisher(this->context.get_executor(), store.getEndpoint(), this->era, this->core, this->log)
    {
        this->core.applyConfiguration(makeDocument(1));
        asio::co_spawn(this->context, this->publisher.run(), asio::detached);
    }

    /** Returns false if the condition does not come true in an implausibly long time. */
    bool runUntil(const std::function<bool()>& condition)
    {
        const auto end = std::chrono::steady_clock::now() + implausibleWait;
        while (!condition() && std::chrono::steady_clock::now() < end)
            this->context.run_for(std::chrono::milliseconds(20));
        return condition();
    }

private:
    asio::io_context context;
    StoreEra era;
    DecisionLog log;

public:
    GatewayCore core;
    StatusPublisher publisher;
};

} // namespace

class StatusPublisherTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(StatusPublisherTest);
    CPPUNIT_TEST(testStatusIsWrittenAgainAfterARestoration);
    CPPUNIT_TEST(testLeaseOfAnEarlierEraIsNotRenewed);
    CPPUNIT_TEST(testStoppingVmReplacesItsRestoredStatus);
    CPPUNIT_TEST_SUITE_END();

public:
    void testStatusIsWrittenAgainAfterARestoration()
    {
        RestorableStore store;
        store.grantLease(); // The copy holds a lease of another VM.
        store.saveCopy();
        StatusRun run(store);
        CPPUNIT_ASSERT(run.runUntil([&] { return store.getValue(key).has_value(); }));
        store.restoreCopy();
        store.grantLease(); // It gets the id that this VM's lease had.
        CPPUNIT_ASSERT(run.runUntil([&] { return store.getValue(key).has_value(); }));
    }

    void testLeaseOfAnEarlierEraIsNotRenewed()
    {
        RestorableStore store;
        store.saveCopy();
        StatusRun run(store);
        CPPUNIT_ASSERT(run.runUntil([&] { return store.getValue(key).has_value(); }));
        store.restoreCopy();
        store.grantLease();
        run.runUntil([&] { return store.getLease(key) > 1; });
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 2 }, store.getLease(key));
        CPPUNIT_ASSERT(run.runUntil([&] { return store.countTargets("kv-keep/2") > 0; }));
        CPPUNIT_ASSERT(store.countTargets("kv-keep/1") <= 1);
    }

    void testStoppingVmReplacesItsRestoredStatus()
    {
        RestorableStore store;
        StatusRun run(store);
        CPPUNIT_ASSERT(run.runUntil([&] { return store.getValue(key).has_value(); }));
        store.saveCopy();
        const std::string ready = *store.getValue(key);
        run.core.beginStopping(Clock().now());
        CPPUNIT_ASSERT(run.runUntil([&] { return *store.getValue(key) != ready; }));
        store.restoreCopy();
        CPPUNIT_ASSERT(ready == *store.getValue(key));
        CPPUNIT_ASSERT(run.runUntil([&] { return *store.getValue(key) != ready; }));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StatusPublisherTest);

} // namespace papayashelf
