#pragma once

#include "foundation/identity/Identifier.h"
#include <cstdint>

namespace papayashelf {

/** The load of one service in one region as one VM of that region sees it; sent to VMs of the other regions. */
struct RegionSummary {
    RegionId region;
    ServiceId service;
    std::int32_t slots = 0; /**< Slots of the upstreams that accept new work, reduced while their caches are cold. */
    std::int32_t running = 0; /**< Requests being processed at the upstreams. */
    std::int32_t waiting = 0; /**< Requests waiting at the upstreams and in the reporting region's queues. */

    bool operator==(const RegionSummary&) const = default;
};

} // namespace papayashelf
