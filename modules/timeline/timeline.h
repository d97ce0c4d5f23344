#pragma once

/**
    timeline holds the events of one process in causal order, and merges those of many processes into one time
    line that never shows an effect before its cause.

    It depends on foundation only.
*/

#include "timeline/events/MergedTimeline.h"
#include "timeline/events/Timeline.h"
