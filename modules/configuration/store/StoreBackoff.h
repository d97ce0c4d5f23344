#pragma once

#include "configuration/ConfigurationSettings.h"
#include "foundation/time/Clock.h"
#include <random>

namespace papayashelf {

/** Spaces repeated calls to a store that fails, with jitter. Thread safety: none; owned by one thread. */
class StoreBackoff {
public:
    explicit StoreBackoff(const ConfigurationSettings& settings)
        : shortest(settings.shortestBackoff)
        , longest(settings.longestBackoff)
    {
    }

    /** Notes a failure. @returns how long to wait: half to the whole of a time that doubles with each failure */
    Milliseconds fail(std::mt19937_64& random);

    /** Notes a success. @returns whether it ended a row of failures */
    bool succeed();

    /** Whether the last call failed. */
    bool isFailing() const { return this->failures > 0; }

private:
    Milliseconds shortest;
    Milliseconds longest;
    int failures = 0;
};

} // namespace papayashelf
