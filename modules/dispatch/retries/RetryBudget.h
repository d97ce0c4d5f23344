#pragma once

#include "dispatch/settings/DispatchSettings.h"

namespace papayashelf {

/**
    Limits retries to a fraction of the requests, so that retries cannot multiply the load on failing upstreams.

    Thread safety: none; owned by one thread.
*/
class RetryBudget {
public:
    explicit RetryBudget(const DispatchSettings& settings);

    /** Adds retriesPerRequest to the budget for a new request. */
    void noteRequest();

    /** Takes one retry from the budget. Returns false if less than one is available. */
    bool tryTake(Milliseconds now);

private:
    void accrueOverTime(Milliseconds now);

    DispatchSettings settings;
    double available;
    Milliseconds accruedAt;
};

} // namespace papayashelf
