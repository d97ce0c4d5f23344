#include "dispatch/queues/ServiceQueues.h"

#include <algorithm>
#include <cmath>

namespace papayashelf {

namespace {

constexpr double meanDurationWeight = 0.05;

} // namespace

ServiceQueues::ServiceQueues(QueueOrder order)
    : order(order)
{
}

FairQueue& ServiceQueues::getQueue(const ServiceId& service)
{
    return this->queues.try_emplace(service, this->order).first->second;
}

std::vector<ServiceId> ServiceQueues::listServices() const
{
    std::vector<ServiceId> services;
    for (const auto& [service, queue] : this->queues)
        services.push_back(service);
    return services;
}

void ServiceQueues::noteStarted(const ServiceId& service)
{
    ++this->statistics[service].running;
}

void ServiceQueues::noteEnded(const ServiceId& service, Milliseconds duration, bool isAnswered)
{
    AttemptStatistics& attemptStatistics = this->statistics[service];
    --attemptStatistics.running;
    if (!isAnswered)
        return;
    const auto length = static_cast<double>(duration.count());
    attemptStatistics.meanDuration
        += attemptStatistics.meanDuration > 0 ? meanDurationWeight * (length - attemptStatistics.meanDuration) : length;
}

Milliseconds ServiceQueues::estimateWait(const AdmittedRequest& request) const
{
    const auto queue = this->queues.find(request.service);
    const auto attemptStatistics = this->statistics.find(request.service);
    if (queue == this->queues.end() || attemptStatistics == this->statistics.end())
        return {};
    const auto running = static_cast<double>(std::max<std::int64_t>(1, attemptStatistics->second.running));
    const double perRequest = attemptStatistics->second.meanDuration / running;
    const double share = queue->second.getShareOf(request.workspace, request.shareWeight);
    const auto ownAhead = static_cast<double>(queue->second.countOf(request.workspace) + 1);
    const auto totalAhead = static_cast<double>(queue->second.size() + 1);
    return Milliseconds(std::llround(perRequest * std::min(totalAhead, ownAhead / share)));
}

std::map<ServiceId, std::int64_t> ServiceQueues::count() const
{
    std::map<ServiceId, std::int64_t> queued;
    for (const auto& [service, queue] : this->queues)
        queued[service] = static_cast<std::int64_t>(queue.size());
    return queued;
}

std::map<ServiceId, std::int64_t> ServiceQueues::countAhead() const
{
    std::map<ServiceId, std::int64_t> ownAhead;
    for (const auto& [service, queue] : this->queues)
        ownAhead[service] = static_cast<std::int64_t>(queue.countAhead());
    return ownAhead;
}

bool ServiceQueues::isEmpty() const
{
    return std::all_of(
        this->queues.begin(), this->queues.end(), [](const auto& entry) { return entry.second.isEmpty(); });
}

} // namespace papayashelf
