#include "dispatch/dispatcher/AttemptMessages.h"

namespace papayashelf::attempt_messages {

RoutingQuery makeQuery(const InFlightRequest& flight, Milliseconds queueWait)
{
    const RequestArrival& arrival = flight.admitted.arrival;
    RoutingQuery query;
    query.workspace = flight.admitted.workspace;
    query.service = flight.admitted.service;
    query.promptTokens = arrival.promptTokens;
    query.maximumTokens = arrival.maximumTokens;
    query.prefixHashes = arrival.prefixHashes;
    query.queueWait = queueWait;
    query.triedUpstreams = flight.triedUpstreams;
    query.triedRegions = flight.triedRegions;
    return query;
}

StartAttempt makeStart(
    Milliseconds now, const InFlightRequest& flight, const UpstreamChoice& choice, const DispatchSettings& settings)
{
    const Milliseconds remaining = flight.admitted.deadline - now;
    const auto limits = in_flight_rules::silenceLimits(flight.admitted, settings, remaining);
    return { flight.id(), flight.attempt, flight.admitted.workspace, choice.upstream, choice.endpoint, choice.kind,
        flight.admitted.priority, flight.answerTokens, limits.firstByte, limits.betweenBytes, remaining };
}

StartRelay makeRelay(
    Milliseconds now, const InFlightRequest& flight, const RegionChoice& choice, const DispatchSettings& settings)
{
    const Milliseconds remaining = flight.admitted.deadline - now;
    const auto limits = in_flight_rules::silenceLimits(flight.admitted, settings, remaining);
    return { flight.id(), flight.attempt, flight.admitted.workspace, choice.vm, choice.endpoint, flight.answerTokens,
        limits.firstByte, limits.betweenBytes, remaining };
}

} // namespace papayashelf::attempt_messages
