#pragma once

#include "dispatch/dispatcher/DispatchMessages.h"
#include "dispatch/settings/DispatchSettings.h"
#include "routing/choice/RoutingQuery.h"
#include <optional>
#include <variant>
#include <vector>

namespace papayashelf {

/** Where an admitted request stands. */
enum class InFlightStage {
    Arrived, /**< Neither queued nor sent yet. */
    Claiming, /**< Its claim is being written; nothing was sent. */
    Queued,
    Running, /**< An attempt is under way. */
    BackingOff, /**< Waits for its next attempt. */
    Stopping, /**< Its caller has the final directive; the cancelled attempt has yet to report its tokens. */
};

/** One admitted request on its way. */
struct InFlightRequest {
    AdmittedRequest admitted;
    InFlightStage stage = InFlightStage::Arrived;
    Milliseconds startedAt; /**< Of the attempt under way. */
    Milliseconds timerDueAt = Milliseconds::never(); /**< When its timer is due. */
    std::uint32_t attempt = 0;
    int attemptsWithoutProgress = 0;
    std::variant<std::monostate, UpstreamChoice, RegionChoice> target;
    std::vector<UpstreamId> triedUpstreams;
    std::vector<RegionId> triedRegions;
    bool hasAnswerBegun = false; /**< The caller has seen part of an answer. */
    bool mayHaveRun = false; /**< An earlier attempt was sent and may have been run. */
    bool hasClaim = false;
    bool isCallerDisconnected = false;
    std::int64_t answerTokens = 0;
    std::int64_t promptTokens = 0; /**< As the upstream counted them; 0 until it did. */
    std::optional<AnswerToKeep> answer;

    RequestId id() const { return this->admitted.arrival.request; }
};

/** The rules on what may be done with a request, apart from how it is done. Pure functions of a flight. */
namespace in_flight_rules {

/** True unless a second attempt could run the request a second time. */
bool mayStart(const InFlightRequest& inFlight);

/** True if an answer that has begun can go on from another upstream. */
bool canResume(const InFlightRequest& inFlight);

/** Whether the caller's operation must be claimed before it is sent. */
bool needsClaim(const AdmittedRequest& admitted);

/** Whether the request may have been run, for a refusal given now. */
Ran determineRan(const InFlightRequest& inFlight);

/** The code to refuse with, which says so when the outcome is unknown. */
RefusalCode chooseRefusalCode(const InFlightRequest& inFlight, RefusalCode wanted);

/** The tokens to charge to the workspace. */
std::int64_t countUsedTokens(const InFlightRequest& inFlight);

/** The longest waits for the first byte and between bytes of an attempt. */
struct ResponseTimeouts {
    Milliseconds firstByte;
    Milliseconds betweenBytes;
};
ResponseTimeouts chooseResponseTimeouts(
    const AdmittedRequest& admitted, const DispatchSettings& settings, Milliseconds remaining);

/** What the end of an attempt says about who had it. */
AttemptSignal classifyResult(AttemptResult result, int status);

} // namespace in_flight_rules

} // namespace papayashelf
