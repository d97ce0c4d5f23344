#pragma once

#include "foundation/identity/Identifier.h"
#include "foundation/time/Clock.h"
#include <cstdint>

namespace papayashelf {

/** What an upstream says of itself in the platform's list. */
struct UpstreamRecord {
    UpstreamId id;
    ServiceId service;
    Endpoint endpoint;
    RegionId region;
    FailureDomainId failureDomain;
    int slots = 1; /**< Requests that it runs at once. */
    bool isLeaving = false; /**< It finishes what it has and takes nothing new. */
    Milliseconds coldFor; /**< How much longer it bears few requests only. */
    std::int64_t startedAt = 0; /**< Unix milliseconds; tells one life from the next under the same id. 0: not said. */

    bool operator==(const UpstreamRecord&) const = default;
};

/** Load that an upstream tells with an answer. */
struct ReportedLoad {
    int running = 0;
    int waiting = 0;
    int slots = 0;

    bool operator==(const ReportedLoad&) const = default;
};

} // namespace papayashelf
