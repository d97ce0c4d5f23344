#pragma once

#include "dispatch/claims/ClaimTracker.h"
#include "dispatch/dispatcher/DispatchMessages.h"
#include "dispatch/dispatcher/InFlightRequest.h"
#include "dispatch/dispatcher/InFlightRequestTable.h"
#include "dispatch/queues/ServiceQueues.h"
#include "dispatch/retries/RetryBudget.h"
#include "dispatch/settings/DispatchSettings.h"
#include "routing/choice/Router.h"
#include <map>
#include <optional>
#include <random>

namespace papayashelf {

/**
    Carries each admitted request through its attempts to exactly one final directive.

    A request waits in a fair queue, is sent, tried again or resumed where that is allowed, and ends in
    FinishRequest, RefuseRequest or a StoredAnswer. A request that is not idempotent is sent at most once.

    Thread safety: none; owned by one thread, together with its Router.
*/
class Dispatcher {
public:
    /** @param wallClockAtZero  wall-clock time, in milliseconds, at which this process's clock stood at 0 */
    Dispatcher(DispatchSettings settings, const VmId& self, Incarnation incarnation, Milliseconds wallClockAtZero,
        std::uint64_t seed);

    //==================================================================================================================
    /** Takes a request that passed admission. Precondition: its id is not in use. */
    DispatchOutput submit(Milliseconds now, const AdmittedRequest& request, Router& router);

    /** Takes what the entrance reports. Reports of ended requests or earlier attempts are discarded. */
    DispatchOutput handle(Milliseconds now, const AttemptBegan& began, Router& router);
    DispatchOutput handle(Milliseconds now, const AttemptEnded& ended, Router& router);
    DispatchOutput handle(Milliseconds now, const CallerDisconnected& gone, Router& router);
    DispatchOutput handle(Milliseconds now, const AnswerToKeep& answer);

    /** Takes the reply to one of its store calls. */
    DispatchOutput handleStoreReply(Milliseconds now, std::uint64_t call, const StoreReply& reply, Router& router);

    /** Ends every waiting and running request of a withdrawn key. */
    DispatchOutput withdrawKey(Milliseconds now, const KeyDigest& key, Router& router);

    //==================================================================================================================
    /** Does what is due. Call at getNextDeadline() or later, and when capacity may have come. */
    DispatchOutput tick(Milliseconds now, Router& router);

    /** When tick() is next needed; never() when nothing waits. */
    Milliseconds getNextDeadline() const;

    //==================================================================================================================
    /** Stops taking requests; those that are here finish within the leaving limit. */
    void beginLeaving(Milliseconds now);

    /** True once it is leaving with no request left, and has settled its claims or passed the leaving limit. */
    bool isDrained() const;

    //==================================================================================================================
    /** Requests waiting here, by service. */
    std::map<ServiceId, std::int64_t> countQueued() const { return this->queues.count(); }

    /** What Router::summariseOwnRegion() takes: the requests that go before one from a region that relays here. */
    std::map<ServiceId, std::int64_t> countAhead() const { return this->queues.countAhead(); }
    std::size_t countRequests() const { return this->inFlightRequests.size(); }

private:
    void beginProcessing(Milliseconds now, InFlightRequest& inFlight, Router& router, DispatchOutput& output);
    void enqueue(InFlightRequest& inFlight, bool atFront, DispatchOutput& output);
    void dispatchAllQueues(Milliseconds now, Router& router, DispatchOutput& output);
    void dispatchQueue(Milliseconds now, const ServiceId& service, Router& router, DispatchOutput& output);
    bool dispatchOne(Milliseconds now, FairQueue& queue, Router& router, DispatchOutput& output);
    bool tryRelayInsteadOfQueueing(
        Milliseconds now, InFlightRequest& inFlight, Milliseconds wait, Router& router, DispatchOutput& output);
    RoutingChoice chooseTarget(
        Milliseconds now, const InFlightRequest& inFlight, Milliseconds queueWait, Router& router);
    bool applyChoice(Milliseconds now, InFlightRequest& inFlight, const RoutingChoice& choice, Router& router,
        DispatchOutput& output);

    void start(Milliseconds now, InFlightRequest& inFlight, const UpstreamChoice& choice, Router& router,
        DispatchOutput& output);
    void start(Milliseconds now, InFlightRequest& inFlight, const RegionChoice& choice, Router& router,
        DispatchOutput& output);
    void beginAttempt(Milliseconds now, InFlightRequest& inFlight, const std::string& where, DispatchOutput& output);
    void releaseTarget(Milliseconds now, InFlightRequest& inFlight, AttemptSignal signal, Router& router);
    void endAttempt(
        Milliseconds now, InFlightRequest& inFlight, const AttemptEnded& ended, Router& router, DispatchOutput& output);
    void scheduleRetry(
        Milliseconds now, InFlightRequest& inFlight, bool isImmediate, bool hasProgressed, DispatchOutput& output);

    void finish(Milliseconds now, InFlightRequest& inFlight, int status, DispatchOutput& output);
    void refuse(Milliseconds now, InFlightRequest& inFlight, RefusalCode wanted, DispatchOutput& output,
        std::optional<Milliseconds> retryAfter = std::nullopt, const std::string& detail = {});
    void stop(Milliseconds now, InFlightRequest& inFlight, RefusalCode code, Router& router, DispatchOutput& output);
    void settleClaim(Milliseconds now, InFlightRequest& inFlight, DispatchOutput& output);
    void settleAndErase(InFlightRequest& inFlight, DispatchOutput& output);
    void handleTimer(Milliseconds now, InFlightRequest& inFlight, Router& router, DispatchOutput& output);
    void applyClaimOutput(Milliseconds now, ClaimOutput claimed, Router& router, DispatchOutput& output);
    void applyClaimDecision(Milliseconds now, const ClaimDecision& decision, Router& router, DispatchOutput& output);

    const DispatchSettings settings;
    std::mt19937_64 generator;
    ServiceQueues queues;
    RetryBudget budget;
    ClaimTracker claims;
    InFlightRequestTable inFlightRequests;
    std::optional<Milliseconds> leavingDeadline;
    bool isLeavingEnforced = false;
    Milliseconds queuesCheckedAt;
};

} // namespace papayashelf
