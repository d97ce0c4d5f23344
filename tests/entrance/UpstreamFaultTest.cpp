#include "entrance/EntranceHarness.h"
#include "standins/engine/StandinEngine.h"
#include "standins/engine/StandinService.h"
#include "standins/network/ClosedPort.h"

#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <cppunit/extensions/HelperMacros.h>
#include <future>
#include <thread>

namespace papayashelf {

namespace asio = boost::asio;

/** How attempts that fail are told apart, and what a failure leaves behind. */
class UpstreamFaultTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(UpstreamFaultTest);
    CPPUNIT_TEST(testSilentEngineIsReported);
    CPPUNIT_TEST(testEngineSilentBeforeHeadOfWholeAnswer);
    CPPUNIT_TEST(testSilentDeathEmptiesPool);
    CPPUNIT_TEST(testWholeAnswerCutIsNotBegun);
    CPPUNIT_TEST(testUnreachableAndBusyAreCertainlyNotRun);
    CPPUNIT_TEST(testRefusalOnKeptConnectionIsNoProof);
    CPPUNIT_TEST(testLostAnswerIsNotCalledNotSent);
    CPPUNIT_TEST(testPlainAnswerCutIsVisible);
    CPPUNIT_TEST(testPlainCallRunsOnWhenCallerGoes);
    CPPUNIT_TEST(testAnswerOfUncertainLengthIsNotForwarded);
    CPPUNIT_TEST(testPlainAnswerIsNotCutOffWhileCallerPauses);
    CPPUNIT_TEST_SUITE_END();

    AttemptResult resultOfPost(const Endpoint& upstream)
    {
        EntranceHarness harness;
        const Endpoint entry = harness.start(upstream, ServiceKind::PlainService);
        TestCaller caller(entry);
        caller.send("POST /a HTTP/1.1\r\nhost: g\r\ncontent-length: 2\r\n\r\nid");
        CPPUNIT_ASSERT(caller.readAnswer());
        return harness.waitForReport<AttemptEnded>().result;
    }

