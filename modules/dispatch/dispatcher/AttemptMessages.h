#pragma once

#include "dispatch/dispatcher/InFlightRequest.h"

namespace papayashelf {

/** Makes the messages of an attempt from a flight. Pure functions. */
namespace attempt_messages {

RoutingQuery makeQuery(const InFlightRequest& inFlight, Milliseconds queueWait);
StartAttempt makeStart(
    Milliseconds now, const InFlightRequest& inFlight, const UpstreamChoice& choice, const DispatchSettings& settings);
StartRelay makeRelay(
    Milliseconds now, const InFlightRequest& inFlight, const RegionChoice& choice, const DispatchSettings& settings);

} // namespace attempt_messages

} // namespace papayashelf
