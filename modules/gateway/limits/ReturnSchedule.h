#pragma once

#include "foundation/time/Clock.h"
#include <deque>

namespace papayashelf {

/**
    Spreads the returns of refused requests over the capacity that new requests leave, in the order of their refusal.

    Load pattern: callers request more than the upstreams accept for some seconds and return with what was refused,
    while new requests keep arriving.

    Times must not decrease from one call to the next. Thread safety: none; owned by one thread.
*/
class ReturnSchedule {
public:
    /**
        Returns the time after which a refused request should return, and reserves its units then. A request whose time
        would come too late for its caller reserves nothing.

        @param units           units that the request needs; 0 or more
        @param unitsPerSecond  rate at which requests are served, returned ones included; 0 or more
        @param demand          units per second that callers request, returned requests included
        @param latest          time after which the caller does not return
    */
    Milliseconds reserve(Milliseconds now, double units, double unitsPerSecond, double demand, Milliseconds latest);

private:
    struct Reservation {
        Milliseconds at;
        double units = 0;
    };

    double measureReturned(Milliseconds now);

    std::deque<Reservation> reservations; /**< Sorted by time. */
    double nextFree = 0; /**< Milliseconds; capacity is reserved up to this time. */
    double returned = 0; /**< Units per second that return, as an exponentially decaying average. */
    Milliseconds returnedUpdatedAt;
};

} // namespace papayashelf
