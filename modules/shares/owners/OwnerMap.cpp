#include "shares/owners/OwnerMap.h"

#include "foundation/hashing/StableHash.h"
#include "shares/owners/VotedShares.h"
#include <algorithm>
#include <cassert>

namespace papayashelf {

OwnerRing::OwnerRing(std::vector<ShareHolder> given)
    : holders(std::move(given))
{
    std::sort(this->holders.begin(), this->holders.end());
    // The hash leaves out the incarnation, so that a restarted VM takes the place that it had.
    for (const ShareHolder& holder : this->holders)
        this->hashes.push_back(stableHash(holder.vm.string()));
}

std::size_t OwnerRing::countOwners(const ShareLimit& part, const ShareSettings& settings) const
{
    const std::int64_t most = std::max<std::int64_t>(1, settings.tokensPerSecondPerOwner);
    const auto wanted = static_cast<std::size_t>((part.tokensPerSecond + most - 1) / most);
    return std::min(std::max({ wanted, settings.minimumOwners, std::size_t { 1 } }), this->holders.size());
}

std::vector<ShareHolder> OwnerRing::getOwners(const WorkspaceId& workspace, std::size_t count) const
{
    assert(count <= this->holders.size());
    std::vector<ShareHolder> owners;
    owners.reserve(count);
    for (const std::size_t index : rendezvousOrder(stableHash(workspace.string()), this->hashes, count))
        owners.push_back(this->holders[index]);
    return owners;
}

std::optional<ShareLimit> OwnerRing::getPart(const WorkspaceId& workspace, const ShareHolder& holder,
    const ShareLimit& part, const ShareSettings& settings) const
{
    const std::size_t count = this->countOwners(part, settings);
    const std::vector<ShareHolder> owners = this->getOwners(workspace, count);
    const auto place = std::find(owners.begin(), owners.end(), holder);
    if (place == owners.end())
        return std::nullopt;
    return partOf(part, static_cast<std::size_t>(place - owners.begin()), count);
}

bool OwnerRing::contains(const ShareHolder& holder) const
{
    return std::binary_search(this->holders.begin(), this->holders.end(), holder);
}

bool OwnerMap::setEpoch(const ShareEpoch& epoch)
{
    const auto found = this->entries.find(epoch.region);
    if (found != this->entries.end() && found->second.epoch.epoch >= epoch.epoch)
        return false;
    this->entries[epoch.region] = { epoch, OwnerRing(epoch.holders) };
    return true;
}

const OwnerMap::Entry* OwnerMap::find(const RegionId& region) const
{
    const auto found = this->entries.find(region);
    return found == this->entries.end() ? nullptr : &found->second;
}

} // namespace papayashelf
