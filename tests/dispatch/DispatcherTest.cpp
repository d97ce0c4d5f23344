#include "dispatch/DispatchFixture.h"

#include <cppunit/extensions/HelperMacros.h>

namespace papayashelf {

using namespace dispatch_fixture;

class DispatcherTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(DispatcherTest);
    CPPUNIT_TEST(testStreamResumesAfterDeliveredTokens);
    CPPUNIT_TEST(testReportsOfEndedAttemptsAreDiscarded);
    CPPUNIT_TEST(testSilentAttemptGoesOnWithoutAnotherUpstream);
    CPPUNIT_TEST(testRequestIsNotRepeatedAfterAnUncertainRefusal);
    CPPUNIT_TEST(testRefusedRequestIsNotChargedAfterAnUncertainRefusal);
    CPPUNIT_TEST(testSilentAttemptGoesOnIfItMayNotRunAgain);
    CPPUNIT_TEST(testSilentAttemptIsKeptUntilAnotherIsAccepted);
    CPPUNIT_TEST(testSilentAttemptGoesOnAfterTheOtherOneFailed);
    CPPUNIT_TEST(testAnswerOfKeptAttemptEndsTheRequest);
    CPPUNIT_TEST(testDeadlineCancelsBothAttempts);
    CPPUNIT_TEST(testSilentUpstreamsUseTheRetryBudget);
    CPPUNIT_TEST(testSilentUpstreamIsAvoided);
    CPPUNIT_TEST(testNonIdempotentRequestIsRetriedOnlyIfCertainlyNotRun);
    CPPUNIT_TEST(testRetryBudgetLimitsRetries);
    CPPUNIT_TEST(testTruncatedUnstreamedAnswerIsRefused);
    CPPUNIT_TEST(testFullRegionQueuesRequestsAndStartsThemInOrder);
    CPPUNIT_TEST(testWaitBeyondDeadlineIsRefusedImmediately);
    CPPUNIT_TEST(testDeadlineRefusesQueuedRequestAsNotRun);
    CPPUNIT_TEST(testWithdrawnKeyEndsQueuedAndRunningRequests);
    CPPUNIT_TEST(testCallerDisconnectCancelsOnlyIdempotentRequests);
    CPPUNIT_TEST(testLeavingFinishesAcceptedRequests);
    CPPUNIT_TEST(testBacklogOfOneWorkspaceDoesNotDelayAnother);
    CPPUNIT_TEST(testQueuedRequestIsRelayedOnlyWherePermitted);
    CPPUNIT_TEST_SUITE_END();

    const Milliseconds now { 10 };

