#include "adapter/StoreConnection.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <cppunit/extensions/HelperMacros.h>
#include <thread>

namespace papayashelf {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

/** Accepts one connection and sends the reply to its first request in pieces, with a pause after each. */
class PiecewiseStore {
public:
    PiecewiseStore(std::vector<std::string> pieces, std::chrono::milliseconds pause)
        : acceptor(this->context, tcp::endpoint(asio::ip::address_v4::loopback(), 0))
        , thread([this, pieces = std::move(pieces), pause] { this->serve(pieces, pause); })
    {
    }

    ~PiecewiseStore() { this->thread.join(); }

    Endpoint endpoint() const { return { "127.0.0.1", this->acceptor.local_endpoint().port() }; }

private:
    void serve(const std::vector<std::string>& pieces, std::chrono::milliseconds pause)
    {
        boost::system::error_code ignored;
        tcp::socket socket = this->acceptor.accept(ignored);
        std::array<char, 1024> request {};
        socket.read_some(asio::buffer(request), ignored);
        for (const std::string& piece : pieces) {
            asio::write(socket, asio::buffer(piece), ignored);
            std::this_thread::sleep_for(pause);
        }
    }

    asio::io_context context;
    tcp::acceptor acceptor;
    std::thread thread;
};

std::optional<Outcome<StoreReply>> callOnce(const Endpoint& store, Milliseconds timeout)
{
    asio::io_context context;
    StoreEra era;
    StoreConnection connection(context.get_executor(), store, era);
    std::optional<Outcome<StoreReply>> reply;
    const auto run = [&]() -> asio::awaitable<void> {
        reply.emplace(co_await connection.call(boost::beast::http::verb::get, "/", std::nullopt, timeout));
    };
    asio::co_spawn(context, run, asio::detached);
    context.run();
    return reply;
}

std::string formatReply(int number)
{
    return "HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\n{\"n\":" + std::to_string(number) + "}";
}

/** Serves calls with numbered replies, and writes each reply again a moment later. */
class CopyingStore {
public:
    explicit CopyingStore(asio::io_context& context)
        : acceptor(context, tcp::endpoint(asio::ip::address_v4::loopback(), 0))
    {
        asio::co_spawn(context, this->accept(), asio::detached);
    }

    Endpoint endpoint() const { return { "127.0.0.1", this->acceptor.local_endpoint().port() }; }

private:
    asio::awaitable<void> accept()
    {
        while (true) {
            tcp::socket socket = co_await this->acceptor.async_accept(asio::use_awaitable);
            asio::co_spawn(this->acceptor.get_executor(), this->serve(std::move(socket)), asio::detached);
        }
    }

    asio::awaitable<void> serve(tcp::socket socket)
    {
        std::array<char, 1024> request {};
        while (true) {
            co_await socket.async_read_some(asio::buffer(request), asio::use_awaitable);
            const std::string reply = formatReply(++this->replies);
            co_await asio::async_write(socket, asio::buffer(reply), asio::use_awaitable);
            asio::steady_timer pause(socket.get_executor(), std::chrono::milliseconds(20));
            co_await pause.async_wait(asio::use_awaitable);
            co_await asio::async_write(socket, asio::buffer(reply), asio::use_awaitable);
        }
    }

    tcp::acceptor acceptor;
    int replies = 0;
};

} // namespace

class StoreConnectionTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(StoreConnectionTest);
    CPPUNIT_TEST(testReplyInProgressMayExceedTimeout);
    CPPUNIT_TEST(testMissingReplyFailsCall);
    CPPUNIT_TEST(testStalledReplyFailsCall);
    CPPUNIT_TEST(testOddItemLeavesTheOthersOfItsPageReadable);
    CPPUNIT_TEST(testCopyOfAReplyIsNotTakenForTheNextOne);
    CPPUNIT_TEST(testInterimReplyIsNotTakenForTheReply);
    CPPUNIT_TEST_SUITE_END();

