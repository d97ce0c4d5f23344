#pragma once

#include "configuration/ConfigurationSettings.h"
#include "foundation/time/Clock.h"
#include <random>

namespace papayashelf {

/** Exponential backoff with jitter for calls to a failing store. Thread safety: none; owned by one thread. */
class StoreBackoff {
public:
    explicit StoreBackoff(const ConfigurationSettings& settings)
        : initialDelay(settings.initialBackoff)
        , maximumDelay(settings.maximumBackoff)
    {
    }

    /** Records a failed call. @returns a random delay from half to all of a time that doubles with each failure */
    Milliseconds recordFailure(std::mt19937_64& random);

    /** Records a successful call. @returns whether the previous call had failed */
    bool recordSuccess();

    /** Returns whether the last call failed. */
    bool isFailing() const { return this->failures > 0; }

private:
    Milliseconds initialDelay;
    Milliseconds maximumDelay;
    int failures = 0;
};

} // namespace papayashelf
