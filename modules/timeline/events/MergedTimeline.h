#pragma once

#include "timeline/events/TimelineEvent.h"

namespace papayashelf {

/**
    Joins the events of several processes into one time line.

    The order is by logical time, then by VM, so a cause always stands before its effects and every reader sees the
    same order. An event that arrives from two sources is kept once.

    @param timelines  events of any processes, in any order
*/
std::vector<TimelineEvent> mergeTimelines(const std::vector<std::vector<TimelineEvent>>& timelines);

} // namespace papayashelf
