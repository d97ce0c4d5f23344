#pragma once

/**
    The timeline module records the events of one process in causal order, and merges the events of several processes
    into one timeline in which no effect precedes its cause.

    It depends on foundation only.
*/

#include "timeline/events/MergedTimeline.h"
#include "timeline/events/Timeline.h"
