#pragma once

/**
    metrics holds counts and quantiles by workspace, on Boost.Accumulators. Depends on foundation only.
*/

#include "metrics/latency/LatencySummary.h"
#include "metrics/requests/RequestMetrics.h"
