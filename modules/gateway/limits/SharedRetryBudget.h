#pragma once

#include "gateway/limits/WindowCounter.h"

namespace papayashelf {

/** The bound on the retries of one service in any window, over all VMs. */
struct RetryBound {
    double perRequest = 0; /**< Retries for each request. */
    double extra = 0; /**< Retries beyond that, over all VMs together. */
    Milliseconds window; /**< Length of the window; above 0. */

    bool operator==(const RetryBound&) const = default;
};

/**
    Enforces a VM's part of a service's bound on retries, without messages between the VMs.

    At each moment the VM's retries of the last window stay within the ratio of its own requests plus its part of the
    extra retries. Both are counted rather than stored up, so a change of the part never adds retries that were already
    used, and the parts of all VMs add up to the bound at any time.

    Load pattern: a service fails for every request while VMs are killed, started, added or cut off from the store.
    Thread safety: none; owned by one thread.
*/
class SharedRetryBudget {
public:
    /** Creates the budget of a VM that has just started. */
    explicit SharedRetryBudget(const RetryBound& bound);

    /** Counts a caller's request. */
    void noteRequest(Milliseconds now) { this->requests.add(now); }

    /** Returns true if the window has a retry left. @param extraShare  as for tryTake() */
    bool hasRetry(Milliseconds now, double extraShare);

    /**
        Takes one retry. Returns false if the window has none left.

        @param extraShare  this VM's part of the extra retries, from 0 to 1
    */
    bool tryTake(Milliseconds now, double extraShare);

private:
    RetryBound bound;
    WindowCounter requests;
    WindowCounter retries;
};

} // namespace papayashelf
