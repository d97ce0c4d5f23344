#include "configuration/store/StoreBackoff.h"

#include <algorithm>

namespace papayashelf {

Milliseconds StoreBackoff::recordFailure(std::mt19937_64& random)
{
    constexpr int maximumDoublings = 16;
    const Milliseconds doubled
        = this->initialDelay * (std::int64_t { 1 } << std::min(this->failures, maximumDoublings));
    const std::int64_t fullDelay = std::min(doubled, this->maximumDelay).count();
    ++this->failures;
    return Milliseconds(std::uniform_int_distribution<std::int64_t>(fullDelay / 2, fullDelay)(random));
}

bool StoreBackoff::recordSuccess()
{
    const bool wasFailing = this->failures > 0;
    this->failures = 0;
    return wasFailing;
}

} // namespace papayashelf
