#pragma once

#include "configuration/configuration.h"
#include "dispatch/dispatch.h"
#include "membership/membership.h"
#include "routing/settings/RoutingSettings.h"
#include "shares/shares.h"
#include <cstdint>

namespace papayashelf {

/** The identity of a VM and the settings of its decision modules. */
struct NodeSettings {
    Member self; /**< Its incarnation number must exceed those of all earlier incarnations. */
    std::uint64_t seed = 1;
    Milliseconds wallClockAtZero; /**< Wall-clock time at which this process's monotonic clock was 0. */
    MembershipSettings membership;
    ConfigurationSettings configuration;
    ShareSettings shares;
    RoutingSettings routing;
    DispatchSettings dispatch;
    Milliseconds summaryPeriod { 2000 }; /**< Interval between load summaries to other regions. */
    Milliseconds departureNoticeDuration { 500 }; /**< How long a drained VM keeps running to announce its departure. */
    std::size_t timelineCapacity = 4096; /**< Maximum number of events kept for operators. */
};

} // namespace papayashelf
