#include "entrance/EntranceHarness.h"
#include "standins/engine/StandinEngine.h"
#include "standins/engine/StandinService.h"

#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <cppunit/extensions/HelperMacros.h>
#include <future>
#include <set>

namespace papayashelf {

namespace asio = boost::asio;

/** Whole requests from caller to upstream and back. */
class EntranceServerTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(EntranceServerTest);
    CPPUNIT_TEST(testStreamedAnswerArrivesWhole);
    CPPUNIT_TEST(testWholeAnswerArrives);
    CPPUNIT_TEST(testPlainServiceKeepsMethodHeadersBodyAndStatus);
    CPPUNIT_TEST(testKeyReachesNoUpstream);
    CPPUNIT_TEST(testKeyInPathOrBodyIsRefused);
    CPPUNIT_TEST(testPipelinedRequestsAreAnsweredInOrder);
    CPPUNIT_TEST(testProviderAnswersWithoutDecision);
    CPPUNIT_TEST(testLeavingIsToldAndConnectionClosed);
    CPPUNIT_TEST(testRefusalIsTyped);
    CPPUNIT_TEST(testHeadCheckRefusesBeforeBody);
    CPPUNIT_TEST(testFullRingRefusesAsOverloaded);
    CPPUNIT_TEST(testConnectionsAreBounded);
    CPPUNIT_TEST(testArrivalDescribesRequest);
    CPPUNIT_TEST(testThreadsShareThePortButServersDoNot);
    CPPUNIT_TEST(testLoadIsReported);
    CPPUNIT_TEST(testCrossedAnswerReachesNobody);
    CPPUNIT_TEST_SUITE_END();

    static void assertHasAllTokens(const std::string& stream, int tokens)
    {
        std::size_t position = 0;
        for (int token = 1; token <= tokens; ++token) {
            const std::string mark = "\"token\":" + std::to_string(token) + ",";
            const std::size_t found = stream.find(mark);
            CPPUNIT_ASSERT_MESSAGE("missing " + mark, found != std::string::npos);
            CPPUNIT_ASSERT_MESSAGE("out of order " + mark, found >= position);
            CPPUNIT_ASSERT_MESSAGE("twice " + mark, stream.find(mark, found + 1) == std::string::npos);
            position = found;
        }
    }

