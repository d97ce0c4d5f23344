#pragma once

#include "timeline/events/TimelineEvent.h"

namespace papayashelf {

/**
    Merges the events of several processes into one timeline.

    Events are sorted by logical time, then by VM, so a cause always precedes its effects and every reader sees the
    same order. An event that occurs in two of the timelines is kept once.

    @param timelines  events of any processes, in any order
*/
std::vector<TimelineEvent> mergeTimelines(const std::vector<std::vector<TimelineEvent>>& timelines);

} // namespace papayashelf
