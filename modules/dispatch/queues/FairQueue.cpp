#include "dispatch/queues/FairQueue.h"

#include <algorithm>
#include <cassert>

namespace papayashelf {

FairQueue::FairQueue(QueueOrder order)
    : order(order)
{
}

void FairQueue::push(const QueuedRequest& request, bool atFront)
{
    assert(request.weight > 0 && request.costTokens > 0 && !this->workspaceByRequest.contains(request.request));
    const WorkspaceId queueKey = this->queueKeyOf(request.workspace);
    WorkspaceQueue& workspaceQueue = this->workspaceQueues[queueKey];
    if (workspaceQueue.requests.empty()) {
        workspaceQueue.virtualStart = std::max(workspaceQueue.virtualStart, this->virtualTime);
        workspaceQueue.arrival = this->arrivalCount++;
        this->schedule.insert(this->positionOf(queueKey, workspaceQueue));
    }
    if (atFront)
        workspaceQueue.requests.push_front(request);
    else
        workspaceQueue.requests.push_back(request);
    this->workspaceByRequest.emplace(request.request, queueKey);
}

void FairQueue::take(RequestId request)
{
    const auto entry = this->workspaceByRequest.find(request);
    assert(entry != this->workspaceByRequest.end());
    const WorkspaceId queueKey = entry->second;
    WorkspaceQueue& workspaceQueue = this->workspaceQueues.at(queueKey);
    const auto taken = std::find_if(workspaceQueue.requests.begin(), workspaceQueue.requests.end(),
        [&](const QueuedRequest& queued) { return queued.request == request; });
    assert(taken != workspaceQueue.requests.end());

    this->schedule.erase(this->positionOf(queueKey, workspaceQueue));
    this->virtualTime = std::max(this->virtualTime, workspaceQueue.virtualStart);
    workspaceQueue.virtualStart += static_cast<double>(taken->costTokens) / static_cast<double>(taken->weight);
    workspaceQueue.requests.erase(taken);
    this->workspaceByRequest.erase(entry);
    if (!workspaceQueue.requests.empty())
        this->schedule.insert(this->positionOf(queueKey, workspaceQueue));
    this->eraseIdleQueues();
}

void FairQueue::remove(RequestId request)
{
    const auto entry = this->workspaceByRequest.find(request);
    if (entry == this->workspaceByRequest.end())
        return;
    const WorkspaceId queueKey = entry->second;
    WorkspaceQueue& workspaceQueue = this->workspaceQueues.at(queueKey);
    std::erase_if(workspaceQueue.requests, [&](const QueuedRequest& queued) { return queued.request == request; });
    if (workspaceQueue.requests.empty())
        this->schedule.erase(this->positionOf(queueKey, workspaceQueue));
    this->workspaceByRequest.erase(entry);
}

std::vector<RequestId> FairQueue::peekHeads(std::size_t count) const
{
    std::vector<RequestId> heads;
    for (const SchedulePosition& position : this->schedule) {
        if (heads.size() == count)
            break;
        heads.push_back(this->workspaceQueues.at(std::get<WorkspaceId>(position)).requests.front().request);
    }
    return heads;
}

std::size_t FairQueue::countOf(const WorkspaceId& workspace) const
{
    const auto workspaceQueue = this->workspaceQueues.find(this->queueKeyOf(workspace));
    return workspaceQueue == this->workspaceQueues.end() ? 0 : workspaceQueue->second.requests.size();
}

double FairQueue::getShareOf(const WorkspaceId& workspace, std::int64_t weight) const
{
    const WorkspaceId own = this->queueKeyOf(workspace);
    auto all = static_cast<double>(weight);
    for (const SchedulePosition& position : this->schedule) {
        const WorkspaceId& queueKey = std::get<WorkspaceId>(position);
        if (queueKey != own)
            all += static_cast<double>(this->workspaceQueues.at(queueKey).requests.front().weight);
    }
    return static_cast<double>(weight) / all;
}

WorkspaceId FairQueue::queueKeyOf(const WorkspaceId& workspace) const
{
    return this->order == QueueOrder::ArrivalOrder ? WorkspaceId() : workspace;
}

FairQueue::SchedulePosition FairQueue::positionOf(
    const WorkspaceId& queueKey, const WorkspaceQueue& workspaceQueue) const
{
    return { workspaceQueue.virtualStart, workspaceQueue.arrival, queueKey };
}

void FairQueue::eraseIdleQueues()
{
    constexpr std::size_t maxIdleQueues = 64;
    if (this->workspaceQueues.size() <= this->schedule.size() + maxIdleQueues)
        return;
    // A queue whose start time is in the virtual past would restart at the current virtual time, so it holds no state.
    std::erase_if(this->workspaceQueues, [&](const auto& entry) {
        return entry.second.requests.empty() && entry.second.virtualStart <= this->virtualTime;
    });
}

} // namespace papayashelf
