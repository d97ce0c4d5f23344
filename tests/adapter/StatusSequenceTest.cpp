#include "adapter/StatusPublisher.h"

#include "adapter/Decoding.h"
#include "standins/engine/StandinHttp.h"
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/json/parse.hpp>
#include <cppunit/extensions/HelperMacros.h>
#include <fcntl.h>
#include <unistd.h>

namespace papayashelf {

namespace asio = boost::asio;

namespace {

/** Returns the statuses in the store's transactions. */
std::vector<VmAnnouncement> getWrittenStatuses(const std::vector<StandinRequest>& requests)
{
    std::vector<VmAnnouncement> statuses;
    for (const StandinRequest& request : requests) {
        if (!request.target.ends_with("/-/kv-txn"))
            continue;
        const boost::json::value body = boost::json::parse(request.body);
        boost::json::object entry = body.at("set_keys").at(0).as_object();
        entry["revision"] = 1;
        statuses.push_back(decodeVmAnnouncement(decodeItem(entry).value().value).value());
    }
    return statuses;
}

} // namespace

class StatusSequenceTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(StatusSequenceTest);
    CPPUNIT_TEST(testEachWrittenStatusHasAHigherSequence);
    CPPUNIT_TEST_SUITE_END();

public:
    void testEachWrittenStatusHasAHigherSequence()
    {
        const int sink = ::open("/dev/null", O_WRONLY);
        std::vector<VmAnnouncement> statuses;
        {
            StandinHttp store(Endpoint { "127.0.0.1", 0 });
            const Endpoint endpoint = store.start([](const StandinHttp::Request& request, StandinHttp::Stream& stream) {
                return StandinHttp::answer(stream, request, 200, R"({"lease":41,"ttl_ms":5000,"revision":7})");
            });
            asio::io_context context;
            DecisionLog log(sink);
            GatewaySettings settings;
            settings.vm = VmId("vm-1");
            settings.listeners.callers = settings.listeners.relays = Endpoint { "127.0.0.1", 8501 };
            GatewayCore core(settings, "key", 1);
            core.applyConfiguration(ServingDocument {});
            StoreEra era;
            StatusPublisher publisher(context.get_executor(), endpoint, era, core, log);
            asio::co_spawn(context, publisher.run(), asio::detached);
            const auto runUntilWritten = [&](std::size_t count) {
                const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(10);
                while (getWrittenStatuses(store.getRequests()).size() < count && std::chrono::steady_clock::now() < end)
                    context.run_for(std::chrono::milliseconds(20));
            };
            runUntilWritten(1);
            // The next check finds an unchanged status, which is not written again.
            context.run_for(std::chrono::milliseconds(700));
            core.beginStopping(Clock().now());
            runUntilWritten(2);
            statuses = getWrittenStatuses(store.getRequests());
        }
        ::close(sink);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 2 }, statuses.size());
        CPPUNIT_ASSERT(statuses.front().isReady && !statuses.back().isReady);
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 1 }, statuses.front().sequence);
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 2 }, statuses.back().sequence);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StatusSequenceTest);

} // namespace papayashelf
