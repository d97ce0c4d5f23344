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
    const WorkspaceId name = this->queueKeyOf(request.workspace);
    WorkspaceQueue& line = this->workspaceQueues[name];
    if (line.requests.empty()) {
        line.start = std::max(line.start, this->virtualTime);
        line.arrival = this->arrivalCount++;
        this->schedule.insert(this->positionOf(name, line));
    }
    if (atFront)
        line.requests.push_front(request);
    else
        line.requests.push_back(request);
    this->workspaceByRequest.emplace(request.request, name);
}

void FairQueue::take(RequestId request)
{
    const auto position = this->workspaceByRequest.find(request);
    assert(position != this->workspaceByRequest.end());
    const WorkspaceId name = position->second;
    WorkspaceQueue& line = this->workspaceQueues.at(name);
    const auto taken = std::find_if(line.requests.begin(), line.requests.end(),
        [&](const QueuedRequest& queued) { return queued.request == request; });
    assert(taken != line.requests.end());

    this->schedule.erase(this->positionOf(name, line));
    this->virtualTime = std::max(this->virtualTime, line.start);
    line.start += static_cast<double>(taken->costTokens) / static_cast<double>(taken->weight);
    line.requests.erase(taken);
    this->workspaceByRequest.erase(position);
    if (!line.requests.empty())
        this->schedule.insert(this->positionOf(name, line));
    this->eraseIdleQueues();
}

void FairQueue::remove(RequestId request)
{
    const auto position = this->workspaceByRequest.find(request);
    if (position == this->workspaceByRequest.end())
        return;
    const WorkspaceId name = position->second;
    WorkspaceQueue& line = this->workspaceQueues.at(name);
    std::erase_if(line.requests, [&](const QueuedRequest& queued) { return queued.request == request; });
    if (line.requests.empty())
        this->schedule.erase(this->positionOf(name, line));
    this->workspaceByRequest.erase(position);
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
    const auto line = this->workspaceQueues.find(this->queueKeyOf(workspace));
    return line == this->workspaceQueues.end() ? 0 : line->second.requests.size();
}

double FairQueue::getShareOf(const WorkspaceId& workspace, std::int64_t weight) const
{
    const WorkspaceId own = this->queueKeyOf(workspace);
    auto all = static_cast<double>(weight);
    for (const SchedulePosition& position : this->schedule) {
        const WorkspaceId& name = std::get<WorkspaceId>(position);
        if (name != own)
            all += static_cast<double>(this->workspaceQueues.at(name).requests.front().weight);
    }
    return static_cast<double>(weight) / all;
}

WorkspaceId FairQueue::queueKeyOf(const WorkspaceId& workspace) const
{
    return this->order == QueueOrder::ArrivalOrder ? WorkspaceId() : workspace;
}

FairQueue::SchedulePosition FairQueue::positionOf(const WorkspaceId& name, const WorkspaceQueue& line) const
{
    return { line.start, line.arrival, name };
}

void FairQueue::eraseIdleQueues()
{
    constexpr std::size_t maxIdleQueues = 64;
    if (this->workspaceQueues.size() <= this->schedule.size() + maxIdleQueues)
        return;
    // A line that the virtual time has passed would start anew anyway.
    std::erase_if(this->workspaceQueues,
        [&](const auto& entry) { return entry.second.requests.empty() && entry.second.start <= this->virtualTime; });
}

} // namespace papayashelf
