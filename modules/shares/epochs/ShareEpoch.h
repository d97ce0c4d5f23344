#pragma once

#include "foundation/identity/Identifier.h"
#include "foundation/outcomes/Outcome.h"
#include <cstdint>
#include <limits>
#include <string>
#include <vector>

namespace papayashelf {

/** One life of a VM that may own shares. */
struct ShareHolder {
    VmId vm;
    Incarnation incarnation = 0;

    auto operator<=>(const ShareHolder&) const = default;
    bool operator==(const ShareHolder&) const = default;
};

/** What a VM that has given up everything it owned reports as its epoch: it counts as having adopted every one. */
constexpr std::uint64_t releasedShareEpoch = std::numeric_limits<std::uint64_t>::max();

/**
    Which VMs of one region own its part of the shares, from one change to the next.

    A holder of the previous epoch that is no holder of this one is proven dead or has released what it owned.
*/
struct ShareEpoch {
    RegionId region;
    std::uint64_t epoch = 0; /**< Counts from 1; a larger one always wins. */
    std::vector<ShareHolder> holders; /**< Sorted. */
    std::vector<ShareHolder> previousHolders; /**< The holders of the epoch before. Sorted. */

    bool operator==(const ShareEpoch&) const = default;
};

/** How far the epochs of one region have come. */
struct ShareEpochNumber {
    RegionId region;
    std::uint64_t epoch = 0;

    bool operator==(const ShareEpochNumber&) const = default;
};

/** The key under which the store keeps a region's share epoch. */
std::string shareEpochKey(const RegionId& region);

/** The value that the store keeps: JSON with a schema version. */
std::string writeShareEpoch(const ShareEpoch& epoch);

/** Reads a stored value. Errors: UnknownSchemaVersion, Damaged. */
Outcome<ShareEpoch> readShareEpoch(const std::string& value);

} // namespace papayashelf
