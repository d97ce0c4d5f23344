#include "shares/ledger/ShareOwnership.h"

#include <algorithm>

namespace papayashelf {

ShareOwnership::ShareOwnership(ShareHolder self, RegionId region, const ShareSettings& settings)
    : self(std::move(self))
    , region(std::move(region))
    , settings(settings)
{
}

void ShareOwnership::adoptEpoch(Milliseconds now, const ShareEpoch& epoch, const VotedShares& voted)
{
    if (epoch.epoch <= this->current.epoch)
        return;
    this->current = epoch;
    this->ring = OwnerRing(epoch.holders);
    this->previousRing = OwnerRing(epoch.previousHolders);
    std::erase_if(this->adopted, [&](const auto& entry) { return !this->ring.contains(entry.first); });
    this->unsettled.clear();
    this->settling.clear();
    for (const auto& [workspace, share] : voted.getAll())
        this->unsettled.insert(this->unsettled.end(), workspace);
    this->refreshAll(now, voted);
    std::erase_if(this->unsettled, [&](const WorkspaceId& workspace) { return !this->owned.contains(workspace); });
    this->checkHandovers(now, voted);
}

void ShareOwnership::setAdopted(
    Milliseconds now, const ShareHolder& holder, std::uint64_t epoch, const VotedShares& voted)
{
    std::uint64_t& known = this->adopted[holder];
    if (epoch <= known)
        return;
    known = epoch;
    if (known >= this->current.epoch)
        this->checkHandovers(now, voted);
}

void ShareOwnership::refresh(Milliseconds now, const std::vector<WorkspaceId>& workspaces, const VotedShares& voted)
{
    for (const WorkspaceId& workspace : workspaces)
        this->refreshOne(now, workspace, voted);
    this->checkHandovers(now, voted);
}

void ShareOwnership::refreshAll(Milliseconds now, const VotedShares& voted)
{
    std::vector<WorkspaceId> gone;
    for (const auto& [workspace, share] : this->owned) {
        if (!voted.find(workspace))
            gone.push_back(workspace);
    }
    this->refresh(now, gone, voted);
    for (const auto& [workspace, share] : voted.getAll())
        this->refreshOne(now, workspace, voted);
}

void ShareOwnership::tick(Milliseconds now, const VotedShares& voted)
{
    std::vector<WorkspaceId> due;
    for (const auto& [workspace, at] : this->settling) {
        if (at <= now)
            due.push_back(workspace);
    }
    for (const WorkspaceId& workspace : due)
        this->settling.erase(workspace);
    for (const WorkspaceId& workspace : due)
        this->refreshOne(now, workspace, voted);
}

void ShareOwnership::release()
{
    this->isReleased = true;
    this->owned.clear();
    this->unsettled.clear();
    this->settling.clear();
}

TokenBucket* ShareOwnership::find(const WorkspaceId& workspace)
{
    const auto found = this->owned.find(workspace);
    return found == this->owned.end() ? nullptr : &found->second.bucket;
}

TokenBucket* ShareOwnership::findOwnedSince(const WorkspaceId& workspace, std::uint64_t epoch)
{
    const auto found = this->owned.find(workspace);
    const bool isSame = found != this->owned.end() && found->second.sinceEpoch <= epoch;
    return isSame ? &found->second.bucket : nullptr;
}

std::vector<ShareHolder> ShareOwnership::getAwaited() const
{
    std::vector<ShareHolder> awaited;
    if (this->unsettled.empty())
        return awaited;
    for (const ShareHolder& holder : this->previousRing.getHolders()) {
        const auto known = this->adopted.find(holder);
        const bool hasAdopted = known != this->adopted.end() && known->second >= this->current.epoch;
        if (holder != this->self && this->ring.contains(holder) && !hasAdopted)
            awaited.push_back(holder);
    }
    return awaited;
}

Milliseconds ShareOwnership::getNextDeadline() const
{
    Milliseconds next = Milliseconds::never();
    for (const auto& [workspace, at] : this->settling)
        next = std::min(next, at);
    return next;
}

std::size_t ShareOwnership::getBytes() const
{
    constexpr std::size_t treeNodeBytes = 32;
    std::size_t bytes = 0;
    for (const auto& [workspace, share] : this->owned) {
        bytes += treeNodeBytes + sizeof(WorkspaceId) + workspace.string().capacity() + sizeof(share.sinceEpoch);
        bytes += share.bucket.getBytes();
    }
    return bytes;
}

void ShareOwnership::refreshOne(Milliseconds now, const WorkspaceId& workspace, const VotedShares& voted)
{
    const std::optional<ShareLimit> limit = this->computeLimit(workspace, voted);
    if (!limit) {
        this->owned.erase(workspace);
        this->unsettled.erase(workspace);
        this->settling.erase(workspace);
        return;
    }
    auto found = this->owned.find(workspace);
    if (found == this->owned.end()) {
        OwnedShare share { TokenBucket(now, this->settings.occupiedFor()), this->current.epoch };
        found = this->owned.emplace(workspace, std::move(share)).first;
        // New to this VM by a change of revision or epoch: others may have owned it until now.
        this->unsettled.insert(workspace);
        found->second.bucket.setLimit(now, *this->computeLimit(workspace, voted));
        return;
    }
    if (!(found->second.bucket.getLimit() == *limit))
        found->second.bucket.setLimit(now, *limit);
}

std::optional<ShareLimit> ShareOwnership::computeLimit(const WorkspaceId& workspace, const VotedShares& voted) const
{
    const VotedShare* share = voted.find(workspace);
    if (!share || this->isReleased || !this->ring.contains(this->self))
        return std::nullopt;
    const auto part = share->parts.find(this->region);
    if (part == share->parts.end() || !this->ring.getPart(workspace, this->self, part->second, this->settings))
        return std::nullopt;
    if (!voted.isBaseKnown())
        return ShareLimit {};
    ShareLimit limit = this->limitUnder(workspace, share);
    for (const VotedShare* earlier : voted.getEarlier(workspace))
        limit = lowerOf(limit, this->limitUnder(workspace, earlier));
    return limit;
}

ShareLimit ShareOwnership::limitUnder(const WorkspaceId& workspace, const VotedShare* share) const
{
    const auto part = share ? share->parts.find(this->region) : std::map<RegionId, ShareLimit>::const_iterator {};
    if (!share || part == share->parts.end())
        return {};
    const auto now = this->ring.getPart(workspace, this->self, part->second, this->settings);
    if (!now)
        return {};
    if (!this->unsettled.contains(workspace) && !this->settling.contains(workspace))
        return *now;
    const auto before = this->previousRing.getPart(workspace, this->self, part->second, this->settings);
    return before ? lowerOf(*now, *before) : ShareLimit {};
}

bool ShareOwnership::isHandedOver(const WorkspaceId& workspace, const VotedShares& voted) const
{
    std::vector<const VotedShare*> shares = voted.getEarlier(workspace);
    shares.push_back(voted.find(workspace));
    std::size_t count = 0;
    for (const VotedShare* share : shares) {
        const bool hasPart = share && share->parts.contains(this->region);
        if (hasPart)
            count = std::max(count, this->previousRing.countOwners(share->parts.at(this->region), this->settings));
    }
    for (const ShareHolder& owner : this->previousRing.getOwners(workspace, count)) {
        if (owner == this->self || !this->ring.contains(owner))
            continue; // No longer a holder: proven dead, or it has released what it owned.
        const auto known = this->adopted.find(owner);
        if (known == this->adopted.end() || known->second < this->current.epoch)
            return false;
    }
    return true;
}

void ShareOwnership::checkHandovers(Milliseconds now, const VotedShares& voted)
{
    for (auto workspace = this->unsettled.begin(); workspace != this->unsettled.end();) {
        if (!this->isHandedOver(*workspace, voted)) {
            ++workspace;
            continue;
        }
        // What the earlier owners lent just before they dropped it may be spent for this long.
        this->settling[*workspace] = now + this->settings.occupiedFor() + Milliseconds(1);
        workspace = this->unsettled.erase(workspace);
    }
}

} // namespace papayashelf
