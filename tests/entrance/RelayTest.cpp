#include "entrance/EntranceHarness.h"
#include "standins/engine/StandinEngine.h"
#include "standins/engine/StandinService.h"

#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>

namespace papayashelf {

/** Answers that come from another VM, and the pipe that carries them. */
class RelayTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(RelayTest);
    CPPUNIT_TEST(testExchangeBoundsWhatWaits);
    CPPUNIT_TEST(testStreamCrossesTwoVms);
    CPPUNIT_TEST(testPlainCallCrossesTwoVms);
    CPPUNIT_TEST(testSlowCallerHoldsBackTheOtherVm);
    CPPUNIT_TEST(testRefusalOfTheOtherVmSaysWhetherItRan);
    CPPUNIT_TEST(testCutRelayIsGoneOnWithHere);
    CPPUNIT_TEST(testCallerGoneReachesTheOtherVm);
    CPPUNIT_TEST(testWithoutTransportNothingIsSent);
    CPPUNIT_TEST_SUITE_END();

    static RelayTransport joinTo(EntranceHarness& other)
    {
        return [&other](const StartRelay&, RelayedRequest request, std::shared_ptr<RelayExchange> answer) {
            other.getServer().serveRelayed(std::move(request), std::move(answer));
        };
    }

    /** Relays every request, and tries it at the endpoint if the relay fails. */
    static EntranceHarness::Script relayFirst(EntranceHarness& harness, const Endpoint& then)
    {
        return [&harness, then](const RequestReport& report) {
            if (const auto* const arrival = std::get_if<RequestArrival>(&report)) {
                StartRelay start;
                start.request = arrival->request;
                start.attempt = 1;
                start.workspace = WorkspaceId("trial-entries");
                start.firstByteLimit = Milliseconds(20'000);
                start.betweenBytesLimit = Milliseconds(20'000);
                start.remaining = Milliseconds(60'000);
                harness.direct(start);
            }
            const auto* const ended = std::get_if<AttemptEnded>(&report);
            if (!ended)
                return;
            if (ended->result == AttemptResult::Completed)
                return harness.direct(FinishRequest { ended->request });
            if (ended->attempt > 1 || then.port == 0)
                return harness.direct(
                    RefuseRequest { ended->request, RefusalCode::UpstreamFailed, Ran::Unknown, std::nullopt, {} });
            StartAttempt next = EntranceHarness::attemptOf(ended->request, then, ServiceKind::ModelEngine);
            next.attempt = 2;
            next.resumeFromToken = ended->answerTokens;
            harness.direct(next);
        };
    }

    void testExchangeBoundsWhatWaits()
    {
        RelayExchange exchange(10);
        int producerWakes = 0;
        exchange.setProducerWake([&producerWakes] { ++producerWakes; });
        CPPUNIT_ASSERT(exchange.write(RelayAnswerHead { 200, {} }));
        CPPUNIT_ASSERT(exchange.write(RelayAnswerBytes { "12345678" }));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 2 }, exchange.getRoom());
        CPPUNIT_ASSERT(exchange.write(RelayAnswerBytes { "too much" }));
        CPPUNIT_ASSERT(!exchange.write(RelayAnswerBytes { "1" }));
        exchange.read();
        CPPUNIT_ASSERT_EQUAL(0, producerWakes);
        exchange.read();
        CPPUNIT_ASSERT_EQUAL(1, producerWakes);
        const auto end = exchange.read();
        CPPUNIT_ASSERT(std::get<RelayAnswerEnd>(*end).result == AttemptResult::Truncated);
        exchange.cancel();
        CPPUNIT_ASSERT(exchange.isCancelled());
        CPPUNIT_ASSERT_EQUAL(2, producerWakes);
    }

    void testStreamCrossesTwoVms()
    {
        StandinEngine engine;
        EntranceHarness far;
        EntranceHarness near;
        far.start(engine.start(), ServiceKind::ModelEngine);
        near.getServer().setRelayTransport(joinTo(far));
        const Endpoint entry = near.start(relayFirst(near, {}));
        TestCaller caller(entry);
        caller.send(TestCaller::chatRequest(true, 30));
        const auto answer = caller.readAnswer();
        CPPUNIT_ASSERT(answer);
        CPPUNIT_ASSERT(answer->body().find("\"token\":30,") != std::string::npos);
        CPPUNIT_ASSERT(answer->body().ends_with("data: [DONE]\n\n"));
        const auto arrival = far.waitForReport<RequestArrival>();
        CPPUNIT_ASSERT(arrival.key.isEmpty());
        CPPUNIT_ASSERT_EQUAL(std::string("trial-entries"), arrival.relayedFor.string());
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 30 }, near.waitForReport<AttemptEnded>().answerTokens);
        CPPUNIT_ASSERT(!engine.getHttp().getRequests().at(0).contains(TestCaller::key));
    }

    void testPlainCallCrossesTwoVms()
    {
        StandinService service;
        EntranceHarness far;
        EntranceHarness near;
        far.start(service.start(), ServiceKind::PlainService);
        near.getServer().setRelayTransport(joinTo(far));
        const Endpoint entry = near.start(relayFirst(near, {}));
        TestCaller caller(entry);
        caller.send("POST /a HTTP/1.1\r\nhost: g\r\ncontent-length: 2\r\n\r\nid");
        const auto answer = caller.readAnswer();
        CPPUNIT_ASSERT(answer);
        CPPUNIT_ASSERT(answer->body().find("\"executions\":1") != std::string::npos);
    }

    void testSlowCallerHoldsBackTheOtherVm()
    {
        EntranceSettings settings;
        settings.relayWindowBytes = 4096;
        StandinEngine engine;
        EntranceHarness far;
        EntranceHarness near(settings);
        far.start(engine.start(), ServiceKind::ModelEngine);
        near.getServer().setRelayTransport(joinTo(far));
        const Endpoint entry = near.start(relayFirst(near, {}));
        constexpr int tokens = 80'000;
        TestCaller caller(entry, TestCaller::slowReceiveBufferBytes);
        caller.send(TestCaller::chatRequest(true, tokens));
        caller.readUntil("\"token\":1,");
        TestCaller::assertUnreadAnswerIsHeldBack(entry, engine.getHttp(), tokens);
        std::string tail;
        while (tail.find("[DONE]") == std::string::npos) {
            const std::string piece = caller.readSome();
            CPPUNIT_ASSERT(!piece.empty());
            tail += piece;
            tail.erase(0, tail.size() - std::min<std::size_t>(tail.size(), 16 + piece.size()));
        }
        // A piece that passed the window would have cut the answer.
        const RequestId request = near.waitForReport<RequestArrival>().request;
        CPPUNIT_ASSERT(near.waitForEnd(request, 1).result == AttemptResult::Completed);
    }

    void testRefusalOfTheOtherVmSaysWhetherItRan()
    {
        for (const Ran ran : { Ran::No, Ran::Unknown }) {
            EntranceHarness far;
            EntranceHarness near;
            far.start([&far, ran](const RequestReport& report) {
                if (const auto* const arrival = std::get_if<RequestArrival>(&report))
                    far.direct(RefuseRequest { arrival->request, RefusalCode::Overloaded, ran, std::nullopt, {} });
            });
            near.getServer().setRelayTransport(joinTo(far));
            const Endpoint entry = near.start(relayFirst(near, {}));
            TestCaller caller(entry);
            caller.send(TestCaller::chatRequest(true, 3));
            CPPUNIT_ASSERT_EQUAL(502u, caller.readAnswer()->result_int());
            const AttemptResult expected = ran == Ran::No ? AttemptResult::RejectedBusy : AttemptResult::NoAnswer;
            CPPUNIT_ASSERT(near.waitForReport<AttemptEnded>().result == expected);
        }
    }

    void testCutRelayIsGoneOnWithHere()
    {
        StandinEngine farEngine;
        StandinEngine nearEngine;
        const Endpoint nearEndpoint = nearEngine.start();
        farEngine.getHttp().setFault({ StandinFault::Die, 6, 1 });
        EntranceHarness far;
        EntranceHarness near;
        far.start(farEngine.start(), ServiceKind::ModelEngine);
        near.getServer().setRelayTransport(joinTo(far));
        const Endpoint entry = near.start(relayFirst(near, nearEndpoint));
        TestCaller caller(entry);
        caller.send(TestCaller::chatRequest(true, 20));
        const auto answer = caller.readAnswer();
        CPPUNIT_ASSERT(answer);
        for (int token = 1; token <= 20; ++token) {
            const std::string mark = "\"token\":" + std::to_string(token) + ",";
            const std::size_t found = answer->body().find(mark);
            CPPUNIT_ASSERT(found != std::string::npos);
            CPPUNIT_ASSERT(answer->body().find(mark, found + 1) == std::string::npos);
        }
        CPPUNIT_ASSERT_EQUAL(std::string("6"), nearEngine.getHttp().getRequests().at(0).header("x-resume-from"));
    }

    void testCallerGoneReachesTheOtherVm()
    {
        StandinEngine engine;
        engine.getHttp().setFault({ StandinFault::GoSilent, 2, 1 });
        EntranceHarness far;
        EntranceHarness near;
        far.start(engine.start(), ServiceKind::ModelEngine);
        near.getServer().setRelayTransport(joinTo(far));
        const Endpoint entry = near.start(relayFirst(near, {}));
        TestCaller caller(entry);
        caller.send(TestCaller::chatRequest(true, 10));
        caller.readUntil("\"token\":2,");
        caller.close();
        CPPUNIT_ASSERT(engine.getHttp().waitForCount("cancelled", 1));
        far.waitForReport<CallerDisconnected>();
    }

    void testWithoutTransportNothingIsSent()
    {
        EntranceHarness near;
        const Endpoint entry = near.start(relayFirst(near, {}));
        TestCaller caller(entry);
        caller.send(TestCaller::chatRequest(true, 3));
        CPPUNIT_ASSERT_EQUAL(502u, caller.readAnswer()->result_int());
        CPPUNIT_ASSERT(near.waitForReport<AttemptEnded>().result == AttemptResult::NotSent);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RelayTest);

} // namespace papayashelf
