#include "serving/ServingHarness.h"

#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <cppunit/extensions/HelperMacros.h>

namespace papayashelf {

namespace asio = boost::asio;
namespace http = boost::beast::http;

/** Limits on callers' requests that change while the callers' connections are open. */
class CallerLimitsTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(CallerLimitsTest);
    CPPUNIT_TEST(testKeptConnectionTakesBodiesOfALargerLimit);
    CPPUNIT_TEST(testKeptConnectionRefusesBodiesAboveASmallerLimit);
    CPPUNIT_TEST(testKeptConnectionTakesHeadsOfALargerLimit);
    CPPUNIT_TEST(testKeptConnectionRefusesHeadsAboveASmallerLimit);
    CPPUNIT_TEST(testConnectionWithoutRequestFollowsTheLimits);
    CPPUNIT_TEST(testConnectionOfAnotherVmFollowsTheLimits);
    CPPUNIT_TEST(testIdleConnectionIsKeptForALongerLimit);
    CPPUNIT_TEST(testIdleConnectionIsClosedAfterAShorterLimit);
    CPPUNIT_TEST(testBegunHeadMayTakeALongerLimit);
    CPPUNIT_TEST(testBegunHeadIsRefusedAfterAShorterLimit);
    CPPUNIT_TEST(testBegunHeadMayGrowToALargerLimit);
    CPPUNIT_TEST(testBegunHeadIsRefusedAboveASmallerLimit);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override { this->harness = std::make_unique<ServingHarness>(); }

    void tearDown() override
    {
        this->connection.reset();
        this->harness.reset();
    }

    void testKeptConnectionTakesBodiesOfALargerLimit()
    {
        this->harness->setLimits(makeLimits(smallBytes));
        this->keepConnection();
        this->harness->setLimits(makeLimits(largeBytes));
        this->send(makePost(middleBytes));
        CPPUNIT_ASSERT_EQUAL(200u, this->readStatus());
    }

    void testKeptConnectionRefusesBodiesAboveASmallerLimit()
    {
        this->harness->setLimits(makeLimits(largeBytes));
        this->keepConnection();
        this->harness->setLimits(makeLimits(smallBytes));
        this->send(makePost(middleBytes));
        CPPUNIT_ASSERT_EQUAL(413u, this->readStatus());
    }

    void testKeptConnectionTakesHeadsOfALargerLimit()
    {
        this->harness->setLimits(makeLimits(smallBytes));
        this->keepConnection();
        this->harness->setLimits(makeLimits(largeBytes));
        this->send(makeHeadOf(middleBytes) + "\r\n");
        CPPUNIT_ASSERT_EQUAL(200u, this->readStatus());
    }

    void testKeptConnectionRefusesHeadsAboveASmallerLimit()
    {
        this->harness->setLimits(makeLimits(largeBytes));
        this->keepConnection();
        this->harness->setLimits(makeLimits(smallBytes));
        this->send(makeHeadOf(middleBytes) + "\r\n");
        CPPUNIT_ASSERT_EQUAL(431u, this->readStatus());
    }

    void testConnectionWithoutRequestFollowsTheLimits()
    {
        for (const std::size_t bytes : { largeBytes, smallBytes }) {
            this->harness->setLimits(makeLimits(bytes == largeBytes ? smallBytes : largeBytes));
            this->connect(this->harness->getProcess().getCallersEndpoint());
            this->harness->setLimits(makeLimits(bytes));
            this->send(makePost(middleBytes));
            CPPUNIT_ASSERT_EQUAL(bytes == largeBytes ? 200u : 413u, this->readStatus());
        }
    }

    void testConnectionOfAnotherVmFollowsTheLimits()
    {
        const std::string key = this->harness->getProcess().getCore().getRelayKey();
        for (const std::size_t bytes : { largeBytes, smallBytes }) {
            this->harness->setLimits(makeLimits(bytes == largeBytes ? smallBytes : largeBytes));
            this->connect(this->harness->getProcess().getRelaysEndpoint());
            this->harness->setLimits(makeLimits(bytes));
            this->send(makePost(middleBytes, "papayashelf-relay-key: " + key + "\r\npapayashelf-service: service\r\n"));
            CPPUNIT_ASSERT_EQUAL(bytes == largeBytes ? 200u : 413u, this->readStatus());
        }
    }

    void testIdleConnectionIsKeptForALongerLimit()
    {
        this->harness->setLimits(makeLimits(largeBytes, shortTime));
        this->keepConnection();
        this->harness->setLimits(makeLimits(largeBytes, longTime));
        std::this_thread::sleep_for(std::chrono::milliseconds(shortTime.count()));
        this->send(makeHeadOf(0) + "\r\n");
        CPPUNIT_ASSERT_EQUAL(200u, this->readStatus());
    }

    void testIdleConnectionIsClosedAfterAShorterLimit()
    {
        this->harness->setLimits(makeLimits(largeBytes, longTime));
        this->keepConnection();
        this->harness->setLimits(makeLimits(largeBytes, shortTime));
        const auto changedAt = std::chrono::steady_clock::now();
        CPPUNIT_ASSERT_EQUAL(std::string(), ServingHarness::readAnswer(*this->connection).text);
        CPPUNIT_ASSERT(std::chrono::steady_clock::now() - changedAt < untilChangesAreInForce);
    }

