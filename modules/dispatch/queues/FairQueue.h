#pragma once

#include "dispatch/settings/DispatchSettings.h"
#include "foundation/identity/Identifier.h"
#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <vector>

namespace papayashelf {

/** A waiting request as the queue sees it. */
struct QueuedRequest {
    RequestId request = 0;
    WorkspaceId workspace;
    std::int64_t weight = 1; /**< Its workspace's share; at least 1. */
    std::int64_t costTokens = 1; /**< At least 1. */

    bool operator==(const QueuedRequest&) const = default;
};

/**
    The requests that wait for one service, in start-time fair order.

    Each workspace has a virtual start time that moves on by cost over weight with each request taken. The
    workspace that is furthest behind goes first, so one that stays within its share never waits behind the
    backlog of another. Taking and adding cost the logarithm of the number of waiting workspaces.

    Thread safety: none; owned by one thread.
*/
class FairQueue {
public:
    explicit FairQueue(QueueOrder order);

    /** Appends a request, or puts it first among its workspace's, as for one that is tried again. */
    void push(const QueuedRequest& request, bool atFront);

    /** Takes a request that now starts: its cost counts against its workspace. Precondition: it waits here. */
    void take(RequestId request);

    /** Removes a request that will not start; its cost does not count. Nothing happens if it is not here. */
    void remove(RequestId request);

    /** The next requests to start, one of each workspace, at most count of them. */
    std::vector<RequestId> peekHeads(std::size_t count) const;

    std::size_t size() const { return this->workspaceByRequest.size(); }
    bool isEmpty() const { return this->workspaceByRequest.empty(); }
    std::size_t countOf(const WorkspaceId& workspace) const;

    /** The requests that go before one that comes now from a workspace that has not had its share: one of each line. */
    std::size_t countAhead() const
    {
        return this->order == QueueOrder::ArrivalOrder ? this->size() : this->schedule.size();
    }

    /** The part of the service's throughput that a workspace gets while all that wait now go on waiting; 0 to 1. */
    double getShareOf(const WorkspaceId& workspace, std::int64_t weight) const;

private:
    struct WorkspaceQueue {
        std::deque<QueuedRequest> requests;
        double virtualStart = 0; /**< Virtual time at which its first request is due. */
        std::uint64_t arrival = 0; /**< Breaks ties, and is the whole order for the baseline. */
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
