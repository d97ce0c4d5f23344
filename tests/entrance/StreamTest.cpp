#include "entrance/EntranceHarness.h"
#include "standins/engine/StandinEngine.h"
#include "standins/engine/StandinService.h"

#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>

namespace papayashelf {

/** Streams that are cut, resumed, held back, cancelled or silent. */
class StreamTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(StreamTest);
    CPPUNIT_TEST(testCutStreamGoesOnAtAnotherEngine);
    CPPUNIT_TEST(testStreamIsNotGoneOnWithByAnotherKindOfAnswer);
    CPPUNIT_TEST(testMissingTokenIsNeverSkipped);
    CPPUNIT_TEST(testRepeatedTokensAreDropped);
    CPPUNIT_TEST(testStreamWithoutEndMarkIsNotShownAsComplete);
    CPPUNIT_TEST(testRefusalMidwayIsVisible);
    CPPUNIT_TEST(testSilentEngineIsReported);
    CPPUNIT_TEST(testSilentDeathEmptiesPool);
    CPPUNIT_TEST(testSlowCallerHoldsBackUpstream);
    CPPUNIT_TEST(testRefusalStopsAnswerToStuckCaller);
    CPPUNIT_TEST(testCancelReachesEngineWhenCallerGoes);
    CPPUNIT_TEST(testCancelDirectiveReachesEngine);
    CPPUNIT_TEST(testLateAttemptNumberIsIgnored);
    CPPUNIT_TEST(testDirectiveAfterCallerWentIsAnsweredAsNotSent);
    CPPUNIT_TEST(testHeartbeatsComeInSilence);
    CPPUNIT_TEST(testWholeAnswerCutIsNotBegun);
    CPPUNIT_TEST(testUnreachableAndBusyAreCertainlyNotRun);
    CPPUNIT_TEST(testLostAnswerIsNotCalledNotSent);
    CPPUNIT_TEST(testPlainAnswerCutIsVisible);
    CPPUNIT_TEST(testPlainCallRunsOnWhenCallerGoes);
    CPPUNIT_TEST(testEngineSilentBeforeHeadOfWholeAnswer);
    CPPUNIT_TEST_SUITE_END();

    static std::vector<std::int64_t> tokensOf(const std::string& stream)
    {
        std::vector<std::int64_t> tokens;
        const std::string mark = "\"token\":";
        for (std::size_t at = stream.find(mark); at != std::string::npos; at = stream.find(mark, at + 1))
            tokens.push_back(std::stoll(stream.substr(at + mark.size())));
        return tokens;
    }

    static std::vector<std::int64_t> countTo(std::int64_t last)
    {
        std::vector<std::int64_t> tokens;
        for (std::int64_t token = 1; token <= last; ++token)
            tokens.push_back(token);
        return tokens;
    }

    /** Each failed attempt is followed by one at the next endpoint, resumed where the caller stands. */
    static EntranceHarness::Script retryOver(EntranceHarness& harness, const std::vector<Endpoint>& endpoints)
    {
        return [&harness, endpoints](const RequestReport& report) {
            if (const auto* const arrival = std::get_if<RequestArrival>(&report))
                harness.direct(
                    EntranceHarness::attemptOf(arrival->request, endpoints.front(), ServiceKind::ModelEngine));
            const auto* const ended = std::get_if<AttemptEnded>(&report);
            if (!ended)
                return;
            if (ended->result == AttemptResult::Completed)
                return harness.direct(FinishRequest { ended->request });
            if (ended->attempt >= endpoints.size())
                return harness.direct(
                    RefuseRequest { ended->request, RefusalCode::UpstreamFailed, Ran::Unknown, std::nullopt, {} });
            StartAttempt next
                = EntranceHarness::attemptOf(ended->request, endpoints[ended->attempt], ServiceKind::ModelEngine);
            next.attempt = ended->attempt + 1;
            next.resumeFromToken = ended->answerTokens;
            harness.direct(next);
        };
    }

