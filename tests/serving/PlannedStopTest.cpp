#include "serving/ServingHarness.h"

#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <cppunit/extensions/HelperMacros.h>
#include <future>

namespace papayashelf {

namespace asio = boost::asio;

class PlannedStopTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(PlannedStopTest);
    CPPUNIT_TEST(testRequestThatRunsUntilTheEndOfTheGraceGetsAFinalAnswer);
    CPPUNIT_TEST(testStreamThatRunsUntilTheEndOfTheGraceStaysIncomplete);
    CPPUNIT_TEST(testDeadlinePassedOnEndsWithTheGrace);
    CPPUNIT_TEST(testProcessEndsOnceItsLastRequestHasEnded);
    CPPUNIT_TEST(testAnswerOutlivesTheProcess);
    CPPUNIT_TEST(testRequestOnKeptConnectionIsRefusedLateInTheGrace);
    CPPUNIT_TEST(testRequestIsNotPassedOnWithoutTimeToEndInTheGrace);
    CPPUNIT_TEST(testRelayedRequestIsServedEarlyInTheGrace);
    CPPUNIT_TEST(testRelayedRequestIsRefusedLateInTheGrace);
    CPPUNIT_TEST(testRequestWhoseBodyEndsLateInTheGraceIsRefused);
    CPPUNIT_TEST(testRequestWithoutItsBodyIsRefusedAtTheEndOfTheGrace);
    CPPUNIT_TEST_SUITE_END();

public:
    void tearDown() override { this->harness.reset(); }

