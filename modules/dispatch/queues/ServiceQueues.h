#pragma once

#include "dispatch/dispatcher/DispatchMessages.h"
#include "dispatch/queues/FairQueue.h"
#include <map>

namespace papayashelf {

/**
    The queue of each service and the pace at which this VM's attempts for it go.

    Thread safety: none; owned by one thread.
*/
class ServiceQueues {
public:
    explicit ServiceQueues(QueueOrder order);

    /** The queue of a service; empty if none was there. The reference stays good. */
    FairQueue& getQueue(const ServiceId& service);

    /** The services that have a queue, sorted. */
    std::vector<ServiceId> listServices() const;

    /** Counts an attempt in this region as started, or as ended after so long. */
    void noteStarted(const ServiceId& service);
    void noteEnded(const ServiceId& service, Milliseconds duration, bool isAnswered);

    /** How long a request that comes now would wait; 0 while nothing is known of the service. */
    Milliseconds estimateWait(const AdmittedRequest& request) const;

    /** Waiting requests, by service. */
    std::map<ServiceId, std::int64_t> count() const;

    /** Requests that go before one of a workspace that has not had its share, by service. */
    std::map<ServiceId, std::int64_t> countAhead() const;
    bool isEmpty() const;

private:
    struct AttemptStatistics {
        std::int64_t running = 0;
        double meanDuration = 0; /**< Of an answered attempt, in milliseconds; 0 until there was one. */
    };

    QueueOrder order;
    std::map<ServiceId, FairQueue> queues;
    std::map<ServiceId, AttemptStatistics> statistics;
};

} // namespace papayashelf
