#include "serving/GatewayFleet.h"
#include "serving/RawUpstream.h"

#include <cppunit/extensions/HelperMacros.h>

namespace papayashelf {

namespace {

constexpr int uploads = 12;
constexpr std::size_t uploadBytes = 3 * mebibyte;
const std::string partOfAnswer
    = "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nResponse-Seal: seal\r\nConnection: close\r\n\r\npart of a body";

} // namespace

/** Answers whose body only the end of the connection delimits, on connections that are reset during an upload. */
class ResetWhileUploadingTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(ResetWhileUploadingTest);
    CPPUNIT_TEST(testPartOfAnAnswerIsNotCompleteAfterAReset);
    CPPUNIT_TEST(testPartOfARelayedAnswerIsNotCompleteAfterAReset);
    CPPUNIT_TEST_SUITE_END();

public:
    void testPartOfAnAnswerIsNotCompleteAfterAReset() { this->checkUploads({ "north" }); }
    void testPartOfARelayedAnswerIsNotCompleteAfterAReset() { this->checkUploads({ "south", "north" }); }

private:
    void checkUploads(const std::vector<std::string>& regions)
    {
        RawUpstream upstream(partOfAnswer);
        GatewayFleet fleet(regions);
        fleet.addUpstreamAt(upstream.getEndpoint());
        fleet.start();
        for (int number = 0; number < uploads; ++number) {
            for (const char* path : { "/again/x", "/once/x" }) {
                const std::string id = "id-" + std::to_string(number) + path;
                const RawAnswer answer = fleet.upload(0, path, id, std::string(uploadBytes, 'x'));
                CPPUNIT_ASSERT_MESSAGE(answer.text, answer.getStatus() != 200 || !answer.isComplete());
            }
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ResetWhileUploadingTest);

} // namespace papayashelf
