#include "dispatch/dispatcher/AttemptMessages.h"

namespace papayashelf::attempt_messages {

RoutingQuery makeQuery(const InFlightRequest& inFlight, Milliseconds queueWait)
{
    const RequestArrival& arrival = inFlight.admitted.arrival;
    RoutingQuery query;
    query.workspace = inFlight.admitted.workspace;
    query.service = inFlight.admitted.service;
    query.promptTokens = arrival.promptTokens;
    query.maximumTokens = arrival.maximumTokens;
    query.prefixHashes = arrival.prefixHashes;
    query.queueWait = queueWait;
    query.triedUpstreams = inFlight.triedUpstreams;
    query.triedRegions = inFlight.triedRegions;
    return query;
}

StartAttempt makeStart(
    Milliseconds now, const InFlightRequest& inFlight, const UpstreamChoice& choice, const DispatchSettings& settings)
{
    const Milliseconds remaining = inFlight.admitted.deadline - now;
    const auto limits = in_flight_rules::chooseResponseTimeouts(inFlight.admitted, settings, remaining);
    return { inFlight.id(), inFlight.attempt, inFlight.admitted.workspace, choice.upstream, choice.endpoint,
        choice.kind, inFlight.admitted.priority, inFlight.answerTokens, limits.firstByte, limits.betweenBytes,
        remaining, inFlight.kept ? inFlight.kept->attempt : 0 };
}

StartRelay makeRelay(
    Milliseconds now, const InFlightRequest& inFlight, const RegionChoice& choice, const DispatchSettings& settings)
{
    const Milliseconds remaining = inFlight.admitted.deadline - now;
    const auto limits = in_flight_rules::chooseResponseTimeouts(inFlight.admitted, settings, remaining);
    return { inFlight.id(), inFlight.attempt, inFlight.admitted.workspace, choice.vm, choice.endpoint,
        inFlight.answerTokens, limits.firstByte, limits.betweenBytes, remaining,
        inFlight.kept ? inFlight.kept->attempt : 0 };
}

} // namespace papayashelf::attempt_messages
