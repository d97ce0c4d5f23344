#pragma once

#include "dispatch/dispatcher/DispatchMessages.h"
#include "dispatch/settings/DispatchSettings.h"
#include "routing/choice/RoutingQuery.h"
#include <optional>
#include <variant>
#include <vector>

namespace papayashelf {

/** The stages of an admitted request. */
enum class InFlightStage {
    Arrived, /**< The request is neither queued nor sent. */
    Claiming, /**< Its claim is being written to the store. Nothing has been sent. */
    Queued, /**< The request waits in the queue of its service. */
    Running, /**< An attempt is in progress. */
    BackingOff, /**< The request waits for its next attempt. */
    Stopping, /**< The final directive was issued, but the cancelled attempt has not reported its tokens. */
};

/** Where an attempt runs. */
using AttemptTarget = std::variant<std::monostate, UpstreamChoice, RegionChoice>;

/** A silent attempt that goes on until the one after it has been accepted. */
struct KeptAttempt {
    std::uint32_t attempt = 0;
    Milliseconds startedAt;
    AttemptTarget target;
};

/** An admitted request and the state of its attempts. */
struct InFlightRequest {
    AdmittedRequest admitted;
    InFlightStage stage = InFlightStage::Arrived;
    Milliseconds startedAt; /**< Start of the current attempt. */
    /** When the timer is due; set through InFlightRequestTable::setTimer(). */
    Milliseconds timerDueAt = Milliseconds::never();
    std::uint32_t attempt = 0; /**< Number of the current attempt; 0 before the first. */
    std::uint32_t lastAttempt = 0; /**< Number of the attempt that was started last. */
    bool isSilenceNoted = false; /**< The router knows that the current attempt has been silent. */
    std::optional<KeptAttempt> kept;
    int attemptsWithoutProgress = 0;
    AttemptTarget target;
    std::vector<UpstreamId> triedUpstreams;
    std::vector<RegionId> triedRegions;
    bool hasAnswerBegun = false; /**< Part of an answer was sent to the caller. */
    bool mayHaveRun = false; /**< An earlier attempt was sent and may have run. */
    bool hasClaim = false;
    bool isCallerDisconnected = false;
    std::int64_t answerTokens = 0; /**< Tokens delivered to the caller, over all attempts. */
    std::int64_t promptTokens = 0; /**< Prompt tokens as counted by the upstream; 0 while unknown. */
    std::optional<AnswerToKeep> answer;

    /** The id of the request. */
    RequestId id() const { return this->admitted.arrival.request; }
};

/** Rules that decide how an in-flight request may proceed. Pure functions. */
namespace in_flight_rules {

/** Whether an attempt may start: it must not run a non-idempotent request a second time. */
bool mayStart(const InFlightRequest& inFlight);

/** Whether another attempt may run while an earlier one, which is silent, goes on. */
bool mayStartBesideSilent(const InFlightRequest& inFlight);

/** Whether an answer that has begun can be continued by another upstream. */
bool canResume(const InFlightRequest& inFlight);

/** Whether the operation must be claimed before the request is sent. */
bool needsClaim(const AdmittedRequest& admitted);

/** Whether the request may have run, for a refusal at this point. */
Ran determineRan(const InFlightRequest& inFlight);

/** The requested code, or OutcomeUnknown if a non-idempotent request may have run. StoppedMidway is never replaced. */
RefusalCode chooseRefusalCode(const InFlightRequest& inFlight, RefusalCode wanted);

/** The number of tokens to charge to the workspace. */
std::int64_t countUsedTokens(const InFlightRequest& inFlight);

/** The timeouts of an attempt for the first byte and between bytes of the answer. */
struct ResponseTimeouts {
    Milliseconds firstByte;
    Milliseconds betweenBytes;
};

/** The timeouts of an attempt. They never exceed the time remaining. */
ResponseTimeouts chooseResponseTimeouts(
    const AdmittedRequest& admitted, const DispatchSettings& settings, Milliseconds remaining);

/** Classifies the end of an attempt as a signal about the upstream or region that handled it. */
AttemptSignal classifyResult(AttemptResult result, int status);

} // namespace in_flight_rules

} // namespace papayashelf