    void testRequestThatRunsUntilTheEndOfTheGraceGetsAFinalAnswer()
    {
        this->start(Milliseconds(1'600));
        auto call = this->callUnanswered("/once/x");
        this->harness->beginStopping();
        const RawAnswer answer = call.get();
        CPPUNIT_ASSERT_EQUAL(504, answer.getStatus());
        CPPUNIT_ASSERT(answer.isComplete() && answer.has("\"stopping\"") && !answer.has("Response-Seal"));
    }

    void testStreamThatRunsUntilTheEndOfTheGraceStaysIncomplete()
    {
        this->start(Milliseconds(1'200));
        this->queueAnswersOnBoth({ AnswerKind::Paused });
        auto call = this->callAndAwaitArrival("/stream/once/x");
        this->harness->beginStopping();
        const RawAnswer answer = call.get();
        CPPUNIT_ASSERT_EQUAL(200, answer.getStatus());
        CPPUNIT_ASSERT(answer.has("piece 2") && !answer.has("piece 3") && !answer.isComplete());
    }

    void testDeadlinePassedOnEndsWithTheGrace()
    {
        constexpr Milliseconds grace { 1'600 };
        this->start(grace);
        this->harness->beginStopping();
        CPPUNIT_ASSERT_EQUAL(200, this->get("/once/x", "id-1").getStatus());
        CPPUNIT_ASSERT(std::stoi(this->harness->getArrivals().front().header("Deadline-Ms")) < grace.count());
    }

    void testProcessEndsOnceItsLastRequestHasEnded()
    {
        constexpr Milliseconds grace { 8'000 };
        this->start(grace);
        this->queueAnswersOnBoth({ AnswerKind::Late });
        auto call = this->callAndAwaitArrival("/once/x");
        const Clock clock;
        const Milliseconds beganAt = clock.now();
        this->harness->beginStopping();
        const RawAnswer answer = call.get();
        CPPUNIT_ASSERT_EQUAL(200, answer.getStatus());
        CPPUNIT_ASSERT(answer.isComplete());
        this->harness->awaitEnd();
        const Milliseconds took = clock.now() - beganAt;
        CPPUNIT_ASSERT(took >= grace * 3 / 10 && took < grace / 2);
    }

    void testAnswerOutlivesTheProcess()
    {
        this->start(Milliseconds(1'000));
        asio::ip::tcp::socket socket = this->connect();
        asio::write(socket, asio::buffer(ServingHarness::makeHead("GET", "/once/x", "id-1") + "\r\n"));
        this->awaitArrival();
        this->harness->beginStopping();
        this->harness->awaitEnd();
        const RawAnswer answer = ServingHarness::readAnswer(socket);
        CPPUNIT_ASSERT_EQUAL(200, answer.getStatus());
        CPPUNIT_ASSERT(answer.isComplete());
    }

    void testRequestOnKeptConnectionIsRefusedLateInTheGrace()
    {
        this->start(Milliseconds(3'000));
        const std::string head = "GET /once/x HTTP/1.1\r\nHost: h.example\r\nAuthorization: Bearer secret-key\r\n"
                                 "Deadline-Ms: 3000\r\nAttempt-Id: ";
        asio::ip::tcp::socket socket = this->connect();
        asio::write(socket, asio::buffer(head + "id-1\r\n\r\n"));
        std::string first;
        asio::read_until(socket, asio::dynamic_buffer(first), "body of id-1");
        auto call = this->callUnanswered("/once/x");
        this->harness->beginStopping();
        std::this_thread::sleep_for(std::chrono::milliseconds(1'200));
        asio::write(socket, asio::buffer(head + "id-2\r\n\r\n"));
        const RawAnswer answer = ServingHarness::readAnswer(socket);
        CPPUNIT_ASSERT_EQUAL(503, answer.getStatus());
        CPPUNIT_ASSERT(answer.isComplete() && answer.has("Connection: close") && answer.has("Retry-After: 0.05"));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 2 }, this->harness->getArrivals().size());
    }

    void testRequestIsNotPassedOnWithoutTimeToEndInTheGrace()
    {
        this->start(Milliseconds(1'400));
        this->queueAnswersOnBoth({ AnswerKind::LateRejected });
        this->harness->beginStopping();
        const RawAnswer answer = this->get("/once/x", "id-1");
        CPPUNIT_ASSERT_EQUAL(503, answer.getStatus());
        CPPUNIT_ASSERT(answer.isComplete() && answer.has("Retry-After: 0.05"));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, this->harness->getArrivals().size());
    }

    void testRelayedRequestIsServedEarlyInTheGrace()
    {
        this->start(Milliseconds(8'000));
        this->harness->beginStopping();
        CPPUNIT_ASSERT_EQUAL(200, this->relay().getStatus());
    }

    void testRelayedRequestIsRefusedLateInTheGrace()
    {
        this->start(Milliseconds(3'000));
        auto call = this->callUnanswered("/once/x");
        this->harness->beginStopping();
        std::this_thread::sleep_for(std::chrono::milliseconds(1'200));
        const RawAnswer answer = this->relay();
        CPPUNIT_ASSERT_EQUAL(503, answer.getStatus());
        CPPUNIT_ASSERT(answer.has("papayashelf-not-run: 1") && answer.has("papayashelf-not-sent: 1"));
    }

    void testRequestWhoseBodyEndsLateInTheGraceIsRefused()
    {
        this->start(Milliseconds(4'000));
        asio::ip::tcp::socket socket = this->sendBeginOfRequest();
        this->harness->beginStopping();
        std::this_thread::sleep_for(std::chrono::milliseconds(1'500));
        asio::write(socket, asio::buffer(std::string("end")));
        const RawAnswer answer = ServingHarness::readAnswer(socket);
        CPPUNIT_ASSERT_EQUAL(503, answer.getStatus());
        CPPUNIT_ASSERT(answer.isComplete() && this->harness->getArrivals().empty());
    }

    void testRequestWithoutItsBodyIsRefusedAtTheEndOfTheGrace()
    {
        this->start(Milliseconds(1'600));
        asio::ip::tcp::socket socket = this->sendBeginOfRequest();
        this->harness->beginStopping();
        const RawAnswer answer = ServingHarness::readAnswer(socket);
        CPPUNIT_ASSERT_EQUAL(503, answer.getStatus());
        CPPUNIT_ASSERT(answer.isComplete() && answer.has("\"stopping\"") && answer.has("Retry-After: 0.05"));
        CPPUNIT_ASSERT(this->harness->getArrivals().empty());
    }

private:
    void start(Milliseconds grace)
    {
        this->harness = std::make_unique<ServingHarness>(ServingHarness::ampleRetryRatio, 2, grace);
    }

    void queueAnswersOnBoth(const std::deque<AnswerKind>& kinds)
    {
        this->harness->first().queueAnswers(kinds);
        this->harness->second().queueAnswers(kinds);
    }

    void awaitArrival(std::size_t count = 1)
    {
        while (this->harness->getArrivals().size() < count)
            std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }

    std::future<RawAnswer> callAndAwaitArrival(const std::string& path)
    {
        const std::size_t before = this->harness->getArrivals().size();
        auto call = std::async(std::launch::async, [this, path] { return this->get(path, "id-open"); });
        this->awaitArrival(before + 1);
        return call;
    }

    /** Sends a request that reaches an upstream and is not answered by it. */
    std::future<RawAnswer> callUnanswered(const std::string& path)
    {
        this->queueAnswersOnBoth({ AnswerKind::NoResponse });
        auto call = this->callAndAwaitArrival(path);
        this->queueAnswersOnBoth({});
        return call;
    }

    RawAnswer get(const std::string& path, const std::string& id)
    {
        return this->harness->call(ServingHarness::makeHead("GET", path, id));
    }

    RawAnswer relay() { return this->harness->relay(this->harness->getProcess().getCore().getRelayKey(), "service"); }

    asio::ip::tcp::socket connect() { return this->harness->connect(this->harness->getProcess().getCallersEndpoint()); }

    /** Sends a request without the last three bytes of its body. */
    asio::ip::tcp::socket sendBeginOfRequest()
    {
        asio::ip::tcp::socket socket = this->connect();
        asio::write(socket,
            asio::buffer(ServingHarness::makeHead("POST", "/once/x", "id-1") + "Content-Length: 8\r\n\r\nbegin"));
        // The connection is accepted and its bytes are read once a later request is answered.
        this->harness->call(ServingHarness::makeHead("GET", "/unknown/x", "id-2"));
        return socket;
    }

    std::unique_ptr<ServingHarness> harness;
};

CPPUNIT_TEST_SUITE_REGISTRATION(PlannedStopTest);

} // namespace papayashelf
