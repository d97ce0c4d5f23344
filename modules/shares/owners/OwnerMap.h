#pragma once

#include "shares/bucket/TokenBucket.h"
#include "shares/epochs/ShareEpoch.h"
#include "shares/settings/ShareSettings.h"
#include <map>
#include <optional>
#include <vector>

namespace papayashelf {

/**
    Which holders of a list own a workspace's part of one region, by rendezvous hashing: every VM computes the same.

    Thread safety: none; owned by one thread.
*/
class OwnerRing {
public:
    OwnerRing() = default;
    explicit OwnerRing(std::vector<ShareHolder> holders);

    /** How many owners a region's part is split over. */
    std::size_t countOwners(const ShareLimit& part, const ShareSettings& settings) const;

    /** The owners of a workspace, first one first. Precondition: count <= number of holders. */
    std::vector<ShareHolder> getOwners(const WorkspaceId& workspace, std::size_t count) const;

    /** This holder's part of a region's part; nothing if it owns none. */
    std::optional<ShareLimit> getPart(const WorkspaceId& workspace, const ShareHolder& holder, const ShareLimit& part,
        const ShareSettings& settings) const;

    bool contains(const ShareHolder& holder) const { return this->findIndex(holder).has_value(); }

    const std::vector<ShareHolder>& getHolders() const { return this->holders; }

private:
    std::optional<std::size_t> findIndex(const ShareHolder& holder) const;

    std::vector<ShareHolder> holders; // Sorted.
    std::vector<std::uint64_t> hashes;
};

/** The newest known epoch of every region, with its owners. Thread safety: none; owned by one thread. */
class OwnerMap {
public:
    /** One region's epoch, ready for use. */
    struct Entry {
        ShareEpoch epoch;
        OwnerRing ring;
    };

    /** Takes a newer epoch; returns false, changing nothing, if it is not newer. */
    bool setEpoch(const ShareEpoch& epoch);

    /** The region's newest epoch, or null. */
    const Entry* find(const RegionId& region) const;

    const std::map<RegionId, Entry>& getAll() const { return this->entries; }

private:
    std::map<RegionId, Entry> entries;
};

} // namespace papayashelf
