#pragma once

#include "foundation/time/Clock.h"

namespace papayashelf {

/**
    When a VM that stops ends its work.

    Immutable. Thread safety: all methods may be called from any thread.
*/
class StopSchedule {
public:
    /**
        @param beganAt  when the VM was told to stop
        @param grace    time from then on until its process is killed; above 0
    */
    StopSchedule(Milliseconds beganAt, Milliseconds grace);

    /** Returns true while new requests are served: callers learn only after a while that the VM stops. */
    bool takesRequests(Milliseconds now) const { return now < this->acceptanceEnd; }

    /** Returns when requests that are still open get their final answer. */
    Milliseconds getRequestsEnd() const { return this->requestsEnd; }

    /** Returns when the process ends even if answers are still being written. */
    Milliseconds getProcessEnd() const { return this->processEnd; }

    bool operator==(const StopSchedule&) const = default;

private:
    Milliseconds acceptanceEnd;
    Milliseconds requestsEnd;
    Milliseconds processEnd;
};

} // namespace papayashelf
