#include "shares/ledger/ShareOwnership.h"

#include <algorithm>

namespace papayashelf {

ShareOwnership::ShareOwnership(ShareHolder self, RegionId region, const ShareSettings& settings)
    : self(std::move(self))
    , region(std::move(region))
    , settings(settings)
{
}

void ShareOwnership::adoptEpoch(Milliseconds now, const ShareEpoch& epoch, const WorkspaceShares& workspaceShares)
{
    if (epoch.epoch <= this->current.epoch)
        return;
    this->current = epoch;
    this->selector = OwnerSelector(epoch.holders);
    this->previousSelector = OwnerSelector(epoch.previousHolders);
    std::erase_if(this->adoptedEpochs, [&](const auto& entry) { return !this->selector.contains(entry.first); });
    this->awaitingHandover.clear();
    this->drainingUntil.clear();
    for (const auto& [workspace, share] : workspaceShares.getAll())
        this->awaitingHandover.insert(this->awaitingHandover.end(), workspace);
    this->refreshAll(now, workspaceShares);
    std::erase_if(
        this->awaitingHandover, [&](const WorkspaceId& workspace) { return !this->owned.contains(workspace); });
    this->checkHandovers(now, workspaceShares);
}

void ShareOwnership::setAdopted(
    Milliseconds now, const ShareHolder& holder, std::uint64_t epoch, const WorkspaceShares& workspaceShares)
{
    std::uint64_t& known = this->adoptedEpochs[holder];
    if (epoch <= known)
        return;
    known = epoch;
    if (known >= this->current.epoch)
        this->checkHandovers(now, workspaceShares);
}

void ShareOwnership::refresh(
    Milliseconds now, const std::vector<WorkspaceId>& workspaces, const WorkspaceShares& workspaceShares)
{
    for (const WorkspaceId& workspace : workspaces)
        this->refreshWorkspace(now, workspace, workspaceShares);
    this->checkHandovers(now, workspaceShares);
}

void ShareOwnership::refreshAll(Milliseconds now, const WorkspaceShares& workspaceShares)
{
    std::vector<WorkspaceId> removed;
    for (const auto& [workspace, share] : this->owned) {
        if (!workspaceShares.find(workspace))
            removed.push_back(workspace);
    }
    this->refresh(now, removed, workspaceShares);
    for (const auto& [workspace, share] : workspaceShares.getAll())
        this->refreshWorkspace(now, workspace, workspaceShares);
}

void ShareOwnership::tick(Milliseconds now, const WorkspaceShares& workspaceShares)
{
    std::vector<WorkspaceId> due;
    for (const auto& [workspace, at] : this->drainingUntil) {
        if (at <= now)
            due.push_back(workspace);
    }
    for (const WorkspaceId& workspace : due)
        this->drainingUntil.erase(workspace);
    for (const WorkspaceId& workspace : due)
        this->refreshWorkspace(now, workspace, workspaceShares);
}

void ShareOwnership::release()
{
    this->isReleased = true;
    this->owned.clear();
    this->awaitingHandover.clear();
    this->drainingUntil.clear();
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

std::vector<ShareHolder> ShareOwnership::getAwaitedHolders() const
{
    std::vector<ShareHolder> awaited;
    if (this->awaitingHandover.empty())
        return awaited;
    for (const ShareHolder& holder : this->previousSelector.getHolders()) {
        const auto known = this->adoptedEpochs.find(holder);
        const bool hasAdopted = known != this->adoptedEpochs.end() && known->second >= this->current.epoch;
        if (holder != this->self && this->selector.contains(holder) && !hasAdopted)
            awaited.push_back(holder);
    }
    return awaited;
}

Milliseconds ShareOwnership::getNextDeadline() const
{
    Milliseconds next = Milliseconds::never();
    for (const auto& [workspace, at] : this->drainingUntil)
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

void ShareOwnership::refreshWorkspace(
    Milliseconds now, const WorkspaceId& workspace, const WorkspaceShares& workspaceShares)
{
    const std::optional<ShareLimit> limit = this->computeLimit(workspace, workspaceShares);
    if (!limit) {
        this->owned.erase(workspace);
        this->awaitingHandover.erase(workspace);
        this->drainingUntil.erase(workspace);
        return;
    }
    auto found = this->owned.find(workspace);
    if (found == this->owned.end()) {
        OwnedShare share { TokenBucket(now, this->settings.getLoanLifetime()), this->current.epoch };
        found = this->owned.emplace(workspace, std::move(share)).first;
        // Other VMs may have owned the workspace until this change of revision or epoch.
        this->awaitingHandover.insert(workspace);
        found->second.bucket.setLimit(now, *this->computeLimit(workspace, workspaceShares));
        return;
    }
    if (!(found->second.bucket.getLimit() == *limit))
        found->second.bucket.setLimit(now, *limit);
}

std::optional<ShareLimit> ShareOwnership::computeLimit(
    const WorkspaceId& workspace, const WorkspaceShares& workspaceShares) const
{
    const WorkspaceShare* share = workspaceShares.find(workspace);
    if (!share || this->isReleased || !this->selector.contains(this->self))
        return std::nullopt;
    const auto part = share->parts.find(this->region);
    if (part == share->parts.end() || !this->selector.getPart(workspace, this->self, part->second, this->settings))
        return std::nullopt;
    if (!workspaceShares.isBaseKnown())
        return ShareLimit {};
    ShareLimit limit = this->computeLimitUnder(workspace, share);
    for (const WorkspaceShare* earlier : workspaceShares.getEarlier(workspace))
        limit = elementwiseMinimum(limit, this->computeLimitUnder(workspace, earlier));
    return limit;
}

ShareLimit ShareOwnership::computeLimitUnder(const WorkspaceId& workspace, const WorkspaceShare* share) const
{
    const auto part = share ? share->parts.find(this->region) : std::map<RegionId, ShareLimit>::const_iterator {};
    if (!share || part == share->parts.end())
        return {};
    const auto currentPart = this->selector.getPart(workspace, this->self, part->second, this->settings);
    if (!currentPart)
        return {};
    if (!this->awaitingHandover.contains(workspace) && !this->drainingUntil.contains(workspace))
        return *currentPart;
    const auto previousPart = this->previousSelector.getPart(workspace, this->self, part->second, this->settings);
    return previousPart ? elementwiseMinimum(*currentPart, *previousPart) : ShareLimit {};
}

bool ShareOwnership::isHandedOver(const WorkspaceId& workspace, const WorkspaceShares& workspaceShares) const
{
    std::vector<const WorkspaceShare*> shares = workspaceShares.getEarlier(workspace);
    shares.push_back(workspaceShares.find(workspace));
    std::size_t count = 0;
    for (const WorkspaceShare* share : shares) {
        const bool hasPart = share && share->parts.contains(this->region);
        if (hasPart)
            count = std::max(count, this->previousSelector.countOwners(share->parts.at(this->region), this->settings));
    }
    for (const ShareHolder& owner : this->previousSelector.getOwners(workspace, count)) {
        if (owner == this->self || !this->selector.contains(owner))
            continue; // The owner is no longer a holder, so it is proven dead or has released its buckets.
        const auto known = this->adoptedEpochs.find(owner);
        if (known == this->adoptedEpochs.end() || known->second < this->current.epoch)
            return false;
    }
    return true;
}

void ShareOwnership::checkHandovers(Milliseconds now, const WorkspaceShares& workspaceShares)
{
    for (auto workspace = this->awaitingHandover.begin(); workspace != this->awaitingHandover.end();) {
        if (!this->isHandedOver(*workspace, workspaceShares)) {
            ++workspace;
            continue;
        }
        // Borrowers may spend loans of the previous owners for this long after the bucket was dropped.
        this->drainingUntil[*workspace] = now + this->settings.getLoanLifetime() + Milliseconds(1);
        workspace = this->awaitingHandover.erase(workspace);
    }
}

} // namespace papayashelf
