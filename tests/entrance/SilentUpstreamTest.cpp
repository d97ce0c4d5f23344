#include "entrance/EntranceHarness.h"
#include "entrance/ScriptedUpstream.h"
#include "standins/engine/StandinEngine.h"
#include "standins/engine/StandinService.h"
#include "standins/network/ClosedPort.h"

#include <cppunit/extensions/HelperMacros.h>

namespace papayashelf {

/** An attempt that is silent goes on until another one has been accepted. */
class SilentUpstreamTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(SilentUpstreamTest);
    CPPUNIT_TEST(testSilentStreamIsNotCutOffWithoutAnotherUpstream);
    CPPUNIT_TEST(testSilentStreamIsNotCutOffIfTheNextUpstreamFails);
    CPPUNIT_TEST(testLateAnswerIsNotLostIfTheNextUpstreamFails);
    CPPUNIT_TEST(testSilentStreamIsResumedByTheUpstreamThatAcceptsIt);
    CPPUNIT_TEST(testUpstreamThatGoesOnEndsTheOtherAttempt);
    CPPUNIT_TEST(testCallerThatLeavesEndsBothAttempts);
    CPPUNIT_TEST(testSilentRelayIsNotCutOffIfTheNextUpstreamFails);
    CPPUNIT_TEST(testAttemptBesideOneThatWentOnIsNotSent);
    CPPUNIT_TEST_SUITE_END();

    static constexpr Milliseconds limit { 200 };

    /** Opens an attempt at the next endpoint beside the first one, once that is silent. */
    static EntranceHarness::Script openBesideSilent(EntranceHarness& harness, StartAttempt first, StartAttempt next)
    {
        return [&harness, first, next](const RequestReport& report) mutable {
            if (const auto* const arrival = std::get_if<RequestArrival>(&report)) {
                first.request = arrival->request;
                harness.direct(first);
            }
            const auto* const silent = std::get_if<AttemptSilent>(&report);
            if (silent && next.keptAttempt == 0) {
                next.request = silent->request;
                next.attempt = 2;
                next.keptAttempt = silent->attempt;
                next.resumeFromToken = silent->answerTokens;
                harness.direct(next);
            }
            const auto* const ended = std::get_if<AttemptEnded>(&report);
            if (ended && ended->result == AttemptResult::Completed)
                harness.direct(FinishRequest { ended->request });
        };
    }

    static StartAttempt attemptAt(
        const Endpoint& endpoint, Milliseconds patience, ServiceKind kind = ServiceKind::ModelEngine)
    {
        StartAttempt start = EntranceHarness::attemptOf(0, endpoint, kind);
        start.firstByteLimit = patience;
        start.betweenBytesLimit = patience;
        return start;
    }

    static std::string wholeStream()
    {
        return ScriptedUpstream::streamHead() + ScriptedUpstream::tokens(1, 6) + ScriptedUpstream::endMark;
    }

    static std::string restOfStream() { return ScriptedUpstream::tokens(4, 6) + ScriptedUpstream::endMark; }

    static void assertTokens(const std::optional<HttpResponse>& answer, int last)
    {
        CPPUNIT_ASSERT(answer);
        CPPUNIT_ASSERT_EQUAL(200u, answer->result_int());
        std::size_t at = 0;
        for (int token = 1; token <= last; ++token) {
            at = answer->body().find("\"token\":" + std::to_string(token) + ",", at);
            CPPUNIT_ASSERT(at != std::string::npos);
        }
        CPPUNIT_ASSERT(answer->body().ends_with(ScriptedUpstream::endMark));
    }

    static void assertEndedAs(AttemptResult expected, const AttemptEnded& ended)
    {
        CPPUNIT_ASSERT_EQUAL(static_cast<int>(expected), static_cast<int>(ended.result));
    }

    // The limit on silence cut the answer off although nothing else could take it.
    void testSilentStreamIsNotCutOffWithoutAnotherUpstream()
    {
        std::promise<void> goOn;
        ScriptedUpstream upstream(
            ScriptedUpstream::streamHead() + ScriptedUpstream::tokens(1, 3), goOn.get_future().share(), restOfStream());
        EntranceHarness harness;
        const Endpoint entry
            = harness.start(harness.impatient(upstream.getEndpoint(), ServiceKind::ModelEngine, limit));
        TestCaller caller(entry);
        caller.send(TestCaller::chatRequest(true, 6));
        int silences = 0;
        harness.waitFor([&silences](const RequestReport& report) {
            silences += std::holds_alternative<AttemptSilent>(report) ? 1 : 0;
            return silences == 3;
        });
        goOn.set_value();
        assertTokens(caller.readAnswer(), 6);
        CPPUNIT_ASSERT(harness.waitForReport<AttemptEnded>().result == AttemptResult::Completed);
    }

