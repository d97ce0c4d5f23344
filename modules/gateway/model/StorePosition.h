#pragma once

#include <compare>
#include <cstdint>

namespace papayashelf {

/**
    A point in the sequence of the store's changes.

    A store that comes back from an older copy gives revisions out again, in a new era. Every position of a later era is
    after every position of an earlier one.
*/
struct StorePosition {
    std::int64_t era = 0; /**< Rises by one with each restoration; 0 if the store states none. */
    std::int64_t revision = 0;

    auto operator<=>(const StorePosition&) const = default;
};

} // namespace papayashelf
