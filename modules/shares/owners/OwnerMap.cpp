#include "shares/owners/OwnerMap.h"

#include "foundation/hashing/StableHash.h"
#include "shares/owners/WorkspaceShares.h"
#include <algorithm>
#include <cassert>

namespace papayashelf {

OwnerSelector::OwnerSelector(std::vector<ShareHolder> given)
    : holders(std::move(given))
{
    std::sort(this->holders.begin(), this->holders.end());
    // The hash ignores the incarnation, so that a restarted VM owns the same workspaces as before.
    for (const ShareHolder& holder : this->holders)
        this->hashes.push_back(stableHash(holder.vm.string()));
}

std::size_t OwnerSelector::countOwners(const ShareLimit& part, const ShareSettings& settings) const
{
    const std::int64_t maximumPerOwner = std::max<std::int64_t>(1, settings.tokensPerSecondPerOwner);
    const auto wanted = static_cast<std::size_t>((part.tokensPerSecond + maximumPerOwner - 1) / maximumPerOwner);
    return std::min(std::max({ wanted, settings.minimumOwners, std::size_t { 1 } }), this->holders.size());
}

std::vector<ShareHolder> OwnerSelector::getOwners(const WorkspaceId& workspace, std::size_t count) const
{
    assert(count <= this->holders.size());
    std::vector<ShareHolder> owners;
    owners.reserve(count);
    for (const std::size_t index : rendezvousOrder(stableHash(workspace.string()), this->hashes, count))
        owners.push_back(this->holders[index]);
    return owners;
}

std::optional<ShareLimit> OwnerSelector::getPart(const WorkspaceId& workspace, const ShareHolder& holder,
    const ShareLimit& part, const ShareSettings& settings) const
{
    const std::size_t count = this->countOwners(part, settings);
    const std::optional<std::size_t> own = this->findIndex(holder);
    if (!own)
        return std::nullopt;
    // Ranks holders as getOwners does. The loop stops as soon as enough holders have a better score.
    const std::uint64_t key = stableHash(workspace.string());
    const auto score = [&](std::size_t index) { return std::pair(combineHashes(key, this->hashes[index]), index); };
    const auto ownScore = score(*own);
    std::size_t rank = 0;
    for (std::size_t index = 0; index < this->hashes.size() && rank < count; ++index)
        rank += score(index) > ownScore ? 1 : 0;
    if (rank >= count)
        return std::nullopt;
    return computeEqualPart(part, rank, count);
}

std::optional<std::size_t> OwnerSelector::findIndex(const ShareHolder& holder) const
{
    const auto found = std::lower_bound(this->holders.begin(), this->holders.end(), holder);
    if (found == this->holders.end() || *found != holder)
        return std::nullopt;
    return static_cast<std::size_t>(found - this->holders.begin());
}

bool OwnerMap::setEpoch(const ShareEpoch& epoch)
{
    const auto found = this->entries.find(epoch.region);
    if (found != this->entries.end() && found->second.epoch.epoch >= epoch.epoch)
        return false;
    this->entries[epoch.region] = { epoch, OwnerSelector(epoch.holders) };
    return true;
}

const OwnerMap::Entry* OwnerMap::find(const RegionId& region) const
{
    const auto found = this->entries.find(region);
    return found == this->entries.end() ? nullptr : &found->second;
}

} // namespace papayashelf
