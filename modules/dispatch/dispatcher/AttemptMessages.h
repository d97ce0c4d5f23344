#pragma once

#include "dispatch/dispatcher/InFlightRequest.h"

namespace papayashelf {

/** Builds the messages of an attempt from an in-flight request. Pure functions. */
namespace attempt_messages {

/** The routing query for the next attempt. */
RoutingQuery makeQuery(const InFlightRequest& inFlight, Milliseconds queueWait);

/** The directive that starts an attempt on an upstream of this region. */
StartAttempt makeStart(
    Milliseconds now, const InFlightRequest& inFlight, const UpstreamChoice& choice, const DispatchSettings& settings);

/** The directive that relays the request to a VM of another region. */
StartRelay makeRelay(
    Milliseconds now, const InFlightRequest& inFlight, const RegionChoice& choice, const DispatchSettings& settings);

} // namespace attempt_messages

} // namespace papayashelf
