#pragma once

#include "foundation/time/Clock.h"
#include <cstddef>
#include <cstdint>

namespace papayashelf {

/** The order in which queued requests start. */
enum class QueueOrder {
    FairByShare, /**< The workspace that has used the least of its share starts first. */
    ArrivalOrder, /**< First come, first served; a baseline for comparison. */
};

/** Settings for attempts, queues, retries and claims. */
struct DispatchSettings {
    QueueOrder queueOrder = QueueOrder::FairByShare;
    std::size_t queuedPerWorkspace
        = 256; /**< Maximum number of queued requests per service and workspace on this VM. */

    int attemptsPerRequest = 4; /**< Maximum number of consecutive attempts without progress. */
    double retriesPerRequest = 0.1; /**< Retries added to the budget per request. */
    double retriesPerSecond = 1.0; /**< Retries added to the budget per second, without any request. */
    double retryBudgetLimit = 64; /**< Maximum number of retries in the budget. */
    Milliseconds firstBackoff { 25 };
    Milliseconds longestBackoff { 1000 };

    Milliseconds engineFirstByteLimit { 15000 };
    Milliseconds engineBetweenBytesLimit { 5000 };
    Milliseconds plainFirstByteLimit { 20000 };
    Milliseconds plainBetweenBytesLimit { 10000 };

    Milliseconds leavingLimit { 120000 }; /**< Time that a stopping VM has to finish its requests. */

    double claimsPerSecond = 10; /**< Maximum rate of new claims of this VM, per second. */
    Milliseconds claimTimeout { 2000 }; /**< Time after which a request that could not be claimed is refused. */
    Milliseconds claimRetention { 86400000 }; /**< How long a claim is kept after its request ended. */
    std::size_t keptAnswerBytes = 4096; /**< Maximum size of an answer body stored with a claim, in bytes. */

    bool operator==(const DispatchSettings&) const = default;
};

} // namespace papayashelf
