#pragma once

#include "configuration/configuration.h"
#include "dispatch/dispatch.h"
#include "membership/membership.h"
#include "routing/settings/RoutingSettings.h"
#include "shares/shares.h"
#include <cstdint>

namespace papayashelf {

/** Who a VM is and how its parts decide. */
struct NodeSettings {
    Member self; /**< Its incarnation is larger than in every earlier life. */
    std::uint64_t seed = 1;
    Milliseconds wallClockAtZero; /**< Wall-clock time at which this process's clock stood at 0. */
    MembershipSettings membership;
    ConfigurationSettings configuration;
    ShareSettings shares;
    RoutingSettings routing;
    DispatchSettings dispatch;
    Milliseconds summaryPeriod { 2000 }; /**< Between two reports to other regions on how busy this one is. */
    Milliseconds departureTime { 500 }; /**< How long a drained VM stays to spread the news that it goes. */
    std::size_t timelineCapacity = 4096; /**< Events kept for operators. */
};

} // namespace papayashelf
