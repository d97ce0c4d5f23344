#pragma once

#include "foundation/identity/Identifier.h"
#include "foundation/time/Clock.h"
#include <cstdint>
#include <optional>

namespace papayashelf {

/** An upstream's own entry in the platform's list. */
struct UpstreamRecord {
    UpstreamId id;
    ServiceId service;
    Endpoint endpoint;
    RegionId region;
    FailureDomainId failureDomain;
    int slots = 1; /**< Requests that it runs concurrently. */
    bool isLeaving = false; /**< True if it completes its running requests and accepts no new ones. */
    Milliseconds coldFor; /**< Remaining time in which it accepts only few requests. */
    std::int64_t startedAt = 0; /**< Unix milliseconds; distinguishes incarnations with the same id. 0 if not stated. */
    std::int64_t sequence = 0; /**< Rises with the entries of one incarnation; 0 if not stated. */
    SoftwareVersion version; /**< A stream can go on only at an upstream of the version that began it. */

    bool operator==(const UpstreamRecord&) const = default;
};

/** The load that an upstream reports in a response. */
struct ReportedLoad {
    int running = 0;
    int waiting = 0;
    int slots = 0;

    bool operator==(const ReportedLoad&) const = default;
};

/** What an upstream says of itself in the head of a response. */
struct UpstreamStatement {
    std::optional<ReportedLoad> load;
    /** Requests per second that it accepts from all VMs together; empty if it states no limit. */
    std::optional<double> requestsPerSecond;
    bool isLimitKnown = true; /**< False if the response tells neither a limit nor that there is none. */
    /** Rejections for want of room in a second above which it fails; empty if it states no such limit. */
    std::optional<double> rejectionLimit;
    bool isRejectionLimitKnown = true; /**< False if the response tells neither that limit nor that there is none. */
    bool isLeaving = false; /**< Whether it is about to end. */
    Milliseconds rejectsFor; /**< Time for which it wants no request from the VM that it answers; 0 for none. */
    Milliseconds connectedFor; /**< Time since the connection of the response was opened. */

    bool operator==(const UpstreamStatement&) const = default;
};

} // namespace papayashelf
