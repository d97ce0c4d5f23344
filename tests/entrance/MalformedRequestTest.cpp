#include "entrance/EntranceHarness.h"
#include "standins/engine/StandinService.h"

#include <cppunit/extensions/HelperMacros.h>

namespace papayashelf {

/** Requests that must be turned away, and never reach an upstream or the decisions. */
class MalformedRequestTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(MalformedRequestTest);
    CPPUNIT_TEST(testSmugglingIsRefused);
    CPPUNIT_TEST(testMalformedHttpIsRefused);
    CPPUNIT_TEST(testPathsThatServersReadDifferentlyAreRefused);
    CPPUNIT_TEST(testInvalidChatBodiesAreRefused);
    CPPUNIT_TEST(testSizesAreBounded);
    CPPUNIT_TEST(testSlowSendersAreTurnedAway);
    CPPUNIT_TEST(testContinueIsAnswered);
    CPPUNIT_TEST(testEveryCutOfARequestIsHarmless);
    CPPUNIT_TEST_SUITE_END();

    /** The status that a request is answered with, and "code" from the body. */
    static std::string answerTo(const Endpoint& entry, const std::string& request)
    {
        TestCaller caller(entry);
        caller.send(request);
        const auto answer = caller.readAnswer();
        if (!answer)
            return "none";
        const std::string& body = answer->body();
        const std::string mark = "\"code\":\"";
        const std::size_t begin = body.find(mark);
        const std::string code = begin == std::string::npos
            ? std::string("-")
            : body.substr(begin + mark.size(), body.find('"', begin + mark.size()) - begin - mark.size());
        return std::to_string(answer->result_int()) + " " + code;
    }

