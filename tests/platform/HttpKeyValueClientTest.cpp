#include "platform/http/HttpKeyValueClient.h"
#include "platform/http/BlockingHttpCall.h"
#include "platform/http/BlockingKeyValueClient.h"
#include "platform/http/HttpVmListClient.h"
#include "standins/network/ClosedPort.h"
#include "standins/platform/StandinPlatform.h"

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <cppunit/extensions/HelperMacros.h>
#include <optional>
#include <thread>

namespace papayashelf {

namespace {

constexpr Milliseconds longTimeout { 30'000 };
constexpr Milliseconds shortTimeout { 50 };

StoreRequest get(const std::string& key)
{
    return { StoreOperation::Get, key, {}, 0, {} };
}

StoreRequest swap(const std::string& key, const std::string& value, StoreVersion expected)
{
    return { StoreOperation::CompareAndSwap, key, value, expected, {} };
}

/** A client and a stand-in that share one context. */
struct Fixture {
    Fixture()
        : platform(context)
        , service(platform.listen({ "127.0.0.1", 0 }).value())
        , client(std::make_unique<HttpKeyValueClient>(context, service))
    {
    }

    StoreReply call(const StoreRequest& request, Milliseconds timeout = longTimeout)
    {
        std::optional<StoreReply> received;
        this->client->call(request, timeout, [&received](StoreReply reply) { received = std::move(reply); });
        while (!received)
            this->context.run_one();
        return *received;
    }

    boost::asio::io_context context;
    StandinPlatform platform;
    Endpoint service;
    std::unique_ptr<HttpKeyValueClient> client;
};

/** Takes one connection, reads some bytes of a call, sends the given text and closes. */
struct AbruptServer {
    explicit AbruptServer(boost::asio::io_context& context, std::string answer)
        : answer(std::move(answer))
        , acceptor(context, { boost::asio::ip::make_address("127.0.0.1"), 0 })
        , socket(context)
    {
        this->acceptor.async_accept(this->socket, [this](const boost::system::error_code&) { this->read(); });
    }

    void read()
    {
        this->socket.async_read_some(
            boost::asio::buffer(this->received), [this](const boost::system::error_code&, std::size_t) {
                boost::system::error_code ignored;
                boost::asio::write(this->socket, boost::asio::buffer(this->answer), ignored);
                this->socket.close();
            });
    }

    Endpoint endpoint() const { return { "127.0.0.1", this->acceptor.local_endpoint().port() }; }

    std::string answer;
    std::array<char, 4096> received {};
    boost::asio::ip::tcp::acceptor acceptor;
    boost::asio::ip::tcp::socket socket;
};

} // namespace

class HttpKeyValueClientTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(HttpKeyValueClientTest);
    CPPUNIT_TEST(testCallsReachTheService);
    CPPUNIT_TEST(testWatchWaitsBesideOtherCalls);
    CPPUNIT_TEST(testNothingListeningIsUnavailable);
    CPPUNIT_TEST(testLostAnswerOfAWriteIsUnknown);
    CPPUNIT_TEST(testCutAnswerOfAWriteIsUnknown);
    CPPUNIT_TEST(testSilentServiceTimesOut);
    CPPUNIT_TEST(testOutageIsWithoutEffect);
    CPPUNIT_TEST(testConnectionClosedMeanwhileIsReplaced);
    CPPUNIT_TEST(testCloseEndsCallsUnderWay);
    CPPUNIT_TEST(testVmListWithLag);
    CPPUNIT_TEST(testBlockingClient);
    CPPUNIT_TEST_SUITE_END();

    void testCallsReachTheService()
    {
        Fixture fixture;
        const std::string value = "{\"a\":\"ñ\\n\"}";
        CPPUNIT_ASSERT_EQUAL(StoreVersion { 1 }, fixture.call(swap("k", value, 0)).value().front().version);
        CPPUNIT_ASSERT((StoreEntry { "k", value, 1 }) == fixture.call(get("k")).value().front());
        CPPUNIT_ASSERT(ErrorCode::Conflict == fixture.call(swap("k", "x", 0)).error().code);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, fixture.call({ StoreOperation::List, "", {}, 0, {} }).value().size());
        const std::string large(maximumStoreValueBytes, 'x');
        CPPUNIT_ASSERT(fixture.call(swap("k", large, 1)));
        CPPUNIT_ASSERT(large == fixture.call(get("k")).value().front().value);
        CPPUNIT_ASSERT(ErrorCode::TooLarge == fixture.call(swap("k", large + "x", 2)).error().code);
        CPPUNIT_ASSERT(fixture.call({ StoreOperation::Remove, "k", {}, 2, {} }));
    }

    void testWatchWaitsBesideOtherCalls()
    {
        Fixture fixture;
        std::optional<StoreReply> watched;
        fixture.client->call({ StoreOperation::Watch, "k", {}, 0, longTimeout }, longTimeout,
            [&watched](StoreReply reply) { watched = std::move(reply); });
        CPPUNIT_ASSERT(fixture.call(get("other")));
        CPPUNIT_ASSERT(!watched);
        CPPUNIT_ASSERT(fixture.call(swap("k", "a", 0)));
        while (!watched)
            fixture.context.run_one();
        CPPUNIT_ASSERT_EQUAL(std::string("a"), watched->value().front().value);
    }

