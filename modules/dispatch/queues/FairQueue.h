#pragma once

#include "dispatch/settings/DispatchSettings.h"
#include "foundation/identity/Identifier.h"
#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <vector>

namespace papayashelf {

/** An entry of the queue. */
struct QueuedRequest {
    RequestId request = 0;
    WorkspaceId workspace;
    std::int64_t weight = 1; /**< Weight of the workspace's share; at least 1. */
    std::int64_t costTokens = 1; /**< Cost of the request, in tokens; at least 1. */

    bool operator==(const QueuedRequest&) const = default;
};

/**
    The queued requests of one service, scheduled by start-time fair queueing.

    Each workspace has a virtual start time, which advances by cost divided by weight with each request taken. The
    workspace with the earliest virtual start time goes first, so a workspace that stays within its share never waits
    behind the backlog of another. Adding a request, or taking the first one of a workspace, takes time logarithmic in
    the number of waiting workspaces.

    Thread safety: none; owned by one thread.
*/
class FairQueue {
public:
    explicit FairQueue(QueueOrder order);

    /** Adds a request at the back of its workspace, or at the front, as for a retry. Precondition: it is not queued. */
    void push(const QueuedRequest& request, bool atFront);

    /** Removes a request that starts and charges its cost to its workspace. Precondition: it is queued. */
    void take(RequestId request);

    /** Removes a request without charging its cost. Does nothing if it is not queued. */
    void remove(RequestId request);

    /** The next requests to start: the first of each workspace, at most count of them. */
    std::vector<RequestId> peekHeads(std::size_t count) const;

    /** The number of queued requests. */
    std::size_t size() const { return this->workspaceByRequest.size(); }

    /** Whether no request is queued. */
    bool isEmpty() const { return this->workspaceByRequest.empty(); }

    /** The number of queued requests of a workspace; of all workspaces in ArrivalOrder. */
    std::size_t countOf(const WorkspaceId& workspace) const;

    /**
        The number of requests that start before a new one of a workspace that has not used its share: one for each
        waiting workspace, or all requests in ArrivalOrder.
    */
    std::size_t countAhead() const
    {
        return this->order == QueueOrder::ArrivalOrder ? this->size() : this->schedule.size();
    }

    /** The fraction of the service's throughput that a workspace gets among the workspaces waiting now; 0 to 1. */
    double getShareOf(const WorkspaceId& workspace, std::int64_t weight) const;

private:
    struct WorkspaceQueue {
        std::deque<QueuedRequest> requests;
        double virtualStart = 0; /**< Virtual start time of its first request. */
        std::uint64_t arrival = 0; /**< Order in which queues became non-empty; breaks ties. */
    };
    using SchedulePosition = std::tuple<double, std::uint64_t, WorkspaceId>;

    WorkspaceId queueKeyOf(const WorkspaceId& workspace) const;
    SchedulePosition positionOf(const WorkspaceId& queueKey, const WorkspaceQueue& workspaceQueue) const;
    void eraseIdleQueues();

    QueueOrder order;
    std::map<WorkspaceId, WorkspaceQueue> workspaceQueues;
    std::set<SchedulePosition> schedule;
    std::map<RequestId, WorkspaceId> workspaceByRequest;
    double virtualTime = 0;
    std::uint64_t arrivalCount = 0;
};

} // namespace papayashelf
