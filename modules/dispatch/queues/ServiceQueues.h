#pragma once

#include "dispatch/dispatcher/DispatchMessages.h"
#include "dispatch/queues/FairQueue.h"
#include <map>

namespace papayashelf {

/**
    The queue of each service, with statistics on this VM's attempts to estimate waits.

    Thread safety: none; owned by one thread.
*/
class ServiceQueues {
public:
    explicit ServiceQueues(QueueOrder order);

    /** The queue of a service, created if it does not exist. The reference stays valid. */
    FairQueue& getQueue(const ServiceId& service);

    /** The services that have a queue, sorted. */
    std::vector<ServiceId> listServices() const;

    /** Records the start of an attempt in this region. */
    void noteStarted(const ServiceId& service);

    /** Records the end of an attempt in this region. Only answered attempts count towards the mean duration. */
    void noteEnded(const ServiceId& service, Milliseconds duration, bool isAnswered);

    /** The estimated wait of a new request; 0 while nothing is known about the service. */
    Milliseconds estimateWait(const AdmittedRequest& request) const;

    /** The number of queued requests, by service. */
    std::map<ServiceId, std::int64_t> count() const;

    /** The number of requests that start before a new one of a workspace that has not used its share, by service. */
    std::map<ServiceId, std::int64_t> countAhead() const;

    /** Whether no request is queued for any service. */
    bool isEmpty() const;

private:
    struct AttemptStatistics {
        std::int64_t running = 0; /**< Attempts in progress. */
        double meanDuration = 0; /**< Moving average over answered attempts, in milliseconds; 0 until the first. */
    };

    QueueOrder order;
    std::map<ServiceId, FairQueue> queues;
    std::map<ServiceId, AttemptStatistics> statistics;
};

} // namespace papayashelf
