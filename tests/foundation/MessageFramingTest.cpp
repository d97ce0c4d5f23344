#include "foundation/foundation.h"

#include <boost/beast/http/empty_body.hpp>
#include <cppunit/extensions/HelperMacros.h>

namespace papayashelf {

namespace http = boost::beast::http;

class MessageFramingTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(MessageFramingTest);
    CPPUNIT_TEST(testCertainLengthsAreAccepted);
    CPPUNIT_TEST(testUncertainLengthsAreFaults);
    CPPUNIT_TEST(testImpossibleStatusesAreFaults);
    CPPUNIT_TEST_SUITE_END();

    using Fields = std::vector<std::pair<http::field, std::string>>;

    static bool isFaulty(const Fields& fields, unsigned version = 11)
    {
        http::request<http::empty_body> request;
        http::response<http::empty_body> response;
        request.version(version);
        response.version(version);
        for (const auto& [name, value] : fields) {
            request.insert(name, value);
            response.insert(name, value);
        }
        CPPUNIT_ASSERT_EQUAL(findFramingFault(request), findFramingFault(response));
        return !findFramingFault(request).empty();
    }

public:
    void testCertainLengthsAreAccepted()
    {
        const auto coding = http::field::transfer_encoding;
        CPPUNIT_ASSERT(!isFaulty({}));
        CPPUNIT_ASSERT(!isFaulty({}, 10));
        CPPUNIT_ASSERT(!isFaulty({ { http::field::content_length, "5" } }, 10));
        CPPUNIT_ASSERT(!isFaulty({ { coding, "chunked" } }));
        CPPUNIT_ASSERT(!isFaulty({ { coding, "Chunked" } }));
    }

    void testUncertainLengthsAreFaults()
    {
        const auto coding = http::field::transfer_encoding;
        for (const char* value : { "", "identity", "gzip", "gzip, chunked", "chunked, identity", "chunked, chunked",
                 "xchunked", "\"chunked\"", "chunked;q=1" })
            CPPUNIT_ASSERT_MESSAGE(value, isFaulty({ { coding, value } }));
        CPPUNIT_ASSERT(isFaulty({ { coding, "chunked" }, { coding, "chunked" } }));
        CPPUNIT_ASSERT(isFaulty({ { coding, "identity" }, { coding, "chunked" } }));
        CPPUNIT_ASSERT(isFaulty({ { coding, "chunked" }, { http::field::content_length, "5" } }));
        CPPUNIT_ASSERT(isFaulty({ { http::field::content_length, "0" }, { coding, "identity" } }));
        CPPUNIT_ASSERT(isFaulty({ { coding, "chunked" } }, 10));
    }

    void testImpossibleStatusesAreFaults()
    {
        for (const unsigned status : { 0U, 1U, 99U, 600U, 999U }) {
            http::response<http::empty_body> response;
            response.result(status);
            CPPUNIT_ASSERT(!findFramingFault(response).empty());
        }
        for (const unsigned status : { 100U, 200U, 421U, 599U }) {
            http::response<http::empty_body> response;
            response.result(status);
            CPPUNIT_ASSERT(findFramingFault(response).empty());
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MessageFramingTest);

} // namespace papayashelf
