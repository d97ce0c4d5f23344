#pragma once

#include "foundation/time/Clock.h"
#include <cstddef>
#include <cstdint>

namespace papayashelf {

/** In which order waiting requests start. */
enum class QueueOrder {
    FairByShare, /**< The workspace that had least of its share starts first. */
    ArrivalOrder, /**< Baseline: first come, first served. */
};

/** What operators may set about attempts, queues, retries and claims. */
struct DispatchSettings {
    QueueOrder queueOrder = QueueOrder::FairByShare;
    std::size_t queuedPerWorkspace = 256; /**< Most requests of one workspace waiting on this VM. */

    int attemptsPerRequest = 4; /**< Most attempts without progress. */
    double retriesPerRequest = 0.1; /**< Retry budget earned by each request. */
    double retriesPerSecond = 1.0; /**< Retry budget earned by time alone. */
    double retryBudgetLimit = 64; /**< Most retries that can be saved up. */
    Milliseconds firstBackoff { 25 };
    Milliseconds longestBackoff { 1000 };

    Milliseconds engineFirstByteLimit { 15000 };
    Milliseconds engineBetweenBytesLimit { 5000 };
    Milliseconds plainFirstByteLimit { 20000 };
    Milliseconds plainBetweenBytesLimit { 10000 };

    Milliseconds leavingLimit { 120000 }; /**< Longest time that a stopping VM finishes what it has. */

    double claimsPerSecond = 10; /**< Most claims that this VM writes a second. */
    Milliseconds claimTimeout { 2000 }; /**< After which a request that could not be claimed is refused. */
    Milliseconds claimRetention { 86400000 }; /**< How long a claim is kept after its request ended. */
    std::size_t keptAnswerBytes = 4096; /**< Largest answer body that is kept with a claim. */

    bool operator==(const DispatchSettings&) const = default;
};

} // namespace papayashelf
