#pragma once

#include "dispatch/settings/DispatchSettings.h"
#include <algorithm>
#include <random>

namespace papayashelf {

/**
    A random wait before the next attempt, between half and all of an upper bound. The bound doubles with each failed
    attempt up to longestBackoff.
*/
inline Milliseconds drawBackoff(int failedAttempts, const DispatchSettings& settings, std::mt19937_64& generator)
{
    constexpr int maxDoublings = 10;
    const std::int64_t factor = std::int64_t { 1 } << std::clamp(failedAttempts - 1, 0, maxDoublings);
    const Milliseconds longest = std::min(settings.firstBackoff * factor, settings.longestBackoff);
    std::uniform_int_distribution<std::int64_t> jitter(longest.count() / 2, longest.count());
    return Milliseconds(jitter(generator));
}

} // namespace papayashelf
