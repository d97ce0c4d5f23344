#include "configuration/store/StoreBackoff.h"

#include <algorithm>

namespace papayashelf {

Milliseconds StoreBackoff::fail(std::mt19937_64& random)
{
    constexpr int mostDoublings = 16;
    const Milliseconds doubled = this->shortest * (std::int64_t { 1 } << std::min(this->failures, mostDoublings));
    const std::int64_t whole = std::min(doubled, this->longest).count();
    ++this->failures;
    return Milliseconds(std::uniform_int_distribution<std::int64_t>(whole / 2, whole)(random));
}

bool StoreBackoff::succeed()
{
    const bool wasFailing = this->failures > 0;
    this->failures = 0;
    return wasFailing;
}

} // namespace papayashelf