    static void assertAllAnswered(const std::vector<std::string>& requests, const std::string& expected)
    {
        StandinService service;
        EntranceHarness harness;
        const Endpoint entry = harness.start(service.start(), ServiceKind::PlainService);
        for (const std::string& request : requests)
            CPPUNIT_ASSERT_EQUAL_MESSAGE(request, expected, answerTo(entry, request));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 0 }, harness.countReports<RequestArrival>());
        CPPUNIT_ASSERT_EQUAL(std::size_t { 0 }, service.getHttp().getRequests().size());
        CPPUNIT_ASSERT_EQUAL(std::string("200 -"), answerTo(entry, "GET /good HTTP/1.1\r\nhost: g\r\n\r\n"));
    }

    void testSmugglingIsRefused()
    {
        const std::string post = "POST /a HTTP/1.1\r\nhost: g\r\n";
        const std::string chunked = "\r\n0\r\n\r\n";
        assertAllAnswered(
            { post + "content-length: 5\r\ntransfer-encoding: chunked\r\n" + chunked,
                post + "transfer-encoding: chunked\r\ncontent-length: 5\r\n" + chunked,
                post + "content-length: 5\r\ncontent-length: 6\r\n\r\nabcdef", post + "content-length: +5\r\n\r\nabcde",
                post + "content-length: -1\r\n\r\n", post + "content-length: 5, 6\r\n\r\nabcdef",
                post + "content-length: 0x5\r\n\r\nabcde", post + "transfer-encoding: xchunked\r\n" + chunked,
                post + "transfer-encoding: chunked, identity\r\n" + chunked,
                post + "transfer-encoding: identity\r\ntransfer-encoding: chunked\r\n" + chunked,
                post + "transfer-encoding : chunked\r\n" + chunked, post + "transfer-encoding: chunked\r\n\r\nzz\r\n" },
            "400 malformed_request");
    }

    void testMalformedHttpIsRefused()
    {
        assertAllAnswered(
            { "\x16\x03\x01\x02\x01\r\n\r\n", "GET\r\n\r\n", "GET /a HTTP/1.1\r\n\r\n",
                "GET /a HTTP/1.1\r\nhost: g\r\nhost: h\r\n\r\n", "GET /a HTTP/1.1\r\nhost: g\r\nbad field: 1\r\n\r\n",
                "GET /a HTTP/1.1\r\nhost: g\r\nauthorization: Bearer a\r\nauthorization: Bearer b\r\n\r\n" },
            "400 malformed_request");
        assertAllAnswered({ "GET /a HTTP/1.0\r\nhost: g\r\n\r\n" }, "505 unsupported_version");
        assertAllAnswered({ "TRACE /a HTTP/1.1\r\nhost: g\r\n\r\n", "CONNECT /a HTTP/1.1\r\nhost: g\r\n\r\n" },
            "405 method_not_allowed");
        assertAllAnswered({ "POST /a HTTP/1.1\r\nhost: g\r\nexpect: miracles\r\ncontent-length: 1\r\n\r\n" },
            "417 unsupported_expectation");
    }

    void testPathsThatServersReadDifferentlyAreRefused()
    {
        std::vector<std::string> requests;
        for (const char* const path :
            { "/open/../closed", "/open/%2e%2e/closed", "/open/%2E./closed", "/open/..;x/closed", "/open%2f..%2fclosed",
                "/open\\closed", "/open/%5cclosed", "/a%00b", "/a%252e", "/./a", "a", "*" })
            requests.push_back("GET " + std::string(path) + " HTTP/1.1\r\nhost: g\r\n\r\n");
        assertAllAnswered(requests, "400 malformed_path");
    }

    static std::string chatWith(const std::string& body)
    {
        std::string request = "POST /v1/chat/completions HTTP/1.1\r\nhost: g\r\ncontent-length: ";
        request += std::to_string(body.size()) + "\r\n\r\n" + body;
        return request;
    }

    void testInvalidChatBodiesAreRefused()
    {
        const std::string messages = R"("messages":[{"role":"user","content":"x"}])";
        std::vector<std::string> requests;
        for (const std::string& body : { std::string(), std::string("{"), std::string("[]"), std::string("{} trailing"),
                 R"({"model":"m"})" + std::string(), R"({"model":1,)" + messages + "}",
                 std::string(R"({"model":"m","messages":[]})"), std::string(R"({"model":"m","messages":[1]})"),
                 std::string(R"({"model":"m","messages":[{"content":"x"}]})"),
                 R"({"model":"m","max_tokens":-1,)" + messages + "}",
                 R"({"model":"m","max_tokens":"5",)" + messages + "}",
                 R"({"model":"m","max_tokens":1e99,)" + messages + "}", R"({"model":"m","n":2,)" + messages + "}",
                 R"({"model":"m","max_tokens":1,"max_completion_tokens":2,)" + messages + "}",
                 R"({"model":"m","stream":"yes",)" + messages + "}",
                 std::string("{\"model\":\"m\",\"messages\":[{\"role\":\"user\",\"content\":\"\xff\xfe\"}]}") })
            requests.push_back(chatWith(body));
        assertAllAnswered(requests, "400 invalid_chat_request");
    }

    void testSizesAreBounded()
    {
        EntranceSettings settings;
        settings.maximumHeaderBytes = 2000;
        settings.maximumBodyBytes = 3000;
        EntranceHarness harness(settings);
        StandinService service;
        const Endpoint entry = harness.start(service.start(), ServiceKind::PlainService);
        const std::string large(100'000, 'x');
        const std::string post = "POST /a HTTP/1.1\r\nhost: g\r\n";
        CPPUNIT_ASSERT_EQUAL(std::string("431 header_too_large"), answerTo(entry, post + "x: " + large + "\r\n\r\n"));
        CPPUNIT_ASSERT_EQUAL(
            std::string("413 body_too_large"), answerTo(entry, post + "content-length: 100000\r\n\r\n" + large));
        CPPUNIT_ASSERT_EQUAL(std::string("413 body_too_large"),
            answerTo(entry, post + "transfer-encoding: chunked\r\n\r\n186a0\r\n" + large + "\r\n0\r\n\r\n"));
        const std::string fits(3000, 'x');
        CPPUNIT_ASSERT_EQUAL(std::string("200 -"), answerTo(entry, post + "content-length: 3000\r\n\r\n" + fits));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, service.getHttp().getRequests().size());
    }

    void testSlowSendersAreTurnedAway()
    {
        EntranceSettings settings;
        settings.headTimeout = Milliseconds(100);
        settings.bodyTimeout = Milliseconds(100);
        settings.idleTimeout = Milliseconds(100);
        EntranceHarness harness(settings);
        const Endpoint entry = harness.start([](const RequestReport&) {});
        CPPUNIT_ASSERT_EQUAL(std::string("408 head_timeout"), answerTo(entry, "POST /a HT"));
        CPPUNIT_ASSERT_EQUAL(std::string("408 body_timeout"),
            answerTo(entry, "POST /a HTTP/1.1\r\nhost: g\r\ncontent-length: 9\r\n\r\nabc"));
        CPPUNIT_ASSERT_EQUAL(std::string("none"), answerTo(entry, ""));
    }

    void testContinueIsAnswered()
    {
        StandinService service;
        EntranceHarness harness;
        const Endpoint entry = harness.start(service.start(), ServiceKind::PlainService);
        TestCaller caller(entry);
        caller.send("POST /a HTTP/1.1\r\nhost: g\r\nexpect: 100-continue\r\ncontent-length: 3\r\n\r\n");
        CPPUNIT_ASSERT_EQUAL(std::string("HTTP/1.1 100 Continue\r\n\r\n"), caller.readUntil("\r\n\r\n"));
        caller.send("abc");
        CPPUNIT_ASSERT_EQUAL(200u, caller.readAnswer()->result_int());
        CPPUNIT_ASSERT_EQUAL(std::string("abc"), service.getHttp().getRequests().at(0).body);
    }

    void testEveryCutOfARequestIsHarmless()
    {
        StandinService service;
        EntranceHarness harness;
        const Endpoint entry = harness.start(service.start(), ServiceKind::PlainService);
        const std::string request
            = "POST /a HTTP/1.1\r\nhost: g\r\ntransfer-encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n";
        for (std::size_t cut = 0; cut < request.size(); ++cut) {
            TestCaller caller(entry);
            caller.send(request.substr(0, cut));
            caller.close();
        }
        // Byte by byte, the same request is whole.
        TestCaller caller(entry);
        for (const char byte : request)
            caller.send(std::string(1, byte));
        CPPUNIT_ASSERT_EQUAL(200u, caller.readAnswer()->result_int());
        CPPUNIT_ASSERT_EQUAL(1, service.getExecutions("abc"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MalformedRequestTest);

} // namespace papayashelf
