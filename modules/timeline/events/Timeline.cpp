#include "timeline/events/Timeline.h"

#include <algorithm>

namespace papayashelf {

Timeline::Timeline(VmId vmId, Incarnation incarnationNumber, std::size_t capacity)
    : vm(std::move(vmId))
    , incarnation(incarnationNumber)
    , events(capacity)
{
}

void Timeline::record(Milliseconds now, std::string kind, TimelineDetails details)
{
    ++this->logicalTime;
    ++this->lastSequence;
    this->events.push_back(TimelineEvent {
        this->logicalTime, this->vm, this->incarnation, this->lastSequence, now, std::move(kind), std::move(details) });
}

void Timeline::observeLogicalTime(std::uint64_t receivedTime)
{
    this->logicalTime = std::max(this->logicalTime, receivedTime) + 1;
}

std::vector<TimelineEvent> Timeline::getEventsAfter(std::uint64_t sequence) const
{
    const std::uint64_t newerCount = this->lastSequence - std::min(sequence, this->lastSequence);
    const std::size_t keptCount = std::min<std::uint64_t>(newerCount, this->events.size());
    return { this->events.end() - static_cast<std::ptrdiff_t>(keptCount), this->events.end() };
}

} // namespace papayashelf