    void testCutStreamGoesOnAtAnotherEngine()
    {
        StandinEngine first;
        StandinEngine second;
        StandinEngine third;
        const std::vector<Endpoint> endpoints { first.start(), second.start(), third.start() };
        first.getHttp().setFault({ StandinFault::Die, 7, 1 });
        second.getHttp().setFault({ StandinFault::Die, 5, 1 });
        EntranceHarness harness;
        const Endpoint entry = harness.start(retryOver(harness, endpoints));
        TestCaller caller(entry);
        caller.send(TestCaller::chatRequest(true, 40));
        const auto answer = caller.readAnswer();
        CPPUNIT_ASSERT(answer);
        CPPUNIT_ASSERT(countTo(40) == tokensOf(answer->body()));
        CPPUNIT_ASSERT_EQUAL(std::string("7"), second.getHttp().getRequests().at(0).header("x-resume-from"));
        CPPUNIT_ASSERT_EQUAL(std::string("12"), third.getHttp().getRequests().at(0).header("x-resume-from"));
    }

    void testStreamIsNotGoneOnWithByAnotherKindOfAnswer()
    {
        StandinEngine first;
        StandinService notAnEngine;
        StandinEngine third;
        const std::vector<Endpoint> endpoints { first.start(), notAnEngine.start(), third.start() };
        first.getHttp().setFault({ StandinFault::Die, 4, 1 });
        EntranceHarness harness;
        const Endpoint entry = harness.start(retryOver(harness, endpoints));
        TestCaller caller(entry);
        caller.send(TestCaller::chatRequest(true, 10));
        const auto answer = caller.readAnswer();
        CPPUNIT_ASSERT(answer);
        CPPUNIT_ASSERT(countTo(10) == tokensOf(answer->body()));
        CPPUNIT_ASSERT(answer->body().find("executions") == std::string::npos);
    }

    void testMissingTokenIsNeverSkipped()
    {
        StandinEngine first;
        StandinEngine second;
        const std::vector<Endpoint> endpoints { first.start(), second.start() };
        first.getHttp().setFault({ StandinFault::SkipToken, 3, 1 });
        EntranceHarness harness;
        const Endpoint entry = harness.start(retryOver(harness, endpoints));
        TestCaller caller(entry);
        caller.send(TestCaller::chatRequest(true, 10));
        const auto answer = caller.readAnswer();
        CPPUNIT_ASSERT(answer);
        CPPUNIT_ASSERT(countTo(10) == tokensOf(answer->body()));
        CPPUNIT_ASSERT(harness.waitForReport<AttemptEnded>().result == AttemptResult::Cut);
    }

    void testRepeatedTokensAreDropped()
    {
        StandinEngine engine;
        EntranceHarness harness;
        const Endpoint entry = harness.start(engine.start(), ServiceKind::ModelEngine);
        engine.getHttp().setFault({ StandinFault::RepeatTokens, 0, 1 });
        TestCaller caller(entry);
        caller.send(TestCaller::chatRequest(true, 10));
        const auto answer = caller.readAnswer();
        CPPUNIT_ASSERT(answer);
        CPPUNIT_ASSERT(countTo(10) == tokensOf(answer->body()));
    }

    void testStreamWithoutEndMarkIsNotShownAsComplete()
    {
        StandinEngine engine;
        EntranceHarness harness;
        const Endpoint entry = harness.start(engine.start(), ServiceKind::ModelEngine);
        engine.getHttp().setFault({ StandinFault::EndWithoutMark, 0, 1 });
        TestCaller caller(entry);
        caller.send(TestCaller::chatRequest(true, 10));
        const std::string answer = caller.readAll();
        CPPUNIT_ASSERT(harness.waitForReport<AttemptEnded>().result == AttemptResult::Cut);
        assertVisiblyIncomplete(answer);
    }

