#pragma once

#include "foundation/time/Clock.h"
#include <algorithm>

namespace papayashelf {

/**
    Tells whether the configuration at hand is known to be recent enough to trust keys with.

    A key that is withdrawn must stop within a bound at every VM, also at one that has lost the store. So a VM trusts
    keys only as long as it can prove that it would know of a withdrawal: the age counts from the moment at which the
    last read that proved the configuration current was *sent*.

    Thread safety: none; owned by one thread.
*/
class ConfigurationFreshness {
public:
    /** How often a VM that others rely on proves its view. At each proof it is as old as the wait that brought it. */
    static constexpr Milliseconds confirmationInterval { 1'000 };

    /** @param bound  from a withdrawal's acknowledgement until the key must run nothing */
    explicit ConfigurationFreshness(Milliseconds bound)
        : maximumAge(bound - margin)
    {
    }

    /** A read that was sent at the moment has shown every change made until then. */
    void noteConfirmation(Milliseconds sentAt) { this->confirmedAt = std::max(this->confirmedAt, sentAt); }

    /** True while keys may be trusted. */
    bool isFresh(Milliseconds now) const { return this->getAge(now) <= this->maximumAge; }

    /** Time since the last proof; very long before the first. */
    Milliseconds getAge(Milliseconds now) const { return now - this->confirmedAt; }

private:
    /** The bound counts to the moment at which a caller sent its request, which is before the check. */
    static constexpr Milliseconds margin { 250 };

    Milliseconds maximumAge;
    Milliseconds confirmedAt = Milliseconds(0) - Milliseconds::never();
};

} // namespace papayashelf
