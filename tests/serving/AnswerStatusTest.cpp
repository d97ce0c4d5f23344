#include "serving/GatewayFleet.h"
#include "serving/RawUpstream.h"

#include <cppunit/extensions/HelperMacros.h>

namespace papayashelf {

/** Answers with a status that HTTP does not have. */
class AnswerStatusTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(AnswerStatusTest);
    CPPUNIT_TEST(testAnswerWithImpossibleStatusIsNotForwarded);
    CPPUNIT_TEST(testRelayedAnswerWithImpossibleStatusIsNotForwarded);
    CPPUNIT_TEST_SUITE_END();

public:
    void testAnswerWithImpossibleStatusIsNotForwarded() { this->checkStatuses({ "north" }); }
    void testRelayedAnswerWithImpossibleStatusIsNotForwarded() { this->checkStatuses({ "south", "north" }); }

private:
    void checkStatuses(const std::vector<std::string>& regions)
    {
        for (const std::string status : { "000", "001", "099", "600", "999" }) {
            RawUpstream upstream("HTTP/1.1 " + status
                + " Odd\r\nAttempt-Id: {id}\r\nResponse-Seal: seal\r\nContent-Length: 4\r\n\r\nbody");
            GatewayFleet fleet(regions);
            fleet.addUpstreamAt(upstream.getEndpoint());
            fleet.start();
            for (const char* path : { "/again/x", "/once/x" }) {
                const RawAnswer answer = fleet.upload(0, path, status + path, "body");
                // The gateway's own: as failed, or as not run while the only upstream is suspect.
                const bool isOwnFailure = answer.getStatus() == 502 || answer.getStatus() == 503;
                CPPUNIT_ASSERT_MESSAGE(status + ": " + answer.text, isOwnFailure && !answer.has("Response-Seal"));
            }
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AnswerStatusTest);

} // namespace papayashelf
