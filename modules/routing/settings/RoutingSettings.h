#pragma once

#include "foundation/time/Clock.h"
#include <cstddef>
#include <cstdint>

namespace papayashelf {

/** How an upstream is picked among those that may take a request. */
enum class UpstreamPolicy {
    AffinityAndTwoChoices, /**< Longest cached prefix within a load bound, else the less loaded of two. */
    TwoChoices, /**< The less loaded of two random ones. */
    LeastLoad, /**< Baseline: the least loaded by the reports. */
    RoundRobin, /**< Baseline. */
    Random, /**< Baseline. */
};

/** When a request is sent to another region. */
enum class SpillPolicy {
    ByCost, /**< When waiting here costs more than the link and the other region's load together. */
    ByLoadOnly, /**< Baseline: to the least loaded region, whatever the link costs. */
    Never, /**< Baseline: only when this region has no upstream at all. */
};

/** What operators may set about the choice of regions and upstreams. */
struct RoutingSettings {
    UpstreamPolicy upstreamPolicy = UpstreamPolicy::AffinityAndTwoChoices;
    SpillPolicy spillPolicy = SpillPolicy::ByCost;

    std::size_t subsetSize = 16; /**< Upstreams of one service that one VM uses and polls. */
    double concurrencyFactor = 1.0; /**< Requests sent to an upstream at once, per slot. */
    double affinityLoadBound = 1.6; /**< Affinity is followed up to this multiple of the candidates' mean load. */
    std::size_t prefixIndexEntries = 32768; /**< Most prefix hashes remembered. */
    Milliseconds loadReportLifetime { 5000 }; /**< Older reports say nothing. */

    int failuresToEject = 5; /**< Consecutive failures after which an upstream is ejected. */
    Milliseconds firstEjection { 5000 };
    Milliseconds longestEjection { 120000 };
    Milliseconds busyPause { 200 }; /**< How long an upstream that rejected a request as busy is passed over. */
    Milliseconds warmUp { 60000 }; /**< Longest ramp of an upstream or region that came back with cold caches. */

    Milliseconds summaryLifetime { 10000 }; /**< A region not heard from for so long gets nothing. */
    Milliseconds regionRoundTrip { 60 };
    Milliseconds expectedServiceTime { 2000 }; /**< Length of an attempt before any was seen. */
    Milliseconds fullBatchDelay {
        1500
    }; /**< What a full batch costs the first token, queueing in the engine included. */
    Milliseconds spillMargin { 200 }; /**< Saving below which a request stays. */
    double prefillMillisecondsPerToken = 0.2; /**< What a prompt token costs where its prefix is not cached. */
    std::int64_t bytesPerToken = 6;

    bool operator==(const RoutingSettings&) const = default;
};

} // namespace papayashelf