    void testNothingListeningIsUnavailable()
    {
        const ClosedPort closed;
        Fixture fixture;
        fixture.client = std::make_unique<HttpKeyValueClient>(fixture.context, closed.getEndpoint());
        CPPUNIT_ASSERT(ErrorCode::Unavailable == fixture.call(swap("k", "a", 0)).error().code);
    }

    void testLostAnswerOfAWriteIsUnknown()
    {
        Fixture fixture;
        FakeStoreFaults faults;
        faults.lostAnswers = 1;
        fixture.platform.store().setFaults(faults);
        CPPUNIT_ASSERT(ErrorCode::OutcomeUnknown == fixture.call(swap("k", "a", 0)).error().code);
        CPPUNIT_ASSERT_EQUAL(std::string("a"), fixture.call(get("k")).value().front().value);
    }

    void testCutAnswerOfAWriteIsUnknown()
    {
        const std::string head = "HTTP/1.1 200 OK\r\nContent-Length: 90\r\n\r\n{\"entries\":[";
        for (const StoreRequest& request : { swap("k", "a", 0), get("k") }) {
            Fixture fixture;
            AbruptServer server(fixture.context, head);
            fixture.client = std::make_unique<HttpKeyValueClient>(fixture.context, server.endpoint());
            const ErrorCode expected
                = request.operation == StoreOperation::Get ? ErrorCode::Unavailable : ErrorCode::OutcomeUnknown;
            CPPUNIT_ASSERT(expected == fixture.call(request).error().code);
        }
    }

    void testSilentServiceTimesOut()
    {
        Fixture fixture;
        FakeStoreFaults faults;
        faults.isSilent = true;
        fixture.platform.store().setFaults(faults);
        CPPUNIT_ASSERT(ErrorCode::Unavailable == fixture.call(get("k"), shortTimeout).error().code);
        CPPUNIT_ASSERT(ErrorCode::OutcomeUnknown == fixture.call(swap("k", "a", 0), shortTimeout).error().code);
        fixture.platform.store().setFaults({});
        CPPUNIT_ASSERT(fixture.call(get("k")));
    }

    void testOutageIsWithoutEffect()
    {
        Fixture fixture;
        FakeStoreFaults faults;
        faults.isOut = true;
        fixture.platform.store().setFaults(faults);
        CPPUNIT_ASSERT(ErrorCode::Unavailable == fixture.call(swap("k", "a", 0)).error().code);
        fixture.platform.store().setFaults({});
        CPPUNIT_ASSERT_EQUAL(StoreVersion { 0 }, fixture.call(get("k")).value().front().version);
    }

    void testConnectionClosedMeanwhileIsReplaced()
    {
        Fixture fixture;
        CPPUNIT_ASSERT(fixture.call(get("k")));
        // The service restarts on the same port: the kept connection is dead, a write must not suffer from it.
        StandinPlatform restarted(fixture.context);
        fixture.platform.close();
        CPPUNIT_ASSERT(restarted.listen(fixture.service));
        fixture.context.poll();
        CPPUNIT_ASSERT(fixture.call(swap("k", "a", 0)));
        CPPUNIT_ASSERT_EQUAL(std::string("a"), fixture.call(get("k")).value().front().value);
    }

    void testCloseEndsCallsUnderWay()
    {
        Fixture fixture;
        const Milliseconds oneHour = Milliseconds::fromSeconds(3600);
        int ended = 0;
        fixture.client->call({ StoreOperation::Watch, "k", {}, 0, oneHour }, oneHour,
            [&ended](const StoreReply& reply) { ended += reply.error().code == ErrorCode::Closed ? 1 : 0; });
        CPPUNIT_ASSERT(fixture.call(get("other")));
        fixture.client->close();
        fixture.client->call(get("k"), longTimeout,
            [&ended](const StoreReply& reply) { ended += reply.error().code == ErrorCode::Closed ? 1 : 0; });
        while (ended < 2)
            fixture.context.run_one();
    }

    void testVmListWithLag()
    {
        Fixture fixture;
        const VmList list { { VmId("vm-1"), RegionId("altiplano"), FailureDomainId("a"), "10.0.0.1", true } };
        fixture.platform.vms().set(list, Clock().now());
        fixture.platform.vms().setLag(Milliseconds::fromSeconds(3600));
        fixture.platform.vms().set({}, Clock().now());
        HttpVmListClient client(fixture.context, fixture.service);
        std::optional<Outcome<VmList>> received;
        client.read(longTimeout, [&received](Outcome<VmList> outcome) { received = std::move(outcome); });
        while (!received)
            fixture.context.run_one();
        CPPUNIT_ASSERT(list == received->value());
    }

    void testBlockingClient()
    {
        Fixture fixture;
        std::thread service([&fixture] {
            const auto work = boost::asio::make_work_guard(fixture.context);
            fixture.context.run();
        });
        BlockingKeyValueClient client(fixture.service, longTimeout);
        const StoreReply written = client.call(swap("k", "a", 0));
        const HttpResult faults
            = blockingHttpCall(fixture.service, { "POST", "/control/faults", R"({"is_out":true})", {} }, longTimeout);
        const StoreReply refused = client.call(get("k"));
        fixture.context.stop();
        service.join();
        CPPUNIT_ASSERT(written);
        CPPUNIT_ASSERT_EQUAL(200, faults.answer.value().status);
        CPPUNIT_ASSERT(ErrorCode::Unavailable == refused.error().code);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HttpKeyValueClientTest);

} // namespace papayashelf
