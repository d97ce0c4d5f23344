#pragma once

#include "foundation/identity/Identifier.h"
#include "foundation/outcomes/Outcome.h"
#include <cstdint>
#include <limits>
#include <string>
#include <vector>

namespace papayashelf {

/** One incarnation of a VM that may own shares. */
struct ShareHolder {
    VmId vm;
    Incarnation incarnation = 0;

    auto operator<=>(const ShareHolder&) const = default;
    bool operator==(const ShareHolder&) const = default;
};

/** The epoch that a VM reports after releasing everything it owned. It counts as having adopted every epoch. */
constexpr std::uint64_t releasedShareEpoch = std::numeric_limits<std::uint64_t>::max();

/**
    The VMs that may own a region's part of the shares, until the next epoch replaces the list.

    A holder of the previous epoch that is not in this one is proven dead or has released what it owned.
*/
struct ShareEpoch {
    RegionId region;
    std::uint64_t epoch = 0; /**< Starts at 1. A larger number supersedes a smaller one. */
    std::vector<ShareHolder> holders; /**< Sorted. */
    std::vector<ShareHolder> previousHolders; /**< The holders of the previous epoch. Sorted. */

    bool operator==(const ShareEpoch&) const = default;
};

/** The number of the newest known epoch of a region. */
struct ShareEpochNumber {
    RegionId region;
    std::uint64_t epoch = 0;

    bool operator==(const ShareEpochNumber&) const = default;
};

/** Returns the store key of a region's share epoch. */
std::string shareEpochKey(const RegionId& region);

/** Serializes an epoch for the store as JSON with a schema version. */
std::string writeShareEpoch(const ShareEpoch& epoch);

/** Parses an epoch that writeShareEpoch wrote. Errors: UnknownSchemaVersion, Damaged. */
Outcome<ShareEpoch> readShareEpoch(const std::string& value);

} // namespace papayashelf
