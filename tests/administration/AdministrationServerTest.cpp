#include "administration/administration.h"
#include "foundation/hashing/Sha256.h"
#include "platform/http/BlockingHttpCall.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <cppunit/extensions/HelperMacros.h>

namespace papayashelf {

namespace {

constexpr Milliseconds failureDeadline = Milliseconds::fromSeconds(20);

AdministrationAnswer echo(const AdministrationRequest& request)
{
    return AdministrationAnswer { 200, "text/plain",
        request.method + " " + request.path + " " + request.query + request.body };
}

} // namespace

class AdministrationServerTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(AdministrationServerTest);
    CPPUNIT_TEST(testAnswersOperatorWithKey);
    CPPUNIT_TEST(testRefusesWrongAndMissingKey);
    CPPUNIT_TEST(testRequestInsideTheBodyOfAnotherIsNotRun);
    CPPUNIT_TEST(testPortInUseIsAnError);
    CPPUNIT_TEST_SUITE_END();

    AdministrationServer server { Endpoint { "127.0.0.1", 0 }, KeyDigest(sha256Hex("secret")), echo };

    void testAnswersOperatorWithKey()
    {
        const Endpoint endpoint = this->server.start().value();
        const HttpCall call { "POST", "/v1/withdrawals?wait=1", "body", "secret" };
        const WireAnswer reply = blockingHttpCall(endpoint, call, failureDeadline).answer.value();
        CPPUNIT_ASSERT_EQUAL(200, reply.status);
        CPPUNIT_ASSERT_EQUAL(std::string("POST /v1/withdrawals wait=1body"), reply.body);
    }

    // A prefix and an extension of the key must be refused as well.
    void testRefusesWrongAndMissingKey()
    {
        const Endpoint endpoint = this->server.start().value();
        for (const std::string key : { "", "secre", "secretx" }) {
            const HttpCall call { "GET", "/v1/status", {}, key };
            const WireAnswer reply = blockingHttpCall(endpoint, call, failureDeadline).answer.value();
            CPPUNIT_ASSERT_EQUAL(401, reply.status);
        }
    }

    // The body of a request with an uncertain length was run as the next request on its connection.
    void testRequestInsideTheBodyOfAnotherIsNotRun()
    {
        const Endpoint endpoint = this->server.start().value();
        boost::asio::io_context context;
        boost::asio::ip::tcp::socket socket(context);
        socket.connect({ boost::asio::ip::make_address(endpoint.address), endpoint.port });
        const std::string key = "Host: a\r\nAuthorization: Bearer secret\r\n";
        const std::string text = "POST /outer HTTP/1.1\r\n" + key
            + "Transfer-Encoding: identity\r\n\r\nGET /inner HTTP/1.1\r\n" + key + "Connection: close\r\n\r\n";
        boost::asio::write(socket, boost::asio::buffer(text));
        std::string answer;
        boost::system::error_code ended;
        boost::asio::read(socket, boost::asio::dynamic_buffer(answer), ended);
        CPPUNIT_ASSERT_MESSAGE(answer, answer.starts_with("HTTP/1.1 400 "));
        CPPUNIT_ASSERT_MESSAGE(answer, answer.find("/inner") == std::string::npos);
    }

    void testPortInUseIsAnError()
    {
        const Endpoint endpoint = this->server.start().value();
        AdministrationServer second(endpoint, KeyDigest(sha256Hex("secret")), echo);
        CPPUNIT_ASSERT(!second.start());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AdministrationServerTest);

} // namespace papayashelf
