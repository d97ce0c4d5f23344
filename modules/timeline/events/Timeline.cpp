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

void Timeline::witness(std::uint64_t received)
{
    this->logicalTime = std::max(this->logicalTime, received) + 1;
}

std::vector<TimelineEvent> Timeline::getEventsAfter(std::uint64_t sequence) const
{
    const std::uint64_t newer = this->lastSequence - std::min(sequence, this->lastSequence);
    const std::size_t kept = std::min<std::uint64_t>(newer, this->events.size());
    return { this->events.end() - static_cast<std::ptrdiff_t>(kept), this->events.end() };
}

} // namespace papayashelf
