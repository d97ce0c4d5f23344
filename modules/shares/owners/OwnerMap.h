#pragma once

#include "shares/bucket/TokenBucket.h"
#include "shares/epochs/ShareEpoch.h"
#include "shares/settings/ShareSettings.h"
#include <map>
#include <optional>
#include <vector>

namespace papayashelf {

/**
    Selects the owners of each workspace among the holders of one region, by rendezvous hashing.

    Every VM computes the same owners from the same holders.

    Thread safety: none; owned by one thread.
*/
class OwnerSelector {
public:
    OwnerSelector() = default;
    /** Accepts the holders in any order. */
    explicit OwnerSelector(std::vector<ShareHolder> holders);

    /** Returns how many owners a region's part of a workspace is split over. */
    std::size_t countOwners(const ShareLimit& part, const ShareSettings& settings) const;

    /** Returns the owners of a workspace, best rank first. Precondition: count <= number of holders. */
    std::vector<ShareHolder> getOwners(const WorkspaceId& workspace, std::size_t count) const;

    /** Returns the holder's part of a region's part; nullopt if the holder is not an owner. */
    std::optional<ShareLimit> getPart(const WorkspaceId& workspace, const ShareHolder& holder, const ShareLimit& part,
        const ShareSettings& settings) const;

    /** Returns true if this incarnation of the VM is a holder. */
    bool contains(const ShareHolder& holder) const { return this->findIndex(holder).has_value(); }

    /** Returns the holders, sorted. */
    const std::vector<ShareHolder>& getHolders() const { return this->holders; }

private:
    std::optional<std::size_t> findIndex(const ShareHolder& holder) const;

    std::vector<ShareHolder> holders; // Sorted.
    std::vector<std::uint64_t> hashes;
};

/** Holds the newest known epoch of each region. Thread safety: none; owned by one thread. */
class OwnerMap {
public:
    /** The epoch of one region and the selector over its holders. */
    struct Entry {
        ShareEpoch epoch;
        OwnerSelector selector;
    };

    /** Stores an epoch if it is newer than the known one of its region; otherwise returns false. */
    bool setEpoch(const ShareEpoch& epoch);

    /** Returns the region's newest epoch, or null if none is known. */
    const Entry* find(const RegionId& region) const;

    /** Returns the newest epoch of every region that has one. */
    const std::map<RegionId, Entry>& getAll() const { return this->entries; }

private:
    std::map<RegionId, Entry> entries;
};

} // namespace papayashelf