public:
    void testReplyInProgressMayExceedTimeout()
    {
        // A watch that returns several long configurations over a slow link takes longer than the timeout. The timeout
        // covers only the wait until the reply begins.
        const std::string responseHeader = "HTTP/1.1 200 OK\r\nContent-Length: 12\r\n\r\n";
        PiecewiseStore store({ responseHeader, "{\"a\"", ":[1,",
                                 "2]}"
                                 "  " },
            std::chrono::milliseconds(200));
        const auto reply = callOnce(store.endpoint(), Milliseconds(300));
        CPPUNIT_ASSERT(reply && *reply);
        CPPUNIT_ASSERT_EQUAL(200, reply->value().status);
        CPPUNIT_ASSERT(reply->value().body.contains("a"));
    }

    void testMissingReplyFailsCall()
    {
        PiecewiseStore store({ "" }, std::chrono::milliseconds(900));
        const auto reply = callOnce(store.endpoint(), Milliseconds(200));
        CPPUNIT_ASSERT(reply && !*reply && reply->error().code == ErrorCode::OutcomeUnknown);
    }

    void testStalledReplyFailsCall()
    {
        // A connection that stops delivering data within a reply must not block the caller for ever.
        PiecewiseStore store(
            { "HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\n{", "", "" }, std::chrono::milliseconds(1'200));
        const auto startedAt = std::chrono::steady_clock::now();
        const auto reply = callOnce(store.endpoint(), Milliseconds(300));
        CPPUNIT_ASSERT(reply && !*reply && reply->error().code == ErrorCode::OutcomeUnknown);
        CPPUNIT_ASSERT(std::chrono::steady_clock::now() - startedAt < std::chrono::seconds(3));
    }

    void testCopyOfAReplyIsNotTakenForTheNextOne()
    {
        asio::io_context context;
        CopyingStore store(context);
        StoreEra era;
        StoreConnection connection(context.get_executor(), store.endpoint(), era);
        std::vector<std::int64_t> numbers;
        const auto run = [&]() -> asio::awaitable<void> {
            for (int call = 0; call < 3; ++call) {
                const auto reply
                    = co_await connection.call(boost::beast::http::verb::get, "/", std::nullopt, Milliseconds(1'000));
                CPPUNIT_ASSERT(reply);
                numbers.push_back(reply.value().body.at("n").to_number<std::int64_t>());
                asio::steady_timer pause(context, std::chrono::milliseconds(100));
                co_await pause.async_wait(asio::use_awaitable);
            }
            context.stop();
        };
        asio::co_spawn(context, run, asio::detached);
        context.run();
        CPPUNIT_ASSERT(numbers == (std::vector<std::int64_t> { 1, 2, 3 }));
    }

    void testInterimReplyIsNotTakenForTheReply()
    {
        PiecewiseStore store({ "HTTP/1.1 102 Processing\r\n\r\n", formatReply(1) }, std::chrono::milliseconds(50));
        const auto reply = callOnce(store.endpoint(), Milliseconds(300));
        CPPUNIT_ASSERT(reply && !*reply && reply->error().code == ErrorCode::OutcomeUnknown);
    }

    void testOddItemLeavesTheOthersOfItsPageReadable()
    {
        const std::string nested = std::string(100, '[') + std::string(100, ']');
        for (const std::string& odd : { std::string("7"), std::string("null"), std::string("[]"), std::string("{}"),
                 std::string(R"({"key":7})"), std::string(R"({"key":"k","revision":1e400,"value":""})"),
                 "{\"key\":\"k\xff\",\"revision\":1,\"value\":\"\"}" + std::string(), nested }) {
            const std::string good = R"({"key":"good","revision":1,"value":""})";
            std::string body = R"({"store_revision":1,"items":[)";
            body.append(odd).append(",").append(good).append("]}");
            PiecewiseStore store(
                { "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body },
                std::chrono::milliseconds(1));
            const auto reply = callOnce(store.endpoint(), Milliseconds(500));
            CPPUNIT_ASSERT_MESSAGE(odd, reply && *reply);
            const boost::json::array& items = reply->value().body.at("items").as_array();
            CPPUNIT_ASSERT_EQUAL_MESSAGE(odd, std::size_t { 2 }, items.size());
            CPPUNIT_ASSERT_MESSAGE(odd, items.at(1).as_object().at("key").as_string() == "good");
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StoreConnectionTest);

} // namespace papayashelf
