#pragma once

#include "dispatch/dispatcher/Flight.h"

namespace papayashelf {

/** Makes the messages of an attempt from a flight. Pure functions. */
namespace attempt_orders {

RoutingQuery makeQuery(const Flight& flight, Milliseconds queueWait);
StartAttempt makeStart(
    Milliseconds now, const Flight& flight, const UpstreamChoice& choice, const DispatchSettings& settings);
StartRelay makeRelay(
    Milliseconds now, const Flight& flight, const RegionChoice& choice, const DispatchSettings& settings);

} // namespace attempt_orders

} // namespace papayashelf
