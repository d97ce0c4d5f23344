#include "timeline/events/MergedTimeline.h"

#include <algorithm>
#include <tuple>

namespace papayashelf {

namespace {

auto makeSortKey(const TimelineEvent& event)
{
    return std::tie(event.logicalTime, event.vm, event.incarnation, event.sequence);
}

} // namespace

std::vector<TimelineEvent> mergeTimelines(const std::vector<std::vector<TimelineEvent>>& timelines)
{
    std::vector<TimelineEvent> merged;
    for (const auto& timeline : timelines)
        merged.insert(merged.end(), timeline.begin(), timeline.end());
    std::sort(merged.begin(), merged.end(),
        [](const TimelineEvent& left, const TimelineEvent& right) { return makeSortKey(left) < makeSortKey(right); });
    const auto end = std::unique(merged.begin(), merged.end(),
        [](const TimelineEvent& left, const TimelineEvent& right) { return makeSortKey(left) == makeSortKey(right); });
    merged.erase(end, merged.end());
    return merged;
}

} // namespace papayashelf