    void testSilentEngineIsReported()
    {
        StandinEngine engine;
        const Endpoint upstream = engine.start();
        engine.getHttp().setFault({ StandinFault::GoSilent, 4, 1 });
        EntranceHarness harness;
        const Endpoint entry = harness.start(harness.impatient(upstream, ServiceKind::ModelEngine));
        TestCaller caller(entry);
        caller.send(TestCaller::chatRequest(true, 10));
        EntranceHarness::assertVisiblyIncomplete(caller.readAll());
        const auto ended = harness.waitForReport<AttemptEnded>();
        CPPUNIT_ASSERT(ended.result == AttemptResult::TimedOut);
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 4 }, ended.answerTokens);
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 4 }, harness.waitForReport<AttemptSilent>().answerTokens);
        CPPUNIT_ASSERT(engine.getHttp().waitForCount("cancelled", 1));
    }

    void testEngineSilentBeforeHeadOfWholeAnswer()
    {
        StandinEngine engine;
        const Endpoint upstream = engine.start();
        engine.getHttp().setFault({ StandinFault::GoSilent, 0, 1 });
        EntranceHarness harness;
        const Endpoint entry = harness.start(harness.impatient(upstream, ServiceKind::ModelEngine));
        TestCaller caller(entry);
        caller.send(TestCaller::chatRequest(false, 10));
        const auto answer = caller.readAnswer();
        CPPUNIT_ASSERT(answer);
        CPPUNIT_ASSERT_EQUAL(502u, answer->result_int());
        CPPUNIT_ASSERT(harness.waitForReport<AttemptEnded>().result == AttemptResult::TimedOut);
    }

    void testSilentDeathEmptiesPool()
    {
        StandinService service;
        const Endpoint upstream = service.start();
        EntranceHarness harness;
        const Endpoint entry = harness.start(harness.impatient(upstream, ServiceKind::PlainService));
        TestCaller first(entry);
        TestCaller second(entry);
        const std::string get = "GET /a HTTP/1.1\r\nhost: g\r\n\r\n";
        // Two connections are open at once and then idle.
        service.getHttp().setFault({ StandinFault::Slow, 0, 1 });
        first.send(get);
        CPPUNIT_ASSERT(service.getHttp().waitForRequests(1));
        second.send(get);
        CPPUNIT_ASSERT_EQUAL(200u, second.readAnswer()->result_int());
        CPPUNIT_ASSERT_EQUAL(200u, first.readAnswer()->result_int());
        harness.waitForReport<AttemptSilent>();
        CPPUNIT_ASSERT_EQUAL(2, service.getHttp().getCount("connection"));
        // The idle one was opened before the silence: it must not be used again.
        second.send(get);
        CPPUNIT_ASSERT_EQUAL(200u, second.readAnswer()->result_int());
        CPPUNIT_ASSERT_EQUAL(3, service.getHttp().getCount("connection"));
    }

    void testWholeAnswerCutIsNotBegun()
    {
        StandinEngine first;
        StandinEngine second;
        const std::vector<Endpoint> endpoints { first.start(), second.start() };
        first.getHttp().setFault({ StandinFault::Die, 0, 1 });
        EntranceHarness harness;
        const Endpoint entry = harness.start(harness.retryOver(endpoints));
        TestCaller caller(entry);
        caller.send(TestCaller::chatRequest(false, 10));
        const auto answer = caller.readAnswer();
        CPPUNIT_ASSERT(answer);
        CPPUNIT_ASSERT_EQUAL(200u, answer->result_int());
        CPPUNIT_ASSERT(answer->body().find("\"completion_tokens\":10") != std::string::npos);
        CPPUNIT_ASSERT(harness.waitForReport<AttemptEnded>().result == AttemptResult::Truncated);
        CPPUNIT_ASSERT_EQUAL(2u, harness.waitForReport<AttemptBegan>().attempt);
    }

    void testUnreachableAndBusyAreCertainlyNotRun()
    {
        const ClosedPort closed;
        CPPUNIT_ASSERT(resultOfPost(closed.getEndpoint()) == AttemptResult::NotSent);
        StandinService service;
        const Endpoint upstream = service.start();
        service.getHttp().setFault({ StandinFault::RefuseBusy, 0, 1 });
        CPPUNIT_ASSERT(resultOfPost(upstream) == AttemptResult::RejectedBusy);
        CPPUNIT_ASSERT_EQUAL(0, service.getExecutions("id"));
    }

    void testRefusalOnKeptConnectionIsNoProof()
    {
        StandinService service;
        EntranceHarness harness;
        const Endpoint entry = harness.start(service.start(), ServiceKind::PlainService);
        std::vector<AttemptEnded> ends;
        // The connection of a refusal is not kept, so that the fourth request has a new one.
        for (const bool isRefused : { true, false, true, true }) {
            if (isRefused)
                service.getHttp().setFault({ StandinFault::RefuseBusy, 0, 1 });
            TestCaller caller(entry);
            caller.send("GET /a HTTP/1.1\r\nhost: g\r\n\r\n");
            CPPUNIT_ASSERT(caller.readAnswer());
            const RequestReport report = harness.waitFor([&](const RequestReport& each) {
                const auto* ended = std::get_if<AttemptEnded>(&each);
                return ended && std::find(ends.begin(), ends.end(), *ended) == ends.end();
            });
            ends.push_back(std::get<AttemptEnded>(report));
            CPPUNIT_ASSERT_EQUAL(isRefused, ends.back().result == AttemptResult::RejectedBusy);
        }
        CPPUNIT_ASSERT(!ends[0].mayHaveRun && ends[2].mayHaveRun && !ends[3].mayHaveRun);
    }

    void testLostAnswerIsNotCalledNotSent()
    {
        StandinService service;
        const Endpoint upstream = service.start();
        service.getHttp().setFault({ StandinFault::LoseAnswer, 0, 1 });
        CPPUNIT_ASSERT(resultOfPost(upstream) == AttemptResult::NoAnswer);
        CPPUNIT_ASSERT_EQUAL(1, service.getExecutions("id"));
    }

    void testPlainAnswerCutIsVisible()
    {
        StandinService service;
        EntranceHarness harness;
        const Endpoint entry = harness.start(service.start(), ServiceKind::PlainService);
        service.getHttp().setFault({ StandinFault::Die, 0, 1 });
        TestCaller caller(entry);
        caller.send("GET /a HTTP/1.1\r\nhost: g\r\n\r\n");
        CPPUNIT_ASSERT(!caller.readAnswer());
        CPPUNIT_ASSERT(harness.waitForReport<AttemptEnded>().result == AttemptResult::Truncated);
    }

    // Answers with a transfer coding were forwarded without it.
    void testAnswerOfUncertainLengthIsNotForwarded()
    {
        for (const std::string framing :
            { "transfer-encoding: gzip\r\n\r\nbody", "transfer-encoding: identity\r\ncontent-length: 4\r\n\r\nbody",
                "transfer-encoding: gzip, chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n" }) {
            asio::io_context context;
            asio::ip::tcp::acceptor acceptor(context, { asio::ip::make_address("127.0.0.1"), 0 });
            EntranceHarness harness;
            const Endpoint entry
                = harness.start(Endpoint { "127.0.0.1", acceptor.local_endpoint().port() }, ServiceKind::PlainService);
            TestCaller caller(entry);
            caller.send("POST /a HTTP/1.1\r\nhost: g\r\ncontent-length: 2\r\n\r\nid");
            asio::ip::tcp::socket upstream = acceptor.accept();
            std::string request;
            asio::read_until(upstream, asio::dynamic_buffer(request), "\r\n\r\nid");
            asio::write(upstream, asio::buffer("HTTP/1.1 200 OK\r\n" + framing));
            upstream.close();
            const auto answer = caller.readAnswer();
            CPPUNIT_ASSERT_MESSAGE(framing, answer);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(framing, 502u, answer->result_int());
            CPPUNIT_ASSERT(harness.waitForReport<AttemptEnded>().result == AttemptResult::NoAnswer);
        }
    }

    // A pause of the caller was taken for silence of the upstream.
    void testPlainAnswerIsNotCutOffWhileCallerPauses()
    {
        constexpr Milliseconds limit { 1'000 };
        const std::string body(std::size_t { 8 } * 1024 * 1024, 'b');
        asio::io_context context;
        asio::ip::tcp::acceptor acceptor(context, { asio::ip::make_address("127.0.0.1"), 0 });
        EntranceHarness harness;
        const Endpoint entry = harness.start(harness.impatient(
            Endpoint { "127.0.0.1", acceptor.local_endpoint().port() }, ServiceKind::PlainService, limit));
        TestCaller caller(entry);
        caller.send("GET /a HTTP/1.1\r\nhost: g\r\n\r\n");
        const std::future<void> sent = std::async(std::launch::async, [&acceptor, &body] {
            asio::ip::tcp::socket upstream = acceptor.accept();
            std::string request;
            boost::system::error_code ignored;
            asio::read_until(upstream, asio::dynamic_buffer(request), "\r\n\r\n", ignored);
            const std::string head = "HTTP/1.1 200 OK\r\ncontent-length: " + std::to_string(body.size()) + "\r\n\r\n";
            asio::write(upstream, asio::buffer(head + body), ignored);
        });
        std::this_thread::sleep_for(std::chrono::milliseconds(3 * limit.count()));
        const auto answer = caller.readAnswer();
        CPPUNIT_ASSERT(answer);
        CPPUNIT_ASSERT(body == answer->body());
        CPPUNIT_ASSERT(harness.waitForReport<AttemptEnded>().result == AttemptResult::Completed);
    }

    void testPlainCallRunsOnWhenCallerGoes()
    {
        StandinService service;
        EntranceHarness harness;
        const Endpoint entry = harness.start(service.start(), ServiceKind::PlainService);
        service.getHttp().setFault({ StandinFault::Slow, 0, 1 });
        TestCaller caller(entry);
        caller.send("POST /a HTTP/1.1\r\nhost: g\r\ncontent-length: 2\r\n\r\nid");
        CPPUNIT_ASSERT(service.getHttp().waitForRequests(1));
        caller.close();
        harness.waitForReport<CallerDisconnected>();
        const auto ended = harness.waitForReport<AttemptEnded>();
        CPPUNIT_ASSERT(ended.result == AttemptResult::Completed);
        CPPUNIT_ASSERT_EQUAL(1, service.getExecutions("id"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(UpstreamFaultTest);

} // namespace papayashelf