    /** The only started attempt in an output. */
    StartAttempt expectStart(const DispatchOutput& output)
    {
        const auto started = selectDirectives<StartAttempt>(output);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, started.size());
        return started.front();
    }

    /** The attempt started by a tick at the next deadline. */
    StartAttempt tickUntilStart(Dispatcher& dispatcher, Router& router)
    {
        return this->expectStart(dispatcher.tick(dispatcher.getNextDeadline(), router));
    }

    /** The only refusal in an output. */
    RefuseRequest expectRefusal(const DispatchOutput& output)
    {
        const auto refused = selectDirectives<RefuseRequest>(output);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, refused.size());
        return refused.front();
    }

    void testStreamResumesAfterDeliveredTokens()
    {
        Router router = makeRouter(makeGovernance(3));
        Dispatcher dispatcher = makeDispatcher();
        const StartAttempt first = this->expectStart(dispatcher.submit(this->now, makeRequest(1), router));
        dispatcher.handle(this->now, AttemptBegan { 1, 1, 200 }, router);
        dispatcher.handle(this->now, makeAttemptEnded(first, AttemptResult::Truncated, 17), router);
        const StartAttempt second = this->tickUntilStart(dispatcher, router);
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 17 }, second.resumeFromToken);
        CPPUNIT_ASSERT_EQUAL(std::uint32_t { 2 }, second.attempt);
        CPPUNIT_ASSERT(second.upstream != first.upstream);
        const DispatchOutput output
            = dispatcher.handle(this->now, makeAttemptEnded(second, AttemptResult::Completed, 40), router);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, selectDirectives<FinishRequest>(output).size());
        const std::vector<Settlement> settled { { 1, unrestrictedWorkspace, 140 } };
        CPPUNIT_ASSERT(output.settlements == settled);
    }

    void testReportsOfEndedAttemptsAreDiscarded()
    {
        Router router = makeRouter(makeGovernance(3));
        Dispatcher dispatcher = makeDispatcher();
        const StartAttempt first = this->expectStart(dispatcher.submit(this->now, makeRequest(1), router));
        dispatcher.handle(this->now, makeAttemptEnded(first, AttemptResult::TimedOut), router);
        const StartAttempt second = this->tickUntilStart(dispatcher, router);
        // The first attempt reports again while the second one runs, and the second one reports its end twice.
        const auto late = dispatcher.handle(this->now, makeAttemptEnded(first, AttemptResult::Completed, 40), router);
        CPPUNIT_ASSERT(late.directives.empty() && late.settlements.empty());
        dispatcher.handle(this->now, makeAttemptEnded(second, AttemptResult::Completed, 40), router);
        const auto later = dispatcher.handle(this->now, makeAttemptEnded(second, AttemptResult::Completed, 40), router);
        CPPUNIT_ASSERT(later.directives.empty() && later.settlements.empty());
    }

    void testSilentAttemptGoesOnWithoutAnotherUpstream()
    {
        Router router = makeRouter(makeGovernance(1));
        Dispatcher dispatcher = makeDispatcher();
        const StartAttempt first = this->expectStart(dispatcher.submit(this->now, makeRequest(1), router));
        for (int report = 0; report < 3; ++report)
            CPPUNIT_ASSERT(dispatcher.handle(this->now, AttemptSilent { 1, 1, 3 }, router).directives.empty());
        const DispatchOutput output
            = dispatcher.handle(this->now, makeAttemptEnded(first, AttemptResult::Completed, 40), router);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, selectDirectives<FinishRequest>(output).size());
    }

    void testRequestIsNotRepeatedAfterAnUncertainRefusal()
    {
        for (const bool mayHaveRun : { false, true }) {
            Router router = makeRouter(makeGovernance(3));
            Dispatcher dispatcher = makeDispatcher();
            const StartAttempt started = this->expectStart(dispatcher.submit(this->now, makeReservation(1), router));
            AttemptEnded ended = makeAttemptEnded(started, AttemptResult::RejectedBusy);
            ended.mayHaveRun = mayHaveRun;
            const auto refused = selectDirectives<RefuseRequest>(dispatcher.handle(this->now, ended, router));
            CPPUNIT_ASSERT_EQUAL(mayHaveRun, !refused.empty());
            if (mayHaveRun)
                CPPUNIT_ASSERT(refused.front().ran == Ran::Unknown);
        }
    }

    void testRefusedRequestIsNotChargedAfterAnUncertainRefusal()
    {
        Router router = makeRouter(makeGovernance(3));
        DispatchSettings settings;
        settings.attemptsPerRequest = 1;
        Dispatcher dispatcher = makeDispatcher(settings);
        const StartAttempt started = this->expectStart(dispatcher.submit(this->now, makeRequest(1), router));
        AttemptEnded ended = makeAttemptEnded(started, AttemptResult::RejectedBusy);
        ended.mayHaveRun = true;
        const DispatchOutput output = dispatcher.handle(this->now, ended, router);
        CPPUNIT_ASSERT(this->expectRefusal(output).ran == Ran::No);
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 0 }, output.settlements.front().usedTokens);
    }

    void testSilentAttemptGoesOnIfItMayNotRunAgain()
    {
        Router router = makeRouter(makeGovernance(3));
        Dispatcher dispatcher = makeDispatcher();
        this->expectStart(dispatcher.submit(this->now, makeReservation(1), router));
        CPPUNIT_ASSERT(dispatcher.handle(this->now, AttemptSilent { 1, 1, 0 }, router).directives.empty());
        AdmittedRequest whole = makeRequest(2);
        whole.arrival.isStreamed = false;
        this->expectStart(dispatcher.submit(this->now, whole, router));
        dispatcher.handle(this->now, AttemptBegan { 2, 1, 200 }, router);
        CPPUNIT_ASSERT(dispatcher.handle(this->now, AttemptSilent { 2, 1, 0 }, router).directives.empty());
    }

    void testSilentAttemptIsKeptUntilAnotherIsAccepted()
    {
        Router router = makeRouter(makeGovernance(3));
        Dispatcher dispatcher = makeDispatcher();
        const StartAttempt first = this->expectStart(dispatcher.submit(this->now, makeRequest(1), router));
        dispatcher.handle(this->now, AttemptBegan { 1, 1, 200 }, router);
        const DispatchOutput beside = dispatcher.handle(this->now, AttemptSilent { 1, 1, 17 }, router);
        const StartAttempt second = this->expectStart(beside);
        CPPUNIT_ASSERT(selectDirectives<CancelAttempt>(beside).empty());
        CPPUNIT_ASSERT(second.upstream != first.upstream);
        CPPUNIT_ASSERT_EQUAL(std::uint32_t { 1 }, second.keptAttempt);
        CPPUNIT_ASSERT_EQUAL(std::uint32_t { 2 }, second.attempt);
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 17 }, second.resumeFromToken);
        // While two attempts are under way, no third one is started.
        CPPUNIT_ASSERT(dispatcher.handle(this->now, AttemptSilent { 1, 1, 17 }, router).directives.empty());
        CPPUNIT_ASSERT(dispatcher.handle(this->now, AttemptSilent { 1, 2, 17 }, router).directives.empty());
        CPPUNIT_ASSERT(dispatcher.handle(this->now, makeAttemptEnded(first, AttemptResult::TimedOut, 17), router)
                           .directives.empty());
        const DispatchOutput output
            = dispatcher.handle(this->now, makeAttemptEnded(second, AttemptResult::Completed, 40), router);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, selectDirectives<FinishRequest>(output).size());
        const std::vector<Settlement> settled { { 1, unrestrictedWorkspace, 140 } };
        CPPUNIT_ASSERT(output.settlements == settled);
    }

    void testSilentAttemptGoesOnAfterTheOtherOneFailed()
    {
        Router router = makeRouter(makeGovernance(3));
        Dispatcher dispatcher = makeDispatcher();
        const StartAttempt first = this->expectStart(dispatcher.submit(this->now, makeRequest(1), router));
        const StartAttempt second = this->expectStart(dispatcher.handle(this->now, AttemptSilent { 1, 1, 0 }, router));
        CPPUNIT_ASSERT(dispatcher.handle(this->now, makeAttemptEnded(second, AttemptResult::RejectedBusy), router)
                           .directives.empty());
        const StartAttempt third = this->expectStart(dispatcher.handle(this->now, AttemptSilent { 1, 1, 0 }, router));
        CPPUNIT_ASSERT_EQUAL(std::uint32_t { 3 }, third.attempt);
        CPPUNIT_ASSERT_EQUAL(std::uint32_t { 1 }, third.keptAttempt);
        CPPUNIT_ASSERT(third.upstream != first.upstream && third.upstream != second.upstream);
        // When the silent one breaks off too, the other one is the request's only attempt, and then a retry follows.
        CPPUNIT_ASSERT(
            dispatcher.handle(this->now, makeAttemptEnded(first, AttemptResult::NoAnswer), router).directives.empty());
        CPPUNIT_ASSERT(
            dispatcher.handle(this->now, makeAttemptEnded(third, AttemptResult::NoAnswer), router).directives.empty());
        const StartAttempt fourth = this->tickUntilStart(dispatcher, router);
        CPPUNIT_ASSERT_EQUAL(std::uint32_t { 4 }, fourth.attempt);
        CPPUNIT_ASSERT_EQUAL(std::uint32_t { 0 }, fourth.keptAttempt);
    }

    void testAnswerOfKeptAttemptEndsTheRequest()
    {
        Router router = makeRouter(makeGovernance(3));
        Dispatcher dispatcher = makeDispatcher();
        const StartAttempt first = this->expectStart(dispatcher.submit(this->now, makeRequest(1), router));
        const StartAttempt second = this->expectStart(dispatcher.handle(this->now, AttemptSilent { 1, 1, 0 }, router));
        dispatcher.handle(this->now, AttemptBegan { 1, 1, 200 }, router);
        const DispatchOutput output
            = dispatcher.handle(this->now, makeAttemptEnded(first, AttemptResult::Completed, 40), router);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, selectDirectives<FinishRequest>(output).size());
        CPPUNIT_ASSERT_EQUAL(std::size_t { 0 }, dispatcher.countRequests());
        CPPUNIT_ASSERT(dispatcher.handle(this->now, makeAttemptEnded(second, AttemptResult::Cancelled), router)
                           .directives.empty());
    }

    void testDeadlineCancelsBothAttempts()
    {
        Router router = makeRouter(makeGovernance(3));
        Dispatcher dispatcher = makeDispatcher();
        this->expectStart(dispatcher.submit(this->now, makeRequest(1), router));
        this->expectStart(dispatcher.handle(this->now, AttemptSilent { 1, 1, 0 }, router));
        const DispatchOutput output = dispatcher.tick(makeRequest(1).deadline, router);
        const std::vector<CancelAttempt> cancelled { { 1, 1 }, { 1, 2 } };
        CPPUNIT_ASSERT(cancelled == selectDirectives<CancelAttempt>(output));
        const auto refused = this->expectRefusal(output);
        CPPUNIT_ASSERT(refused.code == RefusalCode::DeadlinePassed && refused.ran == Ran::Unknown);
    }

    // Without a budget, attempts beside silent ones would multiply the load when all upstreams are slow.
    void testSilentUpstreamsUseTheRetryBudget()
    {
        DispatchSettings settings;
        settings.retryBudgetLimit = 5;
        Router router = makeRouter(makeGovernance(64));
        Dispatcher dispatcher = makeDispatcher(settings);
        std::size_t besides = 0;
        constexpr RequestId requests = 100;
        for (RequestId id = 1; id <= requests; ++id)
            this->expectStart(dispatcher.submit(this->now, makeRequest(id), router));
        for (RequestId id = 1; id <= requests; ++id)
            besides += selectDirectives<StartAttempt>(dispatcher.handle(this->now, AttemptSilent { id, 1, 0 }, router))
                           .size();
        CPPUNIT_ASSERT(besides >= 5);
        CPPUNIT_ASSERT(besides <= 5 + static_cast<std::size_t>(requests * settings.retriesPerRequest) + 1);
    }

    void testSilentUpstreamIsAvoided()
    {
        Router router = makeRouter(makeGovernance(3));
        Dispatcher dispatcher = makeDispatcher();
        const StartAttempt first = this->expectStart(dispatcher.submit(this->now, makeReservation(1), router));
        dispatcher.handle(this->now, AttemptSilent { 1, 1, 0 }, router);
        for (RequestId id = 2; id <= 5; ++id) {
            const StartAttempt other = this->expectStart(dispatcher.submit(this->now, makeReservation(id), router));
            CPPUNIT_ASSERT(other.upstream != first.upstream);
            dispatcher.handle(this->now, makeAttemptEnded(other, AttemptResult::Completed), router);
        }
    }

    // A non-idempotent request could run twice if it were retried after an attempt that may have run.
    void testNonIdempotentRequestIsRetriedOnlyIfCertainlyNotRun()
    {
        for (const AttemptResult result :
            { AttemptResult::NoAnswer, AttemptResult::TimedOut, AttemptResult::Truncated }) {
            Router router = makeRouter(makeGovernance(3));
            Dispatcher dispatcher = makeDispatcher();
            const StartAttempt first = this->expectStart(dispatcher.submit(this->now, makeReservation(1), router));
            const StartAttempt second = this->expectStart(
                dispatcher.handle(this->now, makeAttemptEnded(first, AttemptResult::NotSent), router));
            const auto refused
                = this->expectRefusal(dispatcher.handle(this->now, makeAttemptEnded(second, result), router));
            CPPUNIT_ASSERT(refused.code == RefusalCode::OutcomeUnknown && refused.ran == Ran::Unknown);
            CPPUNIT_ASSERT_EQUAL(std::size_t { 0 }, dispatcher.countRequests());
        }
    }

    // Without a budget, retries would multiply the load when all attempts fail.
    void testRetryBudgetLimitsRetries()
    {
        DispatchSettings settings;
        settings.retryBudgetLimit = 5;
        Router router = makeRouter(makeGovernance(16));
        Dispatcher dispatcher = makeDispatcher(settings);
        int retries = 0;
        constexpr int requests = 200;
        for (RequestId id = 1; id <= requests; ++id) {
            DispatchOutput output = dispatcher.submit(this->now, makeRequest(id), router);
            while (!selectDirectives<StartAttempt>(output).empty()) {
                const StartAttempt started = this->expectStart(output);
                retries += started.attempt > 1 ? 1 : 0;
                output = dispatcher.handle(this->now, makeAttemptEnded(started, AttemptResult::NotSent), router);
            }
            CPPUNIT_ASSERT(this->expectRefusal(output).ran == Ran::No);
        }
        CPPUNIT_ASSERT(retries >= 5);
        CPPUNIT_ASSERT(retries <= 5 + static_cast<int>(requests * settings.retriesPerRequest) + 1);
    }

    // An answer that is not streamed cannot be resumed after the caller has received part of it.
    void testTruncatedUnstreamedAnswerIsRefused()
    {
        Router router = makeRouter(makeGovernance(3));
        Dispatcher dispatcher = makeDispatcher();
        AdmittedRequest request = makeRequest(1);
        request.arrival.isStreamed = false;
        const StartAttempt first = this->expectStart(dispatcher.submit(this->now, request, router));
        dispatcher.handle(this->now, AttemptBegan { 1, 1, 200 }, router);
        const auto refused = this->expectRefusal(
            dispatcher.handle(this->now, makeAttemptEnded(first, AttemptResult::Truncated, 3), router));
        CPPUNIT_ASSERT(refused.code == RefusalCode::UpstreamFailed && refused.ran == Ran::Unknown);
    }

    void testFullRegionQueuesRequestsAndStartsThemInOrder()
    {
        Router router = makeRouter(makeGovernance(1));
        Dispatcher dispatcher = makeDispatcher();
        std::vector<StartAttempt> started;
        for (RequestId id = 1; id <= 10; ++id) {
            for (const StartAttempt& start :
                selectDirectives<StartAttempt>(dispatcher.submit(this->now, makeRequest(id), router)))
                started.push_back(start);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t { 8 }, started.size());
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 2 }, dispatcher.countQueued().at(assistant));
        const auto next = this->expectStart(
            dispatcher.handle(this->now, makeAttemptEnded(started.front(), AttemptResult::Completed, 5), router));
        CPPUNIT_ASSERT_EQUAL(RequestId { 9 }, next.request);
    }

    /** Fills the only upstream after one request that took a second, which sets the mean duration. */
    std::vector<StartAttempt> fill(Dispatcher& dispatcher, Router& router, Milliseconds at)
    {
        const StartAttempt first = this->expectStart(dispatcher.submit(at, makeRequest(1), router));
        dispatcher.handle(at + Milliseconds(1000), makeAttemptEnded(first, AttemptResult::Completed, 5), router);
        std::vector<StartAttempt> running;
        for (RequestId id = 2; id <= 9; ++id)
            running.push_back(this->expectStart(dispatcher.submit(at + Milliseconds(1000), makeRequest(id), router)));
        return running;
    }

    void testWaitBeyondDeadlineIsRefusedImmediately()
    {
        Router router = makeRouter(makeGovernance(1));
        Dispatcher dispatcher = makeDispatcher();
        this->fill(dispatcher, router, Milliseconds());
        const Milliseconds at(1000);
        // Eight requests complete per second, so a request behind 24 queued ones waits three seconds.
        for (RequestId id = 10; id < 34; ++id)
            CPPUNIT_ASSERT(dispatcher.submit(at, makeRequest(id), router).directives.empty());
        AdmittedRequest shortDeadline = makeRequest(34);
        shortDeadline.deadline = at + Milliseconds(2000);
        const auto refused = this->expectRefusal(dispatcher.submit(at, shortDeadline, router));
        CPPUNIT_ASSERT(refused.code == RefusalCode::Overloaded && refused.ran == Ran::No && refused.retryAfter);
        AdmittedRequest longDeadline = makeRequest(35);
        longDeadline.deadline = at + Milliseconds(5000);
        CPPUNIT_ASSERT(dispatcher.submit(at, longDeadline, router).directives.empty());
    }

    void testDeadlineRefusesQueuedRequestAsNotRun()
    {
        Router router = makeRouter(makeGovernance(1));
        Dispatcher dispatcher = makeDispatcher();
        this->fill(dispatcher, router, Milliseconds());
        AdmittedRequest waiting = makeRequest(10);
        waiting.deadline = Milliseconds(4000);
        dispatcher.submit(Milliseconds(1000), waiting, router);
        CPPUNIT_ASSERT(dispatcher.getNextDeadline() <= Milliseconds(4000));
        const DispatchOutput output = dispatcher.tick(Milliseconds(4000), router);
        const auto refused = this->expectRefusal(output);
        CPPUNIT_ASSERT(refused.code == RefusalCode::DeadlinePassed && refused.ran == Ran::No);
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 0 }, output.settlements.front().usedTokens);
    }

    void testWithdrawnKeyEndsQueuedAndRunningRequests()
    {
        Router router = makeRouter(makeGovernance(1));
        Dispatcher dispatcher = makeDispatcher();
        this->fill(dispatcher, router, Milliseconds());
        dispatcher.submit(Milliseconds(1000), makeRequest(10), router);
        dispatcher.submit(Milliseconds(1000), makeRequest(11, restrictedWorkspace), router);
        const DispatchOutput output = dispatcher.withdrawKey(Milliseconds(1001), makeRequest(1).arrival.key, router);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 8 }, selectDirectives<CancelAttempt>(output).size());
        int midway = 0;
        for (const RefuseRequest& refused : selectDirectives<RefuseRequest>(output)) {
            const bool wasRunning = refused.request < 10;
            midway += wasRunning ? 1 : 0;
            CPPUNIT_ASSERT(refused.code == (wasRunning ? RefusalCode::StoppedMidway : RefusalCode::NotAuthenticated));
            CPPUNIT_ASSERT(refused.ran == (wasRunning ? Ran::Unknown : Ran::No));
        }
        CPPUNIT_ASSERT_EQUAL(8, midway);
        // The other workspace's request starts on the freed capacity.
        CPPUNIT_ASSERT_EQUAL(RequestId { 11 }, this->expectStart(output).request);
    }

    // A non-idempotent request must keep running after its caller disconnects, so that its outcome becomes known.
    void testCallerDisconnectCancelsOnlyIdempotentRequests()
    {
        Router router = makeRouter(makeGovernance(3));
        Dispatcher dispatcher = makeDispatcher();
        const StartAttempt first = this->expectStart(dispatcher.submit(this->now, makeRequest(1), router));
        const auto cancelled = dispatcher.handle(this->now, CallerDisconnected { 1 }, router);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, selectDirectives<CancelAttempt>(cancelled).size());
        const auto settled
            = dispatcher.handle(this->now, makeAttemptEnded(first, AttemptResult::Cancelled, 12), router);
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 112 }, settled.settlements.front().usedTokens);

        this->expectStart(dispatcher.submit(this->now, makeReservation(2), router));
        CPPUNIT_ASSERT(dispatcher.handle(this->now, CallerDisconnected { 2 }, router).directives.empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, dispatcher.countRequests());
    }

    void testLeavingFinishesAcceptedRequests()
    {
        const DispatchSettings settings;
        Router router = makeRouter(makeGovernance(1));
        Dispatcher dispatcher = makeDispatcher(settings);
        const std::vector<StartAttempt> running = this->fill(dispatcher, router, Milliseconds());
        dispatcher.submit(Milliseconds(1000), makeRequest(10), router);
        dispatcher.beginLeaving(Milliseconds(1000));
        const auto refused = this->expectRefusal(dispatcher.submit(Milliseconds(1001), makeRequest(11), router));
        CPPUNIT_ASSERT(refused.code == RefusalCode::Leaving && refused.ran == Ran::No);

        const auto last = this->expectStart(dispatcher.handle(
            Milliseconds(1500), makeAttemptEnded(running.front(), AttemptResult::Completed, 5), router));
        CPPUNIT_ASSERT(dispatcher.tick(Milliseconds(50'000), router).directives.empty());
        for (std::size_t index = 1; index < running.size(); ++index)
            dispatcher.handle(
                Milliseconds(50'000), makeAttemptEnded(running[index], AttemptResult::Completed, 5), router);
        CPPUNIT_ASSERT(!dispatcher.isDrained());
        dispatcher.handle(Milliseconds(50'000), makeAttemptEnded(last, AttemptResult::Completed, 5), router);
        CPPUNIT_ASSERT(dispatcher.isDrained());
    }

    void testBacklogOfOneWorkspaceDoesNotDelayAnother()
    {
        Router router = makeRouter(makeGovernance(1));
        Dispatcher dispatcher = makeDispatcher();
        std::vector<StartAttempt> running = this->fill(dispatcher, router, Milliseconds());
        RequestId id = 10;
        for (; id < 110; ++id)
            dispatcher.submit(Milliseconds(1000), makeRequest(id), router);
        // For a region that relays here, the hundred requests of one workspace count as one request ahead.
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 100 }, dispatcher.countQueued().at(assistant));
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 1 }, dispatcher.countAhead().at(assistant));
        // A single request of the other workspace must start next, although a hundred are queued.
        for (int round = 0; round < 8; ++round) {
            const RequestId quiet = ++id;
            dispatcher.submit(Milliseconds(2000), makeRequest(quiet, restrictedWorkspace), router);
            const std::size_t index = static_cast<std::size_t>(round) % running.size();
            const auto output = dispatcher.handle(
                Milliseconds(2000), makeAttemptEnded(running[index], AttemptResult::Completed, 5), router);
            running[index] = this->expectStart(output);
            const auto after = dispatcher.handle(
                Milliseconds(2000), makeAttemptEnded(running[index], AttemptResult::Completed, 5), router);
            const bool wasNext = running[index].request == quiet || this->expectStart(after).request == quiet;
            CPPUNIT_ASSERT(wasNext);
            running[index] = this->expectStart(after);
        }
    }

    // A request that would wait in the queue may be relayed, unless its workspace is bound to this region or another
    // region relayed it here.
    void testQueuedRequestIsRelayedOnlyWherePermitted()
    {
        Router router = makeRouter(makeGovernance(1));
        Dispatcher dispatcher = makeDispatcher();
        this->fill(dispatcher, router, Milliseconds());
        const Milliseconds at(1000);
        for (RequestId id = 10; id < 40; ++id)
            dispatcher.submit(at, makeRequest(id), router);
        router.handleRegionSummary(at, { second, assistant, 64, 0, 0 });
        const auto relays = selectDirectives<StartRelay>(dispatcher.submit(at, makeRequest(40), router));
        CPPUNIT_ASSERT_EQUAL(RequestId { 40 }, relays.front().request);
        this->expectNoRelayOf(41, dispatcher.submit(at, makeRequest(41, restrictedWorkspace), router));
        AdmittedRequest relayed = makeRequest(42);
        relayed.isRelayed = true;
        this->expectNoRelayOf(42, dispatcher.submit(at, relayed, router));
        // They must not be relayed later either, when tick() checks the queue again.
        for (int round = 1; round <= 20; ++round) {
            const DispatchOutput output = dispatcher.tick(at + Milliseconds(50) * round, router);
            this->expectNoRelayOf(41, output);
            this->expectNoRelayOf(42, output);
        }
    }

    void expectNoRelayOf(RequestId request, const DispatchOutput& output)
    {
        for (const StartRelay& relay : selectDirectives<StartRelay>(output))
            CPPUNIT_ASSERT(relay.request != request);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DispatcherTest);

} // namespace papayashelf
