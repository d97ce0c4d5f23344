#include "entrance/EntranceHarness.h"
#include "standins/engine/StandinEngine.h"
#include "standins/engine/StandinService.h"

#include <algorithm>
#include <chrono>
#include <cppunit/extensions/HelperMacros.h>
#include <thread>

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
    CPPUNIT_TEST(testSlowCallerHoldsBackUpstream);
    CPPUNIT_TEST(testStreamIsNotCutOffWhileCallerPauses);
    CPPUNIT_TEST(testRefusalStopsAnswerToStuckCaller);
    CPPUNIT_TEST(testCancelReachesEngineWhenCallerGoes);
    CPPUNIT_TEST(testCancelDirectiveReachesEngine);
    CPPUNIT_TEST(testLateAttemptNumberIsIgnored);
    CPPUNIT_TEST(testDirectiveAfterCallerWentIsAnsweredAsNotSent);
    CPPUNIT_TEST(testHeartbeatsComeInSilence);
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

    void testCutStreamGoesOnAtAnotherEngine()
    {
        StandinEngine first;
        StandinEngine second;
        StandinEngine third;
        const std::vector<Endpoint> endpoints { first.start(), second.start(), third.start() };
        first.getHttp().setFault({ StandinFault::Die, 7, 1 });
        second.getHttp().setFault({ StandinFault::Die, 5, 1 });
        EntranceHarness harness;
        const Endpoint entry = harness.start(harness.retryOver(endpoints));
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
        const Endpoint entry = harness.start(harness.retryOver(endpoints));
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
        const Endpoint entry = harness.start(harness.retryOver(endpoints));
        TestCaller caller(entry);
        caller.send(TestCaller::chatRequest(true, 10));
        const auto answer = caller.readAnswer();
        CPPUNIT_ASSERT(answer);
        CPPUNIT_ASSERT(countTo(10) == tokensOf(answer->body()));
        CPPUNIT_ASSERT(harness.waitForReport<AttemptEnded>().result == AttemptResult::Truncated);
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
        CPPUNIT_ASSERT(harness.waitForReport<AttemptEnded>().result == AttemptResult::Truncated);
        EntranceHarness::assertVisiblyIncomplete(answer);
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
        EntranceHarness::assertVisiblyIncomplete(answer);
        CPPUNIT_ASSERT(answer.find("stopped_midway") != std::string::npos);
        CPPUNIT_ASSERT(engine.getHttp().waitForCount("cancelled", 1));
    }

    void testSlowCallerHoldsBackUpstream()
    {
        StandinEngine engine;
        EntranceHarness harness;
        const Endpoint entry = harness.start(engine.start(), ServiceKind::ModelEngine);
        constexpr int tokens = 80'000;
        TestCaller slow(entry, TestCaller::slowReceiveBufferBytes);
        slow.send(TestCaller::chatRequest(true, tokens));
        slow.readUntil("\"token\":1,");
        TestCaller::assertUnreadAnswerIsHeldBack(entry, engine.getHttp(), tokens);
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

    // A pause of the caller was taken for silence of the upstream.
    void testStreamIsNotCutOffWhileCallerPauses()
    {
        constexpr Milliseconds limit { 1'000 };
        StandinEngine engine;
        EntranceHarness harness;
        const Endpoint entry = harness.start(harness.impatient(engine.start(), ServiceKind::ModelEngine, limit));
        constexpr int tokens = 80'000;
        TestCaller caller(entry);
        caller.send(TestCaller::chatRequest(true, tokens));
        std::string answer = caller.readUntil("\"token\":1,");
        std::this_thread::sleep_for(std::chrono::milliseconds(2 * limit.count()));
        for (std::string piece;
             answer.find("[DONE]", answer.size() - std::min(answer.size(), piece.size() + 8)) == std::string::npos;) {
            piece = caller.readSome();
            CPPUNIT_ASSERT(!piece.empty());
            answer += piece;
        }
        std::size_t at = 0;
        for (int token = 1; token <= tokens && at != std::string::npos; ++token)
            at = answer.find("\"token\":" + std::to_string(token) + ",", at);
        CPPUNIT_ASSERT(at != std::string::npos);
        CPPUNIT_ASSERT(harness.waitForReport<AttemptEnded>().result == AttemptResult::Completed);
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
        TestCaller stuck(entry, TestCaller::slowReceiveBufferBytes);
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
        harness.waitForReport<CallerDisconnected>();
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
            if (const auto* const gone = std::get_if<CallerDisconnected>(&report))
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
};

CPPUNIT_TEST_SUITE_REGISTRATION(StreamTest);

} // namespace papayashelf
