#include "dispatch/dispatcher/InFlightRequest.h"

#include <algorithm>

namespace papayashelf::in_flight_rules {

bool mayStart(const InFlightRequest& inFlight)
{
    return inFlight.admitted.isIdempotent || !inFlight.mayHaveRun;
}

bool mayStartBesideSilent(const InFlightRequest& inFlight)
{
    return inFlight.admitted.isIdempotent && !inFlight.kept && (!inFlight.hasAnswerBegun || canResume(inFlight));
}

bool canResume(const InFlightRequest& inFlight)
{
    return inFlight.admitted.kind == ServiceKind::ModelEngine && inFlight.admitted.arrival.isStreamed;
}

bool needsClaim(const AdmittedRequest& admitted)
{
    // The claim of a relayed request is held by the VM that relays it.
    return !admitted.isIdempotent && !admitted.isRelayed && !admitted.arrival.idempotencyKey.empty();
}

Ran determineRan(const InFlightRequest& inFlight)
{
    const bool isSent = inFlight.stage == InFlightStage::Running || inFlight.stage == InFlightStage::Stopping;
    return inFlight.mayHaveRun || isSent ? Ran::Unknown : Ran::No;
}

RefusalCode chooseRefusalCode(const InFlightRequest& inFlight, RefusalCode wanted)
{
    const bool isUnknown = !inFlight.admitted.isIdempotent && determineRan(inFlight) == Ran::Unknown;
    return isUnknown && wanted != RefusalCode::StoppedMidway ? RefusalCode::OutcomeUnknown : wanted;
}

std::int64_t countUsedTokens(const InFlightRequest& inFlight)
{
    if (determineRan(inFlight) == Ran::No)
        return 0;
    if (inFlight.admitted.kind == ServiceKind::PlainService)
        return inFlight.admitted.costTokens;
    const std::int64_t prompt
        = inFlight.promptTokens > 0 ? inFlight.promptTokens : inFlight.admitted.arrival.promptTokens;
    return prompt + inFlight.answerTokens;
}

ResponseTimeouts chooseResponseTimeouts(
    const AdmittedRequest& admitted, const DispatchSettings& settings, Milliseconds remaining)
{
    const bool isEngine = admitted.kind == ServiceKind::ModelEngine;
    const Milliseconds between = isEngine ? settings.engineBetweenBytesLimit : settings.plainBetweenBytesLimit;
    // Without streaming, an engine sends the first byte only when the whole answer is complete.
    if (isEngine && !admitted.arrival.isStreamed)
        return { remaining, std::min(between, remaining) };
    const Milliseconds first = isEngine ? settings.engineFirstByteLimit : settings.plainFirstByteLimit;
    return { std::min(first, remaining), std::min(between, remaining) };
}

AttemptSignal classifyResult(AttemptResult result, int status)
{
    constexpr int badGateway = 502;
    constexpr int gatewayTimeout = 504;
    switch (result) {
    case AttemptResult::Completed:
        return status >= badGateway && status <= gatewayTimeout ? AttemptSignal::Failed : AttemptSignal::Answered;
    case AttemptResult::RejectedBusy:
        return AttemptSignal::Busy;
    case AttemptResult::Cancelled:
        return AttemptSignal::Cancelled;
    case AttemptResult::NotSent:
    case AttemptResult::NoAnswer:
    case AttemptResult::Truncated:
    case AttemptResult::TimedOut:
        return AttemptSignal::Failed;
    }
    return AttemptSignal::Failed;
}

} // namespace papayashelf::in_flight_rules
