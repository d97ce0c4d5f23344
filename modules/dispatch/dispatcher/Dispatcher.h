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
    Runs the attempts of each admitted request and ends it with exactly one final directive.

    A request waits in a fair queue and is sent. If an attempt fails, it is retried or resumed where this is permitted.
    A silent attempt goes on until another one has been accepted or the request's deadline has passed. A request ends
    with FinishRequest, RefuseRequest or StoredAnswer. One that is not idempotent runs at most once: it is sent again
    only if the earlier attempt certainly did not run.

    Thread safety: none; owned by one thread, together with its Router.
*/
class Dispatcher {
public:
    /** @param wallClockAtZero  wall-clock time, in milliseconds, at which this process's clock was 0 */
    Dispatcher(DispatchSettings settings, const VmId& self, Incarnation incarnation, Milliseconds wallClockAtZero,
        std::uint64_t seed);

    //==================================================================================================================
    /** Accepts a request that passed admission. Precondition: its id is not in use. */
    DispatchOutput submit(Milliseconds now, const AdmittedRequest& request, Router& router);

    /** Handles a report of the entrance. Reports for ended requests or earlier attempts are discarded. */
    DispatchOutput handle(Milliseconds now, const AttemptBegan& began, Router& router);
    DispatchOutput handle(Milliseconds now, const AttemptSilent& silent, Router& router);
    DispatchOutput handle(Milliseconds now, const AttemptEnded& ended, Router& router);
    DispatchOutput handle(Milliseconds now, const CallerDisconnected& disconnected, Router& router);
    DispatchOutput handle(Milliseconds now, const AnswerToKeep& answer);

    /** Handles the reply to a store call. */
    DispatchOutput handleStoreReply(Milliseconds now, std::uint64_t call, const StoreReply& reply, Router& router);

    /** Ends every queued and running request of a withdrawn key. */
    DispatchOutput withdrawKey(Milliseconds now, const KeyDigest& key, Router& router);

    //==================================================================================================================
    /** Runs due timers and starts queued requests. Call at getNextDeadline() and when capacity may have increased. */
    DispatchOutput tick(Milliseconds now, Router& router);

    /** Time at which tick() must be called next; never() if nothing is pending. */
    Milliseconds getNextDeadline() const;

    //==================================================================================================================
    /** Refuses new requests from now on. Requests that were already accepted may finish within the leaving limit. */
    void beginLeaving(Milliseconds now);

    /** True once it is leaving, no request is left, and all claims are settled or the leaving limit has passed. */
    bool isDrained() const;

    //==================================================================================================================
    /** The number of queued requests, by service. */
    std::map<ServiceId, std::int64_t> countQueued() const { return this->queues.count(); }

    /** The number of queued requests that start before a relayed one, by service, for Router::summariseOwnRegion(). */
    std::map<ServiceId, std::int64_t> countAhead() const { return this->queues.countAhead(); }

    /** The number of requests that have not been removed yet, including those that are stopping. */
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
    void noteSilence(Milliseconds now, InFlightRequest& inFlight, Router& router, DispatchOutput& output);
    void startBesideSilent(Milliseconds now, InFlightRequest& inFlight, const RoutingChoice& choice, Router& router,
        DispatchOutput& output);
    void releaseKept(Milliseconds now, InFlightRequest& inFlight, AttemptSignal signal, Router& router);
    void endKept(
        Milliseconds now, InFlightRequest& inFlight, const AttemptEnded& ended, Router& router, DispatchOutput& output);
    void returnToKept(InFlightRequest& inFlight, DispatchOutput& output);
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
