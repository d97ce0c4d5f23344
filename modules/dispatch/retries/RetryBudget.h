#pragma once

#include "dispatch/settings/DispatchSettings.h"

namespace papayashelf {

/**
    Limits retries to a part of the requests, so that retries cannot multiply the load of a failing fleet.

    Thread safety: none; owned by one thread.
*/
class RetryBudget {
public:
    explicit RetryBudget(const DispatchSettings& settings);

    /** Earns budget for a request that came in. */
    void noteRequest();

    /** Takes one retry from the budget; false if there is none. */
    bool tryTake(Milliseconds now);

private:
    void accrueOverTime(Milliseconds now);

    DispatchSettings settings;
    double available;
    Milliseconds accruedAt;
};

} // namespace papayashelf