    static void assertVisiblyIncomplete(const std::string& answer)
    {
        CPPUNIT_ASSERT(answer.find("HTTP/1.1 200") == 0);
        CPPUNIT_ASSERT(answer.find("data: {\"error\":{\"code\":") != std::string::npos);
        CPPUNIT_ASSERT(answer.find("[DONE]") == std::string::npos);
        CPPUNIT_ASSERT(answer.find("\r\n0\r\n") == std::string::npos);
    }

    void testRefusalMidwayIsVisible()
    {
        StandinEngine engine;
        const Endpoint upstream = engine.start();
        engine.getHttp().setFault({ StandinFault::GoSilent, 3, 1 });
        EntranceHarness harness;
        const Endpoint entry = harness.start([&](const RequestReport& report) {
            if (const auto* const arrival = std::get_if<RequestArrival>(&report))
                harness.direct(EntranceHarness::attemptOf(arrival->request, upstream, ServiceKind::ModelEngine));
            if (const auto* const began = std::get_if<AttemptBegan>(&report))
                harness.direct(
                    RefuseRequest { began->request, RefusalCode::StoppedMidway, Ran::Unknown, std::nullopt, {} });
        });
        TestCaller caller(entry);
        caller.send(TestCaller::chatRequest(true, 10));
        const std::string answer = caller.readAll();
        assertVisiblyIncomplete(answer);
        CPPUNIT_ASSERT(answer.find("stopped_midway") != std::string::npos);
        CPPUNIT_ASSERT(engine.getHttp().waitForCount("cancelled", 1));
    }

    static EntranceHarness::Script impatient(EntranceHarness& harness, const Endpoint& upstream, ServiceKind kind)
    {
        return [&harness, upstream, kind](const RequestReport& report) {
            if (const auto* const arrival = std::get_if<RequestArrival>(&report)) {
                StartAttempt start = EntranceHarness::attemptOf(arrival->request, upstream, kind);
                start.firstByteLimit = Milliseconds(300);
                start.betweenBytesLimit = Milliseconds(300);
                harness.direct(start);
            }
            if (const auto* const ended = std::get_if<AttemptEnded>(&report)) {
                if (ended->result == AttemptResult::Completed)
                    harness.direct(FinishRequest { ended->request });
                else
                    harness.direct(
                        RefuseRequest { ended->request, RefusalCode::UpstreamFailed, Ran::Unknown, std::nullopt, {} });
            }
        };
    }

