#include "dispatch/DispatchFixture.h"
#include "dispatch/FakeStore.h"

#include <cppunit/extensions/HelperMacros.h>
#include <deque>

namespace papayashelf {

using namespace dispatch_fixture;

class ClaimTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(ClaimTest);
    CPPUNIT_TEST(testRepeatOnAnotherVmGetsStoredAnswer);
    CPPUNIT_TEST(testRepeatOfUnconfirmedRequestIsRefusedAsUnknown);
    CPPUNIT_TEST(testRequestIsNotSentBeforeClaimIsGranted);
    CPPUNIT_TEST(testLostStoreReplyIsResolvedByReading);
    CPPUNIT_TEST(testUnavailableStoreRefusesRequestAsNotRun);
    CPPUNIT_TEST(testConflictWithUnreadableClaimIsRefusedAsUnknown);
    CPPUNIT_TEST(testClaimOfRequestThatDidNotRunIsReleased);
    CPPUNIT_TEST(testUndecodableClaimIsRefusedAsUnknown);
    CPPUNIT_TEST(testClaimWritesStayWithinRateLimit);
    CPPUNIT_TEST(testLeavingWaitsForConfirmationsUntilLimit);
    CPPUNIT_TEST(testOperationRunsAtMostOnceUnderRandomFaults);
    CPPUNIT_TEST_SUITE_END();

    Milliseconds now { 10 };

    /** A VM with its router and dispatcher. */
    struct Vm {
        explicit Vm(const std::string& name, Incarnation incarnation = 1)
            : router(makeRouter(makeGovernance(4)))
            , dispatcher(makeDispatcher({}, name, incarnation))
        {
        }

        Router router;
        Dispatcher dispatcher;
    };

    /** Answers all store calls that follow from an output, and returns it with all further results appended. */
    DispatchOutput settle(Vm& vm, DispatchOutput output, FakeStore& store, FakeStore::Fault fault = {})
    {
        std::deque<StoreCall> calls(output.storeCalls.begin(), output.storeCalls.end());
        for (int answered = 0; !calls.empty() && answered < 50; ++answered) {
            const StoreReply reply = store.apply(calls.front().request, fault);
            const std::uint64_t call = calls.front().call;
            calls.pop_front();
            const DispatchOutput more = vm.dispatcher.handleStoreReply(this->now, call, reply, vm.router);
            calls.insert(calls.end(), more.storeCalls.begin(), more.storeCalls.end());
            output.directives.insert(output.directives.end(), more.directives.begin(), more.directives.end());
            output.storedAnswers.insert(
                output.storedAnswers.end(), more.storedAnswers.begin(), more.storedAnswers.end());
        }
        return output;
    }

    /** Submits the reservation "fee-7" and answers its store calls. */
    DispatchOutput submit(Vm& vm, RequestId id, FakeStore& store, FakeStore::Fault fault = {})
    {
        return this->settle(vm, vm.dispatcher.submit(this->now, makeReservation(id, "fee-7"), vm.router), store, fault);
    }

    /** Completes the started attempt with status 201 and a text body. */
    void complete(Vm& vm, const DispatchOutput& output, FakeStore& store, const std::string& body)
    {
        const StartAttempt started = selectDirectives<StartAttempt>(output).front();
        vm.dispatcher.handle(this->now, AnswerToKeep { started.request, started.attempt, 201, "text/plain", body });
        AttemptEnded ended = makeAttemptEnded(started, AttemptResult::Completed);
        ended.status = 201;
        this->settle(vm, vm.dispatcher.handle(this->now, ended, vm.router), store);
    }

    // A repeated request must receive the answer of the first run, on the same VM and on another one.
    void testRepeatOnAnotherVmGetsStoredAnswer()
    {
        FakeStore store;
        Vm first("a");
        Vm second("b");
        this->complete(first, this->submit(first, 1, store), store, "receipt 7");
        for (Vm* const vm : { &first, &second }) {
            const DispatchOutput repeat = this->submit(*vm, 2, store);
            CPPUNIT_ASSERT(repeat.directives.empty());
            const StoredAnswer expected { 2, 201, true, "text/plain", "receipt 7" };
            CPPUNIT_ASSERT(repeat.storedAnswers.front() == expected);
        }
        // A body that is not valid UTF-8 is not stored, but the status is.
        FakeStore other;
        this->complete(first,
            this->settle(first, first.dispatcher.submit(this->now, makeReservation(3, "fee-8"), first.router), other),
            other, "\xff\xfe");
        const DispatchOutput bare = this->settle(
            second, second.dispatcher.submit(this->now, makeReservation(4, "fee-8"), second.router), other);
        CPPUNIT_ASSERT_EQUAL(201, bare.storedAnswers.front().status);
        CPPUNIT_ASSERT(!bare.storedAnswers.front().isBodyHeld);
    }

