#include "administration/administration.h"
#include "foundation/hashing/Sha256.h"
#include "platform/http/BlockingHttpCall.h"

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

    void testPortInUseIsAnError()
    {
        const Endpoint endpoint = this->server.start().value();
        AdministrationServer second(endpoint, KeyDigest(sha256Hex("secret")), echo);
        CPPUNIT_ASSERT(!second.start());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AdministrationServerTest);

} // namespace papayashelf