    void testSilentEngineIsReported()
    {
        StandinEngine engine;
        const Endpoint upstream = engine.start();
        engine.getHttp().setFault({ StandinFault::GoSilent, 4, 1 });
        EntranceHarness harness;
        const Endpoint entry = harness.start(impatient(harness, upstream, ServiceKind::ModelEngine));
        TestCaller caller(entry);
        caller.send(TestCaller::chatRequest(true, 10));
        assertVisiblyIncomplete(caller.readAll());
        const auto ended = harness.waitForReport<AttemptEnded>();
        CPPUNIT_ASSERT(ended.result == AttemptResult::Silent);
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 4 }, ended.answerTokens);
        CPPUNIT_ASSERT(engine.getHttp().waitForCount("cancelled", 1));
    }

    void testEngineSilentBeforeHeadOfWholeAnswer()
    {
        StandinEngine engine;
        const Endpoint upstream = engine.start();
        engine.getHttp().setFault({ StandinFault::GoSilent, 0, 1 });
        EntranceHarness harness;
        const Endpoint entry = harness.start(impatient(harness, upstream, ServiceKind::ModelEngine));
        TestCaller caller(entry);
        caller.send(TestCaller::chatRequest(false, 10));
        const auto answer = caller.readAnswer();
        CPPUNIT_ASSERT(answer);
        CPPUNIT_ASSERT_EQUAL(502u, answer->result_int());
        CPPUNIT_ASSERT(harness.waitForReport<AttemptEnded>().result == AttemptResult::Silent);
    }

    void testSilentDeathEmptiesPool()
    {
        StandinService service;
        const Endpoint upstream = service.start();
        EntranceHarness harness;
        const Endpoint entry = harness.start(impatient(harness, upstream, ServiceKind::PlainService));
        TestCaller first(entry);
        TestCaller second(entry);
        const std::string get = "GET /a HTTP/1.1\r\nhost: g\r\n\r\n";
        // Two connections are open at once and then idle.
        service.getHttp().setFault({ StandinFault::Slow, 0, 1 });
        first.send(get);
        CPPUNIT_ASSERT(service.getHttp().waitForRequests(1));
        second.send(get);
        CPPUNIT_ASSERT_EQUAL(200u, second.readAnswer()->result_int());
        CPPUNIT_ASSERT_EQUAL(502u, first.readAnswer()->result_int());
        CPPUNIT_ASSERT_EQUAL(2, service.getHttp().getCount("connection"));
        // The idle one was opened before the silence: it must not be used again.
        second.send(get);
        CPPUNIT_ASSERT_EQUAL(200u, second.readAnswer()->result_int());
        CPPUNIT_ASSERT_EQUAL(3, service.getHttp().getCount("connection"));
    }

    void testSlowCallerHoldsBackUpstream()
    {
        StandinEngine engine;
        EntranceHarness harness;
        const Endpoint entry = harness.start(engine.start(), ServiceKind::ModelEngine);
        constexpr int tokens = 80'000;
        TestCaller slow(entry, 4096);
        slow.send(TestCaller::chatRequest(true, tokens));
        slow.readUntil("\"token\":1,");
        // The engine takes a step for both at once: when the second answer is there, the first is made too. Yet it
        // cannot have been sent, since nobody reads it.
        TestCaller quick(entry);
        quick.send(TestCaller::chatRequest(false, tokens));
        CPPUNIT_ASSERT(quick.readAnswer());
        quick.send(TestCaller::chatRequest(false, 3));
        CPPUNIT_ASSERT(quick.readAnswer());
        CPPUNIT_ASSERT(engine.getHttp().waitForCount("completed", 2));
        CPPUNIT_ASSERT_EQUAL(2, engine.getHttp().getCount("completed"));
        std::string rest;
        std::string tail;
        while (tail.find("\r\n0\r\n\r\n") == std::string::npos) {
            rest = slow.readSome();
            CPPUNIT_ASSERT(!rest.empty());
            tail += rest;
            tail.erase(0, tail.size() - std::min<std::size_t>(tail.size(), 64));
        }
        CPPUNIT_ASSERT(engine.getHttp().waitForCount("completed", 3));
    }

    void testRefusalStopsAnswerToStuckCaller()
    {
        StandinEngine engine;
        const Endpoint upstream = engine.start();
        EntranceHarness harness;
        const Endpoint entry = harness.start([&](const RequestReport& report) {
            if (const auto* const arrival = std::get_if<RequestArrival>(&report))
                harness.direct(EntranceHarness::attemptOf(arrival->request, upstream, ServiceKind::ModelEngine));
        });
        TestCaller stuck(entry, 4096);
        constexpr int tokens = 80'000;
        stuck.send(TestCaller::chatRequest(true, tokens));
        stuck.readUntil("\"token\":1,");
        const RequestId request = harness.waitForReport<RequestArrival>().request;
        // Once a second answer of the same length is there, the first one fills everything on its way.
        TestCaller quick(entry);
        quick.send(TestCaller::chatRequest(false, tokens));
        CPPUNIT_ASSERT(quick.readAnswer());
        harness.direct(RefuseRequest { request, RefusalCode::StoppedMidway, Ran::Unknown, std::nullopt, {} });
        const RequestReport ended = harness.waitFor([request](const RequestReport& report) {
            const auto* const one = std::get_if<AttemptEnded>(&report);
            return one && one->request == request;
        });
        CPPUNIT_ASSERT(std::get<AttemptEnded>(ended).result == AttemptResult::Cancelled);
        CPPUNIT_ASSERT(stuck.readAll().find("[DONE]") == std::string::npos);
    }

    void testCancelReachesEngineWhenCallerGoes()
    {
        StandinEngine engine;
        engine.getHttp().setFault({ StandinFault::GoSilent, 2, 1 });
        EntranceHarness harness;
        const Endpoint entry = harness.start(engine.start(), ServiceKind::ModelEngine);
        TestCaller caller(entry);
        caller.send(TestCaller::chatRequest(true, 10));
        caller.readUntil("\"token\":2,");
        caller.close();
        CPPUNIT_ASSERT(engine.getHttp().waitForCount("cancelled", 1));
        harness.waitForReport<CallerGone>();
        CPPUNIT_ASSERT(harness.waitForReport<AttemptEnded>().result == AttemptResult::Cancelled);
    }

    void testCancelDirectiveReachesEngine()
    {
        StandinEngine first;
        StandinEngine second;
        const Endpoint firstEndpoint = first.start();
        const Endpoint secondEndpoint = second.start();
        first.getHttp().setFault({ StandinFault::GoSilent, 2, 1 });
        EntranceHarness harness;
        const Endpoint entry = harness.start([&](const RequestReport& report) {
            if (const auto* const arrival = std::get_if<RequestArrival>(&report))
                harness.direct(EntranceHarness::attemptOf(arrival->request, firstEndpoint, ServiceKind::ModelEngine));
            const auto* const began = std::get_if<AttemptBegan>(&report);
            if (began && began->attempt == 1) {
                // The next attempt is directed before the first has ended: it begins after it.
                harness.direct(CancelAttempt { began->request, 1 });
                StartAttempt next
                    = EntranceHarness::attemptOf(began->request, secondEndpoint, ServiceKind::ModelEngine);
                next.attempt = 2;
                harness.direct(next);
            }
            const auto* const ended = std::get_if<AttemptEnded>(&report);
            if (ended && ended->attempt == 2)
                harness.direct(FinishRequest { ended->request });
        });
        TestCaller caller(entry);
        caller.send(TestCaller::chatRequest(true, 10));
        const auto answer = caller.readAnswer();
        CPPUNIT_ASSERT(answer);
        CPPUNIT_ASSERT(countTo(10) == tokensOf(answer->body()));
        CPPUNIT_ASSERT(first.getHttp().waitForCount("cancelled", 1));
    }

    void testLateAttemptNumberIsIgnored()
    {
        StandinService first;
        StandinService second;
        const Endpoint firstEndpoint = first.start();
        const Endpoint secondEndpoint = second.start();
        EntranceHarness harness;
        const Endpoint entry = harness.start([&](const RequestReport& report) {
            if (const auto* const arrival = std::get_if<RequestArrival>(&report)) {
                StartAttempt start
                    = EntranceHarness::attemptOf(arrival->request, secondEndpoint, ServiceKind::PlainService);
                start.attempt = 2;
                harness.direct(start);
                harness.direct(EntranceHarness::attemptOf(arrival->request, firstEndpoint, ServiceKind::PlainService));
            }
            if (const auto* const ended = std::get_if<AttemptEnded>(&report))
                harness.direct(FinishRequest { ended->request });
        });
        TestCaller caller(entry);
        caller.send("POST /a HTTP/1.1\r\nhost: g\r\ncontent-length: 2\r\n\r\nid");
        CPPUNIT_ASSERT(caller.readAnswer());
        CPPUNIT_ASSERT_EQUAL(0, first.getExecutions("id"));
        CPPUNIT_ASSERT_EQUAL(1, second.getExecutions("id"));
    }

    void testDirectiveAfterCallerWentIsAnsweredAsNotSent()
    {
        StandinService service;
        const Endpoint upstream = service.start();
        EntranceHarness harness;
        const Endpoint entry = harness.start([&](const RequestReport& report) {
            if (const auto* const gone = std::get_if<CallerGone>(&report))
                harness.direct(EntranceHarness::attemptOf(gone->request, upstream, ServiceKind::PlainService));
        });
        TestCaller caller(entry);
        caller.send("POST /a HTTP/1.1\r\nhost: g\r\ncontent-length: 2\r\n\r\nid");
        harness.waitForReport<RequestArrival>();
        caller.close();
        CPPUNIT_ASSERT(harness.waitForReport<AttemptEnded>().result == AttemptResult::NotSent);
        CPPUNIT_ASSERT_EQUAL(0, service.getExecutions("id"));
    }

    void testHeartbeatsComeInSilence()
    {
        EntranceSettings settings;
        settings.heartbeatInterval = Milliseconds(50);
        StandinEngine engine;
        engine.getHttp().setFault({ StandinFault::GoSilent, 2, 1 });
        EntranceHarness harness(settings);
        const Endpoint entry = harness.start(engine.start(), ServiceKind::ModelEngine);
        TestCaller caller(entry);
        caller.send(TestCaller::chatRequest(true, 10));
        const std::string answer = caller.readUntil(": keep-alive\n\n");
        CPPUNIT_ASSERT(answer.find("\"token\":2,") < answer.find(": keep-alive"));
    }

    void testWholeAnswerCutIsNotBegun()
    {
        StandinEngine first;
        StandinEngine second;
        const std::vector<Endpoint> endpoints { first.start(), second.start() };
        first.getHttp().setFault({ StandinFault::Die, 0, 1 });
        EntranceHarness harness;
        const Endpoint entry = harness.start(retryOver(harness, endpoints));
        TestCaller caller(entry);
        caller.send(TestCaller::chatRequest(false, 10));
        const auto answer = caller.readAnswer();
        CPPUNIT_ASSERT(answer);
        CPPUNIT_ASSERT_EQUAL(200u, answer->result_int());
        CPPUNIT_ASSERT(answer->body().find("\"completion_tokens\":10") != std::string::npos);
        CPPUNIT_ASSERT(harness.waitForReport<AttemptEnded>().result == AttemptResult::Cut);
        CPPUNIT_ASSERT_EQUAL(2u, harness.waitForReport<AttemptBegan>().attempt);
    }

    AttemptResult resultOfPost(const Endpoint& upstream)
    {
        EntranceHarness harness;
        const Endpoint entry = harness.start(upstream, ServiceKind::PlainService);
        TestCaller caller(entry);
        caller.send("POST /a HTTP/1.1\r\nhost: g\r\ncontent-length: 2\r\n\r\nid");
        CPPUNIT_ASSERT(caller.readAnswer());
        return harness.waitForReport<AttemptEnded>().result;
    }

    void testUnreachableAndBusyAreCertainlyNotRun()
    {
        Endpoint closed;
        {
            StandinService gone;
            closed = gone.start();
        }
        CPPUNIT_ASSERT(resultOfPost(closed) == AttemptResult::NotSent);
        StandinService service;
        const Endpoint upstream = service.start();
        service.getHttp().setFault({ StandinFault::RefuseBusy, 0, 1 });
        CPPUNIT_ASSERT(resultOfPost(upstream) == AttemptResult::RejectedBusy);
        CPPUNIT_ASSERT_EQUAL(0, service.getExecutions("id"));
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
        CPPUNIT_ASSERT(harness.waitForReport<AttemptEnded>().result == AttemptResult::Cut);
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
        harness.waitForReport<CallerGone>();
        const auto ended = harness.waitForReport<AttemptEnded>();
        CPPUNIT_ASSERT(ended.result == AttemptResult::Completed);
        CPPUNIT_ASSERT_EQUAL(1, service.getExecutions("id"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StreamTest);

} // namespace papayashelf