    void testStreamedAnswerArrivesWhole()
    {
        StandinEngine engine;
        EntranceHarness harness;
        const Endpoint entry = harness.start(engine.start(), ServiceKind::ModelEngine);
        TestCaller caller(entry);
        caller.send(TestCaller::chatRequest(true, 50));
        const auto answer = caller.readAnswer();
        CPPUNIT_ASSERT(answer);
        CPPUNIT_ASSERT_EQUAL(200u, answer->result_int());
        assertHasAllTokens(answer->body(), 50);
        CPPUNIT_ASSERT(answer->body().ends_with("data: [DONE]\n\n"));
        const auto ended = harness.waitForReport<AttemptEnded>();
        CPPUNIT_ASSERT(ended.result == AttemptResult::Completed);
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 50 }, ended.answerTokens);
        CPPUNIT_ASSERT(ended.promptTokens > 0);
    }

    void testWholeAnswerArrives()
    {
        StandinEngine engine;
        EntranceHarness harness;
        const Endpoint entry = harness.start(engine.start(), ServiceKind::ModelEngine);
        TestCaller caller(entry);
        for (int round = 0; round < 3; ++round) {
            caller.send(TestCaller::chatRequest(false, 5));
            const auto answer = caller.readAnswer();
            CPPUNIT_ASSERT(answer);
            CPPUNIT_ASSERT(answer->body().find("\"completion_tokens\":5") != std::string::npos);
            CPPUNIT_ASSERT(!(*answer)["papayashelf-request"].empty());
        }
        // Connections on both sides are used again.
        CPPUNIT_ASSERT_EQUAL(1, engine.getHttp().getCount("connection"));
    }

    void testPlainServiceKeepsMethodHeadersBodyAndStatus()
    {
        StandinService service;
        EntranceHarness harness;
        const Endpoint entry = harness.start(service.start(), ServiceKind::PlainService);
        TestCaller caller(entry);
        caller.send("PUT /entries/7?heat=2 HTTP/1.1\r\nhost: gateway\r\nx-club: Alta\r\nconnection: x-gone\r\n"
                    "x-gone: 1\r\nte: trailers\r\nproxy-authorization: Basic abc\r\ncontent-length: 3\r\n\r\nabc");
        const auto answer = caller.readAnswer();
        CPPUNIT_ASSERT(answer);
        const StandinRequest received = service.getHttp().getRequests().at(0);
        CPPUNIT_ASSERT_EQUAL(std::string("PUT"), received.method);
        CPPUNIT_ASSERT_EQUAL(std::string("/entries/7?heat=2"), received.target);
        CPPUNIT_ASSERT_EQUAL(std::string("abc"), received.body);
        CPPUNIT_ASSERT_EQUAL(std::string("Alta"), received.header("x-club"));
        for (const char* const dropped : { "x-gone", "te", "proxy-authorization", "connection" })
            CPPUNIT_ASSERT_EQUAL(std::string(), received.header(dropped));
        caller.send("GET /missing HTTP/1.1\r\nhost: gateway\r\n\r\n");
        CPPUNIT_ASSERT_EQUAL(200u, caller.readAnswer()->result_int());
        caller.send("HEAD /entries HTTP/1.1\r\nhost: gateway\r\n\r\nGET /x HTTP/1.1\r\nhost: gateway\r\n\r\n");
        CPPUNIT_ASSERT(caller.readUntil("\"target\":\"/x\"").find("HTTP/1.1 200") == 0);
    }

    void testKeyReachesNoUpstream()
    {
        StandinEngine engine;
        StandinService service;
        const Endpoint engineEndpoint = engine.start();
        const Endpoint serviceEndpoint = service.start();
        EntranceHarness harness;
        const Endpoint entry = harness.start([&](const RequestReport& report) {
            if (const auto* const arrival = std::get_if<RequestArrival>(&report)) {
                const bool isChat = !arrival->model.isEmpty();
                harness.direct(EntranceHarness::attemptOf(arrival->request, isChat ? engineEndpoint : serviceEndpoint,
                    isChat ? ServiceKind::ModelEngine : ServiceKind::PlainService));
            }
            if (const auto* const ended = std::get_if<AttemptEnded>(&report))
                harness.direct(FinishRequest { ended->request });
        });
        const std::string key = TestCaller::key;
        const std::string leaks = "x-api-key: " + key + "\r\nx-debug: a " + key + " b\r\ncookie: session=1\r\n"
            + "cookie2: k=" + key + "\r\nx-" + key + ": 1\r\nreferer: http://h/?k=secret%2Dkey-of-a-handler\r\n";
        TestCaller caller(entry);
        caller.send(TestCaller::chatRequest(false, 2, leaks));
        CPPUNIT_ASSERT(caller.readAnswer());
        caller.send("GET /entries?key=" + key + "&heat=2&api_key=x&z=" + key
            + "&y=%73ecret-key-of-a-handler HTTP/1.1\r\nhost: g\r\nAuthorization: bearer " + key + "\r\n" + leaks
            + "\r\n");
        CPPUNIT_ASSERT(caller.readAnswer());
        for (const StandinRequest& received : engine.getHttp().getRequests())
            CPPUNIT_ASSERT(!received.contains(key) && !received.contains("secret"));
        const StandinRequest received = service.getHttp().getRequests().at(0);
        CPPUNIT_ASSERT(!received.contains(key) && !received.contains("ecret"));
        CPPUNIT_ASSERT_EQUAL(std::string("/entries?heat=2"), received.target);
        CPPUNIT_ASSERT_EQUAL(std::string("session=1"), received.header("cookie"));
    }

    void testKeyInPathOrBodyIsRefused()
    {
        StandinService service;
        EntranceHarness harness;
        const Endpoint entry = harness.start(service.start(), ServiceKind::PlainService);
        const std::string key = TestCaller::key;
        const std::string head = "host: g\r\nauthorization: Bearer " + key + "\r\n";
        std::string inPath = "GET /entries/";
        inPath += key + " HTTP/1.1\r\n" + head + "\r\n";
        std::string inBody = "POST /entries HTTP/1.1\r\n" + head;
        inBody += "content-length: " + std::to_string(key.size()) + "\r\n\r\n" + key;
        for (const std::string& request : { inPath, inBody }) {
            TestCaller caller(entry);
            caller.send(request);
            const auto answer = caller.readAnswer();
            CPPUNIT_ASSERT_EQUAL(400u, answer->result_int());
            CPPUNIT_ASSERT(answer->body().find("key_in_request") != std::string::npos);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t { 0 }, service.getHttp().getRequests().size());
    }

    void testPipelinedRequestsAreAnsweredInOrder()
    {
        StandinService service;
        EntranceHarness harness;
        const Endpoint entry = harness.start(service.start(), ServiceKind::PlainService);
        TestCaller caller(entry);
        std::string requests;
        for (int number = 0; number < 20; ++number)
            requests += "GET /n" + std::to_string(number) + " HTTP/1.1\r\nhost: g\r\n\r\n";
        caller.send(requests);
        for (int number = 0; number < 20; ++number) {
            const auto answer = caller.readAnswer();
            CPPUNIT_ASSERT(answer);
            CPPUNIT_ASSERT(answer->body().find("\"/n" + std::to_string(number) + "\"") != std::string::npos);
        }
    }

    void testProviderAnswersWithoutDecision()
    {
        EntranceHarness harness;
        harness.getServer().setEntryProvider([](const EntryQuery& query) -> std::optional<HttpText> {
            if (query.path == "/v1/models")
                return std::nullopt;
            return HttpText { 200, "application/json", query.path + " " + query.query + " " + query.callerAddress };
        });
        StandinService service;
        const Endpoint entry = harness.start(service.start(), ServiceKind::PlainService);
        TestCaller caller(entry);
        caller.send("GET /v1/entries?region=verapaz HTTP/1.1\r\nhost: g\r\n\r\n");
        CPPUNIT_ASSERT_EQUAL(std::string("/v1/entries region=verapaz 127.0.0.1"), caller.readAnswer()->body());
        CPPUNIT_ASSERT_EQUAL(std::size_t { 0 }, harness.countReports<RequestArrival>());
        caller.send("GET /v1/models HTTP/1.1\r\nhost: g\r\n\r\n");
        CPPUNIT_ASSERT(caller.readAnswer());
        CPPUNIT_ASSERT_EQUAL(std::string("/v1/models"), harness.waitForReport<RequestArrival>().path);
    }

    void testLeavingIsToldAndConnectionClosed()
    {
        StandinService service;
        EntranceHarness harness;
        const Endpoint entry = harness.start(service.start(), ServiceKind::PlainService);
        TestCaller caller(entry);
        caller.send("GET /a HTTP/1.1\r\nhost: g\r\n\r\n");
        const auto before = caller.readAnswer();
        CPPUNIT_ASSERT(before && (*before)["papayashelf-leaving"].empty());
        harness.getServer().beginLeaving();
        caller.send("GET /b HTTP/1.1\r\nhost: g\r\n\r\n");
        const auto answer = caller.readAnswer();
        CPPUNIT_ASSERT_EQUAL(200u, answer->result_int());
        CPPUNIT_ASSERT_EQUAL(std::string("true"), std::string((*answer)["papayashelf-leaving"]));
        CPPUNIT_ASSERT(!answer->keep_alive());
        CPPUNIT_ASSERT_EQUAL(std::string(), caller.readSome());
    }

    void testRefusalIsTyped()
    {
        EntranceHarness harness;
        const Endpoint entry = harness.start([&](const RequestReport& report) {
            const auto* const arrival = std::get_if<RequestArrival>(&report);
            if (arrival)
                harness.direct(
                    RefuseRequest { arrival->request, RefusalCode::OverShare, Ran::No, Milliseconds(1200), "wait" });
        });
        TestCaller caller(entry);
        caller.send(TestCaller::chatRequest(true, 5));
        const auto answer = caller.readAnswer();
        const RequestId request = harness.waitForReport<RequestArrival>().request;
        CPPUNIT_ASSERT_EQUAL(429u, answer->result_int());
        CPPUNIT_ASSERT_EQUAL(std::string("2"), std::string((*answer)["retry-after"]));
        CPPUNIT_ASSERT_EQUAL(R"({"error":{"code":"over_share","message":"wait","ran":"no","request":")"
                + std::to_string(request) + R"(","retry_after_ms":1200}})",
            answer->body());
    }

    void testHeadCheckRefusesBeforeBody()
    {
        EntranceHarness harness;
        harness.getServer().setHeadCheck([](const KeyDigest& key, const std::string& path) {
            const bool isKnown = !key.isEmpty() && path == "/closed";
            return isKnown ? std::optional(RefusalCode::OutsideResidency) : std::nullopt;
        });
        const Endpoint entry = harness.start([](const RequestReport&) {});
        TestCaller caller(entry);
        caller.send("POST /closed HTTP/1.1\r\nhost: g\r\nauthorization: Bearer " + std::string(TestCaller::key)
            + "\r\ncontent-length: 1000\r\n\r\n");
        const auto answer = caller.readAnswer();
        CPPUNIT_ASSERT_EQUAL(421u, answer->result_int());
        CPPUNIT_ASSERT(!answer->keep_alive());
    }

    void testFullRingRefusesAsOverloaded()
    {
        EntranceSettings settings;
        settings.ringCapacity = 1;
        std::promise<void> isFull;
        EntranceServer server(settings, [&isFull] { isFull.set_value(); });
        const Endpoint entry = server.start().value();
        // Nobody takes reports: the first request fills the ring, and the second one must be refused at once.
        TestCaller first(entry);
        first.send("GET /a HTTP/1.1\r\nhost: g\r\n\r\n");
        isFull.get_future().wait();
        TestCaller second(entry);
        second.send("GET /b HTTP/1.1\r\nhost: g\r\n\r\n");
        const auto answer = second.readAnswer();
        CPPUNIT_ASSERT(answer);
        CPPUNIT_ASSERT_EQUAL(503u, answer->result_int());
        CPPUNIT_ASSERT(answer->body().find("\"ran\":\"no\"") != std::string::npos);
    }

    void testConnectionsAreBounded()
    {
        EntranceSettings settings;
        settings.maximumConnections = 2;
        EntranceHarness harness(settings);
        StandinService service;
        const Endpoint entry = harness.start(service.start(), ServiceKind::PlainService);
        TestCaller first(entry);
        TestCaller second(entry);
        first.send("GET /a HTTP/1.1\r\nhost: g\r\n\r\n");
        CPPUNIT_ASSERT(first.readAnswer());
        second.send("GET /a HTTP/1.1\r\nhost: g\r\n\r\n");
        CPPUNIT_ASSERT(second.readAnswer());
        TestCaller third(entry);
        const auto answer = third.readAnswer();
        CPPUNIT_ASSERT(answer);
        CPPUNIT_ASSERT(answer->body().find("too_many_connections") != std::string::npos);
    }

    void testThreadsShareThePortButServersDoNot()
    {
        EntranceSettings settings;
        settings.threads = 3;
        StandinService service;
        EntranceHarness harness(settings);
        settings.listen = harness.start(service.start(), ServiceKind::PlainService);
        std::set<std::size_t> threads;
        // The system spreads connections by a hash of their ports, so a few hundred meet every thread.
        for (int number = 0; number < 300 && threads.size() < 3; ++number) {
            TestCaller caller(settings.listen);
            caller.send("GET /a HTTP/1.1\r\nhost: g\r\n\r\n");
            const auto answer = caller.readAnswer();
            CPPUNIT_ASSERT(answer);
            threads.insert(EntranceServer::threadOf(std::stoull(std::string((*answer)["papayashelf-request"]))));
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t { 3 }, threads.size());
        CPPUNIT_ASSERT(EntranceServer(settings, [] {}).start().error().code == ErrorCode::Unavailable);
    }

    void testLoadIsReported()
    {
        StandinEngine engine;
        const Endpoint upstream = engine.start();
        EntranceHarness harness;
        const Endpoint entry = harness.start(upstream, ServiceKind::ModelEngine);
        const std::string content(600, 'x');
        std::string body = R"({"model":"m","max_tokens":2,"messages":[{"role":"user","content":")" + content + "\"}]}";
        TestCaller caller(entry);
        caller.send("POST /v1/chat/completions HTTP/1.1\r\nhost: g\r\ncontent-length: " + std::to_string(body.size())
            + "\r\n\r\n" + body);
        CPPUNIT_ASSERT(caller.readAnswer());
        harness.getServer().setLoadSources({ { UpstreamId("stand-in"), upstream } }, Milliseconds(60'000));
        const auto load = harness.waitForReport<LoadReport>();
        CPPUNIT_ASSERT_EQUAL(std::string("stand-in"), load.upstream.string());
        // The engine names what it cached by the hashes that the decisions were told.
        CPPUNIT_ASSERT(load.prefixesAdded == harness.waitForReport<RequestArrival>().prefixHashes);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 2 }, load.prefixesAdded.size());
    }

    /** Accepts a connection, reads a request's head and writes bytes; the connection stays open with the result. */
    static asio::ip::tcp::socket answerOnce(asio::ip::tcp::acceptor& acceptor, const std::string& bytes)
    {
        asio::ip::tcp::socket socket = acceptor.accept();
        std::string request;
        asio::read_until(socket, asio::dynamic_buffer(request), "\r\n\r\n");
        asio::write(socket, asio::buffer(bytes));
        return socket;
    }

    void testCrossedAnswerReachesNobody()
    {
        asio::io_context context;
        asio::ip::tcp::acceptor acceptor(context, { asio::ip::address_v4::loopback(), 0 });
        EntranceHarness harness;
        const Endpoint entry
            = harness.start(Endpoint { "127.0.0.1", acceptor.local_endpoint().port() }, ServiceKind::PlainService);
        const std::string head = "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\n";
        // The first connection brings an answer too many: whoever asks next must not get it.
        std::thread upstream([&] {
            const auto first = answerOnce(acceptor, head + "right" + head + "wrong");
            const auto second = answerOnce(acceptor, head + "other");
        });
        TestCaller caller(entry);
        caller.send("GET /a HTTP/1.1\r\nhost: g\r\n\r\n");
        const auto first = caller.readAnswer();
        caller.send("GET /b HTTP/1.1\r\nhost: g\r\n\r\n");
        const auto second = caller.readAnswer();
        upstream.join();
        CPPUNIT_ASSERT(first && second);
        CPPUNIT_ASSERT_EQUAL(std::string("right"), first->body());
        CPPUNIT_ASSERT_EQUAL(std::string("other"), second->body());
    }

    void testArrivalDescribesRequest()
    {
        StandinEngine engine;
        EntranceHarness harness;
        const Endpoint entry = harness.start(engine.start(), ServiceKind::ModelEngine);
        TestCaller caller(entry);
        caller.send(TestCaller::chatRequest(true, 7, "idempotency-key: once\r\n"));
        const auto answer = caller.readAnswer();
        CPPUNIT_ASSERT(answer);
        const auto arrival = harness.waitForReport<RequestArrival>();
        CPPUNIT_ASSERT_EQUAL(std::string("shepherd"), arrival.model.string());
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 7 }, arrival.maximumTokens);
        CPPUNIT_ASSERT(arrival.isStreamed);
        CPPUNIT_ASSERT_EQUAL(std::string("once"), arrival.idempotencyKey);
        // SHA-256 of the test key.
        CPPUNIT_ASSERT_EQUAL(std::size_t { 64 }, arrival.key.string().size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EntranceServerTest);

} // namespace papayashelf