    void expectUnknown(const DispatchOutput& output)
    {
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, output.directives.size());
        const auto refused = selectDirectives<RefuseRequest>(output);
        CPPUNIT_ASSERT(refused.front().code == RefusalCode::OutcomeUnknown && refused.front().ran == Ran::Unknown);
    }

    // A repeat must not run while the first run may still be running or its VM has failed, not even on the same VM
    // after a restart.
    void testRepeatOfUnconfirmedRequestIsRefusedAsUnknown()
    {
        FakeStore store;
        Vm first("a");
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, selectDirectives<StartAttempt>(this->submit(first, 1, store)).size());
        this->expectUnknown(this->submit(first, 2, store));
        Vm restarted("a", 2);
        this->expectUnknown(this->submit(restarted, 1, store));
        Vm second("b");
        this->expectUnknown(this->submit(second, 1, store));
    }

    void testRequestIsNotSentBeforeClaimIsGranted()
    {
        FakeStore store;
        Vm vm("a");
        const DispatchOutput output = vm.dispatcher.submit(this->now, makeReservation(1, "fee-7"), vm.router);
        CPPUNIT_ASSERT(output.directives.empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, output.storeCalls.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, selectDirectives<StartAttempt>(this->settle(vm, output, store)).size());
    }

    // After a lost reply, the VM does not know whether it wrote the claim. It must read the key before it starts the
    // request.
    void testLostStoreReplyIsResolvedByReading()
    {
        for (const auto fault : { FakeStore::Fault::LoseAnswer, FakeStore::Fault::LoseRequest }) {
            FakeStore store;
            Vm vm("a");
            DispatchOutput output = vm.dispatcher.submit(this->now, makeReservation(1, "fee-7"), vm.router);
            const StoreReply lost = store.apply(output.storeCalls.front().request, fault);
            output = vm.dispatcher.handleStoreReply(this->now, output.storeCalls.front().call, lost, vm.router);
            CPPUNIT_ASSERT(output.directives.empty());
            CPPUNIT_ASSERT_EQUAL(
                std::size_t { 1 }, selectDirectives<StartAttempt>(this->settle(vm, output, store)).size());
        }
    }

    void testUnavailableStoreRefusesRequestAsNotRun()
    {
        FakeStore store;
        Vm vm("a");
        CPPUNIT_ASSERT(this->submit(vm, 1, store, FakeStore::Fault::Unavailable).directives.empty());
        DispatchOutput output;
        while (selectDirectives<RefuseRequest>(output).empty()) {
            this->now = vm.dispatcher.getNextDeadline();
            CPPUNIT_ASSERT(this->now <= Milliseconds(500) + DispatchSettings().claimTimeout);
            output = vm.dispatcher.tick(this->now, vm.router);
            output = this->settle(vm, output, store, FakeStore::Fault::Unavailable);
        }
        const RefuseRequest refused = selectDirectives<RefuseRequest>(output).front();
        CPPUNIT_ASSERT(refused.code == RefusalCode::ClaimUnavailable && refused.ran == Ran::No && refused.retryAfter);
        CPPUNIT_ASSERT(selectDirectives<StartAttempt>(output).empty());
    }

    // If the store fails after a conflict, another request with the key may have run, so the outcome is unknown.
    void testConflictWithUnreadableClaimIsRefusedAsUnknown()
    {
        FakeStore store;
        Vm first("a");
        this->submit(first, 1, store);
        Vm second("b");
        DispatchOutput output = second.dispatcher.submit(this->now, makeReservation(1, "fee-7"), second.router);
        const StoreReply conflict = store.apply(output.storeCalls.front().request);
        output = second.dispatcher.handleStoreReply(this->now, output.storeCalls.front().call, conflict, second.router);
        this->settle(second, output, store, FakeStore::Fault::Unavailable);
        const Milliseconds late = this->now + DispatchSettings().claimTimeout * 2;
        this->expectUnknown(second.dispatcher.tick(late, second.router));
    }

    void testClaimOfRequestThatDidNotRunIsReleased()
    {
        FakeStore store;
        Vm vm("a");
        DispatchOutput output = this->submit(vm, 1, store);
        for (int attempt = 1; selectDirectives<RefuseRequest>(output).empty(); ++attempt) {
            CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, store.entries.size());
            const StartAttempt started = selectDirectives<StartAttempt>(output).front();
            output = vm.dispatcher.handle(this->now, makeAttemptEnded(started, AttemptResult::NotSent), vm.router);
        }
        CPPUNIT_ASSERT(selectDirectives<RefuseRequest>(output).front().ran == Ran::No);
        this->settle(vm, output, store);
        CPPUNIT_ASSERT(store.entries.empty());
        Vm second("b");
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, selectDirectives<StartAttempt>(this->submit(second, 1, store)).size());
    }

    // A claim of another schema version or a damaged claim may belong to a request that ran. It must not be
    // overwritten.
    void testUndecodableClaimIsRefusedAsUnknown()
    {
        FakeStore store;
        Vm vm("a");
        const ClaimedOperation operation { unrestrictedWorkspace, "POST", "/reservations", "fee-7" };
        const std::string key = operation.storeKey();
        store.entries[key] = { key, R"({"schema":2,"state":"elsewhere"})", 1 };
        this->expectUnknown(this->submit(vm, 1, store));
        store.entries[key] = { key, "{", 1 };
        this->expectUnknown(this->submit(vm, 2, store));
        CPPUNIT_ASSERT_EQUAL(std::string("{"), store.entries.at(key).value);
    }

    void testClaimWritesStayWithinRateLimit()
    {
        Vm vm("a");
        const DispatchSettings settings;
        int calls = 0;
        int refused = 0;
        for (RequestId id = 1; id <= 1000; ++id) {
            const auto reservation = makeReservation(id, "fee-" + std::to_string(id));
            const DispatchOutput output = vm.dispatcher.submit(this->now, reservation, vm.router);
            calls += static_cast<int>(output.storeCalls.size());
            refused += static_cast<int>(selectDirectives<RefuseRequest>(output).size());
        }
        CPPUNIT_ASSERT(calls <= 2 * settings.claimsPerSecond + 1);
        CPPUNIT_ASSERT_EQUAL(1000, calls + refused);
    }

    void testLeavingWaitsForConfirmationsUntilLimit()
    {
        FakeStore store;
        Vm vm("a");
        const StartAttempt started = selectDirectives<StartAttempt>(this->submit(vm, 1, store)).front();
        vm.dispatcher.beginLeaving(this->now);
        const DispatchOutput output
            = vm.dispatcher.handle(this->now, makeAttemptEnded(started, AttemptResult::Completed), vm.router);
        this->settle(vm, output, store, FakeStore::Fault::Unavailable);
        CPPUNIT_ASSERT(!vm.dispatcher.isDrained());
        const Milliseconds limit = this->now + DispatchSettings().leavingLimit;
        CPPUNIT_ASSERT(vm.dispatcher.getNextDeadline() <= limit);
        vm.dispatcher.tick(limit, vm.router);
        CPPUNIT_ASSERT(vm.dispatcher.isDrained());
    }

    /** Counts for one operation over all its repeated requests. */
    struct OperationCounts {
        int sent = 0; /**< Attempts that may have reached an upstream. */
        int final = 0; /**< Final directives. */
        int submitted = 0; /**< Submitted requests. */
    };

    // Repeats of one operation on three VMs must run at most once and each get one final directive, whatever order of
    // store faults and attempt results occurs.
    void testOperationRunsAtMostOnceUnderRandomFaults()
    {
        for (std::uint64_t seed = 1; seed <= 300; ++seed)
            this->runWithRandomFaults(seed);
    }

    void runWithRandomFaults(std::uint64_t seed)
    {
        std::mt19937_64 random(seed);
        FakeStore store;
        std::deque<Vm> vms;
        for (const char* const name : { "a", "b", "c" })
            vms.emplace_back(name);
        OperationCounts counts;
        std::vector<std::deque<StoreCall>> pending(vms.size());
        std::vector<std::deque<StartAttempt>> running(vms.size());
        const auto take = [&](std::size_t index, const DispatchOutput& output) {
            pending[index].insert(pending[index].end(), output.storeCalls.begin(), output.storeCalls.end());
            for (const StartAttempt& started : selectDirectives<StartAttempt>(output))
                running[index].push_back(started);
            counts.final += static_cast<int>(selectDirectives<RefuseRequest>(output).size()
                + selectDirectives<FinishRequest>(output).size() + output.storedAnswers.size());
        };
        for (int step = 0; step < 120; ++step) {
            const Milliseconds at = Milliseconds(100) * step;
            const std::size_t index = random() % vms.size();
            Vm& vm = vms[index];
            if (step < 60 && random() % 4 == 0) {
                const auto reservation = makeReservation(static_cast<RequestId>(step) + 1, "fee-7");
                ++counts.submitted;
                take(index, vm.dispatcher.submit(at, reservation, vm.router));
            } else if (!pending[index].empty() && random() % 2) {
                const StoreCall call = pending[index].front();
                pending[index].pop_front();
                const auto fault = step < 90 ? static_cast<FakeStore::Fault>(random() % 4) : FakeStore::Fault::None;
                const StoreReply reply = store.apply(call.request, fault);
                take(index, vm.dispatcher.handleStoreReply(at, call.call, reply, vm.router));
            } else if (!running[index].empty()) {
                const StartAttempt started = running[index].front();
                running[index].pop_front();
                const auto result = static_cast<AttemptResult>(random() % 6);
                const bool isUnsent = result == AttemptResult::NotSent || result == AttemptResult::RejectedBusy;
                counts.sent += isUnsent ? 0 : 1;
                take(index, vm.dispatcher.handle(at, makeAttemptEnded(started, result), vm.router));
            }
            take(index, vm.dispatcher.tick(at, vm.router));
        }
        for (std::size_t index = 0; index < vms.size(); ++index)
            take(index, vms[index].dispatcher.tick(Milliseconds(100'000), vms[index].router));
        const std::string text = "seed " + std::to_string(seed);
        CPPUNIT_ASSERT_MESSAGE(text, counts.sent <= 1);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(text, counts.submitted, counts.final);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ClaimTest);

} // namespace papayashelf