    /** Each upstream that does not take a request over, with how the attempt at it ends. */
    void forEachFailure(const std::function<void(const StartAttempt&, AttemptResult)>& test)
    {
        const ClosedPort closed;
        const Milliseconds patience { 10'000 };
        test(attemptAt(closed.getEndpoint(), patience), AttemptResult::NotSent);
        StandinEngine busy;
        const Endpoint busyEndpoint = busy.start();
        busy.getHttp().setFault({ StandinFault::RefuseBusy, 0, 1 });
        test(attemptAt(busyEndpoint, patience), AttemptResult::RejectedBusy);
        StandinService notAnEngine;
        test(attemptAt(notAnEngine.start(), patience), AttemptResult::NoAnswer);
        {
            ScriptedUpstream broken([](boost::asio::ip::tcp::socket&) {});
            test(attemptAt(broken.getEndpoint(), patience), AttemptResult::NoAnswer);
        }
        ScriptedUpstream silent({}, {}, {});
        test(attemptAt(silent.getEndpoint(), limit), AttemptResult::TimedOut);
    }

    void testSilentStreamIsNotCutOffIfTheNextUpstreamFails()
    {
        this->forEachFailure([](const StartAttempt& next, AttemptResult expected) {
            std::promise<void> goOn;
            ScriptedUpstream first(ScriptedUpstream::streamHead() + ScriptedUpstream::tokens(1, 3),
                goOn.get_future().share(), restOfStream());
            EntranceHarness harness;
            const Endpoint entry
                = harness.start(openBesideSilent(harness, attemptAt(first.getEndpoint(), limit), next));
            TestCaller caller(entry);
            caller.send(TestCaller::chatRequest(true, 6));
            const RequestId request = harness.waitForReport<RequestArrival>().request;
            assertEndedAs(expected, harness.waitForEnd(request, 2));
            goOn.set_value();
            assertTokens(caller.readAnswer(), 6);
            CPPUNIT_ASSERT(harness.waitForEnd(request, 1).result == AttemptResult::Completed);
        });
    }

    void testLateAnswerIsNotLostIfTheNextUpstreamFails()
    {
        const std::string plainAnswer = "HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nlate";
        this->forEachFailure([&plainAnswer](const StartAttempt& next, AttemptResult expected) {
            for (const bool isPlain : { false, true }) {
                // The other failures happen once, or are none to a plain request.
                if (isPlain && expected != AttemptResult::NotSent)
                    continue;
                std::promise<void> goOn;
                ScriptedUpstream first({}, goOn.get_future().share(), isPlain ? plainAnswer : wholeStream());
                EntranceHarness harness;
                const ServiceKind kind = isPlain ? ServiceKind::PlainService : ServiceKind::ModelEngine;
                const Endpoint entry
                    = harness.start(openBesideSilent(harness, attemptAt(first.getEndpoint(), limit, kind), next));
                TestCaller caller(entry);
                caller.send(isPlain ? "GET /a HTTP/1.1\r\nhost: g\r\n\r\n" : TestCaller::chatRequest(true, 6));
                const RequestId request = harness.waitForReport<RequestArrival>().request;
                assertEndedAs(expected, harness.waitForEnd(request, 2));
                goOn.set_value();
                const auto answer = caller.readAnswer();
                if (isPlain)
                    CPPUNIT_ASSERT(answer && answer->body() == "late");
                else
                    assertTokens(answer, 6);
                CPPUNIT_ASSERT(harness.waitForEnd(request, 1).result == AttemptResult::Completed);
            }
        });
    }

    void testSilentStreamIsResumedByTheUpstreamThatAcceptsIt()
    {
        ScriptedUpstream first(ScriptedUpstream::streamHead() + ScriptedUpstream::tokens(1, 3), {}, {});
        StandinEngine next;
        EntranceHarness harness;
        const Endpoint entry = harness.start(openBesideSilent(
            harness, attemptAt(first.getEndpoint(), limit), attemptAt(next.start(), Milliseconds(10'000))));
        TestCaller caller(entry);
        caller.send(TestCaller::chatRequest(true, 6));
        assertTokens(caller.readAnswer(), 6);
        const RequestId request = harness.waitForReport<RequestArrival>().request;
        CPPUNIT_ASSERT(harness.waitForEnd(request, 1).result == AttemptResult::TimedOut);
        CPPUNIT_ASSERT(harness.waitForEnd(request, 2).result == AttemptResult::Completed);
        CPPUNIT_ASSERT_EQUAL(std::string("3"), next.getHttp().getRequests().at(0).header("x-resume-from"));
        CPPUNIT_ASSERT(first.waitForEnd());
    }

    void testUpstreamThatGoesOnEndsTheOtherAttempt()
    {
        std::promise<void> goOn;
        ScriptedUpstream first(
            ScriptedUpstream::streamHead() + ScriptedUpstream::tokens(1, 3), goOn.get_future().share(), restOfStream());
        ScriptedUpstream next({}, {}, {});
        EntranceHarness harness;
        const Endpoint entry = harness.start(openBesideSilent(
            harness, attemptAt(first.getEndpoint(), limit), attemptAt(next.getEndpoint(), Milliseconds(10'000))));
        TestCaller caller(entry);
        caller.send(TestCaller::chatRequest(true, 6));
        CPPUNIT_ASSERT(next.waitForRequest());
        goOn.set_value();
        assertTokens(caller.readAnswer(), 6);
        const RequestId request = harness.waitForReport<RequestArrival>().request;
        CPPUNIT_ASSERT(harness.waitForEnd(request, 2).result == AttemptResult::Cancelled);
        CPPUNIT_ASSERT(harness.waitForEnd(request, 1).result == AttemptResult::Completed);
        CPPUNIT_ASSERT(next.waitForEnd());
    }

    void testCallerThatLeavesEndsBothAttempts()
    {
        ScriptedUpstream first(ScriptedUpstream::streamHead() + ScriptedUpstream::tokens(1, 3), {}, {});
        ScriptedUpstream next({}, {}, {});
        EntranceHarness harness;
        const Endpoint entry = harness.start(openBesideSilent(
            harness, attemptAt(first.getEndpoint(), limit), attemptAt(next.getEndpoint(), Milliseconds(10'000))));
        TestCaller caller(entry);
        caller.send(TestCaller::chatRequest(true, 6));
        CPPUNIT_ASSERT(next.waitForRequest());
        caller.close();
        CPPUNIT_ASSERT(first.waitForEnd());
        CPPUNIT_ASSERT(next.waitForEnd());
    }

    void testSilentRelayIsNotCutOffIfTheNextUpstreamFails()
    {
        this->forEachFailure([](const StartAttempt& next, AttemptResult expected) {
            std::promise<void> goOn;
            ScriptedUpstream engine(ScriptedUpstream::streamHead() + ScriptedUpstream::tokens(1, 3),
                goOn.get_future().share(), restOfStream());
            EntranceHarness far;
            EntranceHarness near;
            far.start(engine.getEndpoint(), ServiceKind::ModelEngine);
            near.getServer().setRelayTransport(
                [&far](const StartRelay& directive, RelayedRequest relayed, std::shared_ptr<RelayExchange> answer) {
                    CPPUNIT_ASSERT(directive.betweenBytesLimit == directive.remaining);
                    far.getServer().serveRelayed(std::move(relayed), std::move(answer));
                });
            const EntranceHarness::Script beside = openBesideSilent(near, {}, next);
            const Endpoint entry = near.start([&near, beside](const RequestReport& report) {
                const auto* const arrival = std::get_if<RequestArrival>(&report);
                if (!arrival)
                    return beside(report);
                StartRelay start;
                start.request = arrival->request;
                start.attempt = 1;
                start.workspace = WorkspaceId("trial-entries");
                start.firstByteLimit = limit;
                start.betweenBytesLimit = limit;
                start.remaining = Milliseconds(60'000);
                near.direct(start);
            });
            TestCaller caller(entry);
            caller.send(TestCaller::chatRequest(true, 6));
            const RequestId request = near.waitForReport<RequestArrival>().request;
            assertEndedAs(expected, near.waitForEnd(request, 2));
            goOn.set_value();
            assertTokens(caller.readAnswer(), 6);
            CPPUNIT_ASSERT(near.waitForEnd(request, 1).result == AttemptResult::Completed);
        });
    }

    void testAttemptBesideOneThatWentOnIsNotSent()
    {
        std::promise<void> goOn;
        ScriptedUpstream first(
            ScriptedUpstream::streamHead() + ScriptedUpstream::tokens(1, 3), goOn.get_future().share(), restOfStream());
        StandinEngine next;
        EntranceHarness harness;
        const Milliseconds patience { 10'000 };
        StartAttempt beside = attemptAt(next.start(), patience);
        const Endpoint entry
            = harness.start(openBesideSilent(harness, attemptAt(first.getEndpoint(), patience), beside));
        TestCaller caller(entry);
        caller.send(TestCaller::chatRequest(true, 6));
        beside.request = harness.waitForReport<AttemptBegan>().request;
        beside.attempt = 2;
        beside.keptAttempt = 1;
        harness.direct(beside);
        CPPUNIT_ASSERT(harness.waitForEnd(beside.request, 2).result == AttemptResult::Cancelled);
        goOn.set_value();
        assertTokens(caller.readAnswer(), 6);
        CPPUNIT_ASSERT(next.getHttp().getRequests().empty());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SilentUpstreamTest);

} // namespace papayashelf