    void testBegunHeadMayTakeALongerLimit()
    {
        this->harness->setLimits(makeLimits(largeBytes, shortTime));
        this->keepConnection();
        this->beginHead(0);
        this->harness->setLimits(makeLimits(largeBytes, longTime));
        std::this_thread::sleep_for(std::chrono::milliseconds(shortTime.count()));
        this->send("\r\n\r\n");
        CPPUNIT_ASSERT_EQUAL(200u, this->readStatus());
    }

    void testBegunHeadIsRefusedAfterAShorterLimit()
    {
        this->harness->setLimits(makeLimits(largeBytes, longTime));
        this->keepConnection();
        this->beginHead(0);
        this->harness->setLimits(makeLimits(largeBytes, shortTime));
        const auto changedAt = std::chrono::steady_clock::now();
        CPPUNIT_ASSERT_EQUAL(408u, this->readStatus());
        CPPUNIT_ASSERT(std::chrono::steady_clock::now() - changedAt < untilChangesAreInForce);
    }

    void testBegunHeadMayGrowToALargerLimit()
    {
        this->harness->setLimits(makeLimits(smallBytes));
        this->keepConnection();
        this->beginHead(smallBytes / 2);
        this->harness->setLimits(makeLimits(largeBytes));
        this->send(std::string(middleBytes, 'b') + "\r\n\r\n");
        CPPUNIT_ASSERT_EQUAL(200u, this->readStatus());
    }

    void testBegunHeadIsRefusedAboveASmallerLimit()
    {
        this->harness->setLimits(makeLimits(largeBytes));
        this->keepConnection();
        this->beginHead(middleBytes);
        this->harness->setLimits(makeLimits(smallBytes));
        this->send("b\r\n\r\n");
        CPPUNIT_ASSERT_EQUAL(431u, this->readStatus());
    }

private:
    static constexpr std::size_t smallBytes = 2'000;
    static constexpr std::size_t middleBytes = 6'000;
    static constexpr std::size_t largeBytes = 16'000;
    static constexpr Milliseconds shortTime { 1'500 };
    static constexpr Milliseconds longTime { 8'000 };
    static constexpr std::chrono::milliseconds untilProcessWaits { 200 };
    static constexpr std::chrono::seconds untilChangesAreInForce { 4 };

    static CallerLimits makeLimits(std::size_t bytes, Milliseconds time = longTime)
    {
        CallerLimits limits;
        limits.headerBytes = limits.bodyBytes = bytes;
        limits.headerTimeout = limits.idleTimeout = time;
        return limits;
    }

    /** Formats a head without its empty last line, with a field of the given length, of a request that keeps its
        connection. */
    static std::string makeHeadOf(std::size_t bytes, const std::string& method = "GET")
    {
        static constexpr std::string_view close = "Connection: close\r\n";
        std::string head = ServingHarness::makeHead(method, "/once/x", "id-1");
        head.erase(head.find(close), close.size());
        return head + "X-Pad: a" + std::string(bytes, 'b') + "\r\n";
    }

    static std::string makePost(std::size_t bodyBytes, const std::string& more = {})
    {
        return makeHeadOf(0, "POST") + more + "Content-Length: " + std::to_string(bodyBytes) + "\r\n\r\n"
            + std::string(bodyBytes, 'b');
    }

    /** Opens a connection, which the process then waits at for a request. */
    void connect(const Endpoint& to)
    {
        this->buffer.clear();
        this->connection.emplace(this->harness->connect(to));
        std::this_thread::sleep_for(untilProcessWaits);
    }

    /** Opens a connection on which one request has been answered. */
    void keepConnection()
    {
        this->connect(this->harness->getProcess().getCallersEndpoint());
        this->send(makeHeadOf(0) + "\r\n");
        CPPUNIT_ASSERT_EQUAL(200u, this->readStatus());
        std::this_thread::sleep_for(untilProcessWaits);
    }

    /** Sends a head up to the end of a field of the given length, without the field's line end. */
    void beginHead(std::size_t bytes)
    {
        const std::string head = makeHeadOf(bytes);
        this->send(head.substr(0, head.size() - 2));
        std::this_thread::sleep_for(untilProcessWaits);
    }

    void send(const std::string& text)
    {
        boost::system::error_code ignored; // The answer tells.
        asio::write(*this->connection, asio::buffer(text), ignored);
    }

    /** Returns the status of the next answer, or 0 if the connection ends before it. */
    unsigned readStatus()
    {
        http::response_parser<http::string_body> answer;
        boost::system::error_code failure;
        http::read(*this->connection, this->buffer, answer, failure);
        return failure ? 0 : answer.get().result_int();
    }

    std::unique_ptr<ServingHarness> harness;
    std::optional<asio::ip::tcp::socket> connection;
    boost::beast::flat_buffer buffer;
};

CPPUNIT_TEST_SUITE_REGISTRATION(CallerLimitsTest);

} // namespace papayashelf
