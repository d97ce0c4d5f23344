#include "dispatch/DispatchFixture.h"

#include <cppunit/extensions/HelperMacros.h>

namespace papayashelf {

using namespace dispatch_fixture;

class DispatcherTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(DispatcherTest);
    CPPUNIT_TEST(testStreamResumesAfterDeliveredTokens);
    CPPUNIT_TEST(testReportsOfEndedAttemptsAreDiscarded);
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

    StartAttempt startOf(const DispatchOutput& output)
    {
        const auto started = selectDirectives<StartAttempt>(output);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, started.size());
        return started.front();
    }

    StartAttempt nextStart(Dispatcher& dispatcher, Router& router)
    {
        return this->startOf(dispatcher.tick(dispatcher.getNextDeadline(), router));
    }

    RefuseRequest refusalOf(const DispatchOutput& output)
    {
        const auto refused = selectDirectives<RefuseRequest>(output);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, refused.size());
        return refused.front();
    }

    void testStreamResumesAfterDeliveredTokens()
    {
        Router router = makeRouter(makeGovernance(3));
        Dispatcher dispatcher = makeDispatcher();
        const StartAttempt first = this->startOf(dispatcher.submit(this->now, makeRequest(1), router));
        dispatcher.handle(this->now, AttemptBegan { 1, 1, 200 }, router);
        dispatcher.handle(this->now, end(first, AttemptResult::Truncated, 17), router);
        const StartAttempt second = this->nextStart(dispatcher, router);
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 17 }, second.resumeFromToken);
        CPPUNIT_ASSERT_EQUAL(std::uint32_t { 2 }, second.attempt);
        CPPUNIT_ASSERT(second.upstream != first.upstream);
        const DispatchOutput output = dispatcher.handle(this->now, end(second, AttemptResult::Completed, 40), router);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, selectDirectives<FinishRequest>(output).size());
        const std::vector<Settlement> settled { { 1, freeWorkspace, 140 } };
        CPPUNIT_ASSERT(output.settlements == settled);
    }

    void testReportsOfEndedAttemptsAreDiscarded()
    {
        Router router = makeRouter(makeGovernance(3));
        Dispatcher dispatcher = makeDispatcher();
        const StartAttempt first = this->startOf(dispatcher.submit(this->now, makeRequest(1), router));
        dispatcher.handle(this->now, end(first, AttemptResult::TimedOut), router);
        const StartAttempt second = this->nextStart(dispatcher, router);
        // The silent attempt's answer arrives after all, while the second one runs and after it.
        const auto late = dispatcher.handle(this->now, end(first, AttemptResult::Completed, 40), router);
        CPPUNIT_ASSERT(late.directives.empty() && late.settlements.empty());
        dispatcher.handle(this->now, end(second, AttemptResult::Completed, 40), router);
        const auto later = dispatcher.handle(this->now, end(second, AttemptResult::Completed, 40), router);
        CPPUNIT_ASSERT(later.directives.empty() && later.settlements.empty());
    }

    void testNonIdempotentRequestIsRetriedOnlyIfCertainlyNotRun()
    {
        for (const AttemptResult result :
            { AttemptResult::NoAnswer, AttemptResult::TimedOut, AttemptResult::Truncated }) {
            Router router = makeRouter(makeGovernance(3));
            Dispatcher dispatcher = makeDispatcher();
            const StartAttempt first = this->startOf(dispatcher.submit(this->now, makeReservation(1), router));
            const StartAttempt second
                = this->startOf(dispatcher.handle(this->now, end(first, AttemptResult::NotSent), router));
            const auto refused = this->refusalOf(dispatcher.handle(this->now, end(second, result), router));
            CPPUNIT_ASSERT(refused.code == RefusalCode::OutcomeUnknown && refused.ran == Ran::Unknown);
            CPPUNIT_ASSERT_EQUAL(std::size_t { 0 }, dispatcher.countRequests());
        }
    }

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
                const StartAttempt started = this->startOf(output);
                retries += started.attempt > 1 ? 1 : 0;
                output = dispatcher.handle(this->now, end(started, AttemptResult::NotSent), router);
            }
            CPPUNIT_ASSERT(this->refusalOf(output).ran == Ran::No);
        }
        CPPUNIT_ASSERT(retries >= 5);
        CPPUNIT_ASSERT(retries <= 5 + static_cast<int>(requests * settings.retriesPerRequest) + 1);
    }

    void testTruncatedUnstreamedAnswerIsRefused()
    {
        Router router = makeRouter(makeGovernance(3));
        Dispatcher dispatcher = makeDispatcher();
        AdmittedRequest request = makeRequest(1);
        request.arrival.isStreamed = false;
        const StartAttempt first = this->startOf(dispatcher.submit(this->now, request, router));
        dispatcher.handle(this->now, AttemptBegan { 1, 1, 200 }, router);
        const auto refused
            = this->refusalOf(dispatcher.handle(this->now, end(first, AttemptResult::Truncated, 3), router));
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
        const auto next
            = this->startOf(dispatcher.handle(this->now, end(started.front(), AttemptResult::Completed, 5), router));
        CPPUNIT_ASSERT_EQUAL(RequestId { 9 }, next.request);
    }

    /** Fills the one upstream, with each request having taken a second so far. */
    std::vector<StartAttempt> fill(Dispatcher& dispatcher, Router& router, Milliseconds at)
    {
        const StartAttempt first = this->startOf(dispatcher.submit(at, makeRequest(1), router));
        dispatcher.handle(at + Milliseconds(1000), end(first, AttemptResult::Completed, 5), router);
        std::vector<StartAttempt> running;
        for (RequestId id = 2; id <= 9; ++id)
            running.push_back(this->startOf(dispatcher.submit(at + Milliseconds(1000), makeRequest(id), router)));
        return running;
    }

    void testWaitBeyondDeadlineIsRefusedImmediately()
    {
        Router router = makeRouter(makeGovernance(1));
        Dispatcher dispatcher = makeDispatcher();
        this->fill(dispatcher, router, Milliseconds());
        const Milliseconds at(1000);
        // Eight a second are served; after 24 waiting ones the wait is three seconds.
        for (RequestId id = 10; id < 34; ++id)
            CPPUNIT_ASSERT(dispatcher.submit(at, makeRequest(id), router).directives.empty());
        AdmittedRequest shortDeadline = makeRequest(34);
        shortDeadline.deadline = at + Milliseconds(2000);
        const auto refused = this->refusalOf(dispatcher.submit(at, shortDeadline, router));
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
        const auto refused = this->refusalOf(output);
        CPPUNIT_ASSERT(refused.code == RefusalCode::DeadlinePassed && refused.ran == Ran::No);
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 0 }, output.settlements.front().usedTokens);
    }

    void testWithdrawnKeyEndsQueuedAndRunningRequests()
    {
        Router router = makeRouter(makeGovernance(1));
        Dispatcher dispatcher = makeDispatcher();
        this->fill(dispatcher, router, Milliseconds());
        dispatcher.submit(Milliseconds(1000), makeRequest(10), router);
        dispatcher.submit(Milliseconds(1000), makeRequest(11, boundWorkspace), router);
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
        // The other workspace's request takes the place that came free.
        CPPUNIT_ASSERT_EQUAL(RequestId { 11 }, this->startOf(output).request);
    }

    void testCallerDisconnectCancelsOnlyIdempotentRequests()
    {
        Router router = makeRouter(makeGovernance(3));
        Dispatcher dispatcher = makeDispatcher();
        const StartAttempt first = this->startOf(dispatcher.submit(this->now, makeRequest(1), router));
        const auto cancelled = dispatcher.handle(this->now, CallerDisconnected { 1 }, router);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, selectDirectives<CancelAttempt>(cancelled).size());
        const auto settled = dispatcher.handle(this->now, end(first, AttemptResult::Cancelled, 12), router);
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 112 }, settled.settlements.front().usedTokens);

        this->startOf(dispatcher.submit(this->now, makeReservation(2), router));
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
        const auto refused = this->refusalOf(dispatcher.submit(Milliseconds(1001), makeRequest(11), router));
        CPPUNIT_ASSERT(refused.code == RefusalCode::Leaving && refused.ran == Ran::No);

        const auto last = this->startOf(
            dispatcher.handle(Milliseconds(1500), end(running.front(), AttemptResult::Completed, 5), router));
        CPPUNIT_ASSERT(dispatcher.tick(Milliseconds(50'000), router).directives.empty());
        for (std::size_t index = 1; index < running.size(); ++index)
            dispatcher.handle(Milliseconds(50'000), end(running[index], AttemptResult::Completed, 5), router);
        CPPUNIT_ASSERT(!dispatcher.isDrained());
        dispatcher.handle(Milliseconds(50'000), end(last, AttemptResult::Completed, 5), router);
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
        // To a region that would relay here, a hundred of one workspace are one request ahead.
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 100 }, dispatcher.countQueued().at(assistant));
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 1 }, dispatcher.countAhead().at(assistant));
        // One quiet request at a time, each of which must be next although a hundred wait.
        for (int round = 0; round < 8; ++round) {
            const RequestId quiet = ++id;
            dispatcher.submit(Milliseconds(2000), makeRequest(quiet, boundWorkspace), router);
            const std::size_t index = static_cast<std::size_t>(round) % running.size();
            const auto output
                = dispatcher.handle(Milliseconds(2000), end(running[index], AttemptResult::Completed, 5), router);
            running[index] = this->startOf(output);
            const auto after
                = dispatcher.handle(Milliseconds(2000), end(running[index], AttemptResult::Completed, 5), router);
            const bool wasNext = running[index].request == quiet || this->startOf(after).request == quiet;
            CPPUNIT_ASSERT(wasNext);
            running[index] = this->startOf(after);
        }
    }

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
        this->expectNoRelayOf(41, dispatcher.submit(at, makeRequest(41, boundWorkspace), router));
        AdmittedRequest relayed = makeRequest(42);
        relayed.isRelayed = true;
        this->expectNoRelayOf(42, dispatcher.submit(at, relayed, router));
        // Nor do they leave later, when the queue is looked at again.
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
