#include "shares/owners/VotedShares.h"

#include <algorithm>
#include <cassert>

namespace papayashelf {

namespace {

/** The part of a whole between two points of a scale; parts of neighbouring stretches add up exactly. */
std::int64_t partBetween(std::int64_t whole, std::int64_t from, std::int64_t to, std::int64_t scale)
{
    // Dividing first keeps the product from overflowing and is exact with the remainder added.
    const auto below = [&](std::int64_t point) { return whole / scale * point + whole % scale * point / scale; };
    return below(to) - below(from);
}

ShareLimit partBetween(const ShareLimit& limit, std::int64_t from, std::int64_t to, std::int64_t scale)
{
    return { partBetween(limit.tokensPerSecond, from, to, scale), partBetween(limit.burstTokens, from, to, scale) };
}

std::vector<std::pair<RegionId, std::int64_t>> weighRegions(
    const Workspace& workspace, const std::map<RegionId, Region>& regions)
{
    std::vector<std::pair<RegionId, std::int64_t>> weights;
    for (const auto& [region, unused] : regions) {
        const bool isAllowed = workspace.residency.empty()
            || std::find(workspace.residency.begin(), workspace.residency.end(), region) != workspace.residency.end();
        if (!isAllowed)
            continue;
        const auto weight = workspace.shareWeights.find(region);
        const std::int64_t unweighted = workspace.shareWeights.empty() ? 1 : 0;
        const std::int64_t given
            = weight == workspace.shareWeights.end() ? unweighted : std::max<std::int64_t>(0, weight->second);
        weights.emplace_back(region, given);
    }
    return weights;
}

} // namespace

VotedShare divideOverRegions(const Workspace& workspace, const std::map<RegionId, Region>& regions)
{
    VotedShare share;
    share.whole
        = { std::max<std::int64_t>(0, workspace.tokensPerSecond), std::max<std::int64_t>(0, workspace.burstTokens) };
    const auto weights = weighRegions(workspace, regions);
    std::int64_t total = 0;
    for (const auto& [region, weight] : weights)
        total += weight;
    std::int64_t point = 0;
    for (const auto& [region, weight] : weights) {
        if (weight > 0)
            share.parts[region] = partBetween(share.whole, point, point + weight, total);
        point += weight;
    }
    return share;
}

ShareLimit partOf(const ShareLimit& limit, std::size_t index, std::size_t count)
{
    assert(index < count);
    const auto from = static_cast<std::int64_t>(index);
    return partBetween(limit, from, from + 1, static_cast<std::int64_t>(count));
}

std::vector<WorkspaceId> VotedShares::setGovernance(const std::shared_ptr<const Governance>& governance)
{
    if (!governance || governance->revision <= this->revision)
        return {};
    std::map<WorkspaceId, VotedShare> next;
    for (const auto& [id, workspace] : governance->workspaces)
        next.emplace(id, divideOverRegions(workspace, governance->regions));

    std::vector<WorkspaceId> changed;
    for (const auto& [id, share] : this->current) {
        const auto found = next.find(id);
        if (found != next.end() && found->second == share)
            continue;
        this->earlier[id].push_back({ governance->revision, share });
        changed.push_back(id);
    }
    for (const auto& [id, share] : next) {
        if (this->current.contains(id))
            continue;
        // A workspace that no earlier revision had binds nobody: those that lack this revision own nothing of it.
        if (const auto history = this->earlier.find(id); history != this->earlier.end())
            history->second.push_back({ governance->revision, std::nullopt });
        changed.push_back(id);
    }
    std::sort(changed.begin(), changed.end());
    this->current = std::move(next);
    this->revision = governance->revision;
    this->heldRevisions.insert(this->revision);
    return changed;
}

bool VotedShares::setAdoptedEverywhere(RevisionNumber adopted)
{
    // A VM that skipped this revision doesn't know its limits, so it can't take them as the base.
    if (!this->heldRevisions.contains(adopted))
        return false;
    bool isChanged = !this->baseKnown;
    this->baseKnown = true;
    this->heldRevisions.erase(this->heldRevisions.begin(), this->heldRevisions.find(adopted));
    for (auto history = this->earlier.begin(); history != this->earlier.end();) {
        const std::size_t dropped
            = std::erase_if(history->second, [&](const EarlierShare& share) { return share.until <= adopted; });
        isChanged = isChanged || dropped > 0;
        history = history->second.empty() ? this->earlier.erase(history) : std::next(history);
    }
    return isChanged;
}

const VotedShare* VotedShares::find(const WorkspaceId& workspace) const
{
    const auto found = this->current.find(workspace);
    return found == this->current.end() ? nullptr : &found->second;
}

std::vector<const VotedShare*> VotedShares::getEarlier(const WorkspaceId& workspace) const
{
    std::vector<const VotedShare*> shares;
    const auto history = this->earlier.find(workspace);
    if (history == this->earlier.end())
        return shares;
    for (const EarlierShare& share : history->second)
        shares.push_back(share.share ? &*share.share : nullptr);
    return shares;
}

} // namespace papayashelf
