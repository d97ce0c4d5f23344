#include "platform/http/HttpConnection.h"

#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <cppunit/extensions/HelperMacros.h>
#include <memory>

namespace papayashelf {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

const std::string wholeAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}";

} // namespace

/** What follows an answer must not pass for the answer to the next call. */
class HttpConnectionTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(HttpConnectionTest);
    CPPUNIT_TEST(testConnectionWithBytesBehindAnAnswerIsNotReusable);
    CPPUNIT_TEST(testInterimAnswerIsNotTakenForTheAnswer);
    CPPUNIT_TEST_SUITE_END();

public:
    void testConnectionWithBytesBehindAnAnswerIsNotReusable()
    {
        this->exchange(wholeAnswer);
        CPPUNIT_ASSERT(this->result.answer && this->connection->isReusable());
        this->exchange(wholeAnswer + wholeAnswer);
        CPPUNIT_ASSERT(this->result.answer && !this->connection->isReusable());
    }

    void testInterimAnswerIsNotTakenForTheAnswer()
    {
        this->exchange("HTTP/1.1 102 Processing\r\n\r\n" + wholeAnswer);
        CPPUNIT_ASSERT(!this->result.answer && this->result.mayHaveArrived && !this->connection->isReusable());
    }

private:
    /** Makes a call over a new connection to a service that answers with the text. */
    void exchange(const std::string& text)
    {
        tcp::acceptor acceptor(this->context, tcp::endpoint(asio::ip::address_v4::loopback(), 0));
        const auto serve = [&]() -> asio::awaitable<void> {
            this->served = co_await acceptor.async_accept(asio::use_awaitable);
            std::array<char, 1024> request {};
            co_await this->served.async_read_some(asio::buffer(request), asio::use_awaitable);
            co_await asio::async_write(this->served, asio::buffer(text), asio::use_awaitable);
        };
        asio::co_spawn(this->context, serve, asio::detached);
        this->connection = std::make_shared<HttpConnection>(
            this->context, Endpoint { "127.0.0.1", acceptor.local_endpoint().port() });
        this->connection->exchange({}, Milliseconds(1'000), [this](HttpResult ended) {
            this->result = std::move(ended);
            this->context.stop();
        });
        this->context.restart();
        this->context.run();
    }

    asio::io_context context;
    tcp::socket served { this->context };
    std::shared_ptr<HttpConnection> connection;
    HttpResult result;
};

CPPUNIT_TEST_SUITE_REGISTRATION(HttpConnectionTest);

} // namespace papayashelf
