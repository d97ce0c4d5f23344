#pragma once

#include "foundation/time/Clock.h"
#include <cstddef>
#include <cstdint>

namespace papayashelf {

/** Selects the policy that picks one of the upstreams that may take a request. */
enum class UpstreamPolicy {
    AffinityAndTwoChoices, /**< Longest cached prefix within a load bound, else as TwoChoices. */
    TwoChoices, /**< The less loaded of two random upstreams. */
    LeastLoad, /**< Baseline: the upstream with the lowest estimated load. */
    RoundRobin, /**< Baseline: the upstreams in rotation. */
    Random, /**< Baseline: a random upstream. */
};

/** Decides when a request is relayed to another region. */
enum class SpillPolicy {
    ByCost, /**< When the estimated local wait exceeds the link time plus the wait in the other region. */
    ByLoadOnly, /**< Baseline: when the other region is less loaded, regardless of the link time. */
    Never, /**< Baseline: only when this region has no usable upstream. */
};

/** Configures the choice of regions and upstreams. */
struct RoutingSettings {
    UpstreamPolicy upstreamPolicy = UpstreamPolicy::AffinityAndTwoChoices;
    SpillPolicy spillPolicy = SpillPolicy::ByCost;

    std::size_t subsetSize = 16; /**< Number of upstreams of one service that one VM uses and polls. */
    double concurrencyFactor = 1.0; /**< Maximum concurrent requests at an upstream per slot. */
    double affinityLoadBound = 1.6; /**< Maximum load for affinity, as a multiple of the candidates' mean load. */
    std::size_t prefixIndexEntries = 32768; /**< Maximum number of prefix hashes in the index. */
    Milliseconds loadReportLifetime { 5000 }; /**< Older load reports are ignored. */

    int failuresToEject = 5; /**< Consecutive failures after which an upstream is ejected. */
    Milliseconds firstEjectionDuration { 5000 }; /**< Doubles with each further ejection; jittered by 25 percent. */
    Milliseconds maximumEjectionDuration { 120000 }; /**< Limit of the doubling, before jitter. */
    Milliseconds busyBackoff { 200 }; /**< How long an upstream is skipped after it rejected a request as busy. */
    Milliseconds warmUp { 60000 }; /**< Maximum ramp-up time of a recovered upstream or region with cold caches. */

    Milliseconds summaryLifetime { 10000 }; /**< A region whose last summary is older gets no relays. */
    Milliseconds regionRoundTrip { 60 }; /**< Round-trip time to another region. */
    Milliseconds defaultServiceTime { 2000 }; /**< Assumed duration of an attempt until one was measured. */
    Milliseconds fullBatchDelay { 1500 }; /**< Delay of the first token in a full batch, including engine queueing. */
    Milliseconds spillMargin { 200 }; /**< Minimum time saved for a request to be relayed. */
    double prefillMillisecondsPerToken = 0.2; /**< Prefill time of a prompt token whose prefix is not cached. */
    std::int64_t bytesPerToken = 6; /**< Estimated bytes per token on a link between regions. */

    bool operator==(const RoutingSettings&) const = default;
};

} // namespace papayashelf
