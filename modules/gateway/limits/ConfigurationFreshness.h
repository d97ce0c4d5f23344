#pragma once

#include "foundation/time/Clock.h"
#include <algorithm>

namespace papayashelf {

/**
    Determines whether the configuration is recent enough to trust API keys.

    A withdrawn key must stop working within a bounded time at every VM, even at one that has lost the store. A VM
    therefore trusts keys only while it is certain that it would have learned of a withdrawal. The age counts from the
    time at which the last read that confirmed the configuration was *sent*, not from its answer.

    Thread safety: none; owned by one thread.
*/
class ConfigurationFreshness {
public:
    /**
        Interval at which a VM that others rely on confirms its view with the store. A confirmation comes from a waiting
        read, so it is already as old as that wait when it arrives.
    */
    static constexpr Milliseconds confirmationInterval { 1'000 };

    /** @param bound  maximum time from the acknowledgement of a withdrawal until requests with the key no longer run */
    explicit ConfigurationFreshness(Milliseconds bound)
        : maximumAge(bound - margin)
    {
    }

    /** Records that a store read sent at the given time returned every change made before it. */
    void noteConfirmation(Milliseconds sentAt) { this->confirmedAt = std::max(this->confirmedAt, sentAt); }

    /** Returns true while keys may be trusted. */
    bool isFresh(Milliseconds now) const { return this->getAge(now) <= this->maximumAge; }

    /** Returns true if a read that was sent after the given time confirmed the view. */
    bool isConfirmedAfter(Milliseconds time) const { return this->confirmedAt > time; }

    /** Returns the time since the last confirmation; a very long time before the first one. */
    Milliseconds getAge(Milliseconds now) const { return now - this->confirmedAt; }

private:
    /** The bound ends when a caller sends its request, which is before this VM checks the key. */
    static constexpr Milliseconds margin { 250 };

    Milliseconds maximumAge;
    Milliseconds confirmedAt = Milliseconds(0) - Milliseconds::never();
};

} // namespace papayashelf
