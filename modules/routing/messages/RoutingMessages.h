#pragma once

#include "foundation/identity/Identifier.h"
#include <cstdint>

namespace papayashelf {

/** How busy one service is in one region, as one VM of that region sees it; sent to VMs of the other regions. */
struct RegionSummary {
    RegionId region;
    ServiceId service;
    std::int32_t slots = 0; /**< Slots of the upstreams that take new work, fewer while their caches are cold. */
    std::int32_t running = 0;
    std::int32_t waiting = 0; /**< At the upstreams and in the reporting region's queues. */

    bool operator==(const RegionSummary&) const = default;
};

} // namespace papayashelf
