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

ShareLimit computeEqualPart(const ShareLimit& limit, std::size_t index, std::size_t count)
{
    assert(index < count);
    const auto from = static_cast<std::int64_t>(index);
    return partBetween(limit, from, from + 1, static_cast<std::int64_t>(count));
}

std::vector<WorkspaceId> VotedShares::setGovernance(const std::shared_ptr<const Governance>& next)
{
    if (!next || next->revision <= this->revision)
        return {};
    const bool haveRegionsChanged = !this->governance
        || !std::equal(next->regions.begin(), next->regions.end(), this->governance->regions.begin(),
            this->governance->regions.end(),
            [](const auto& left, const auto& right) { return left.first == right.first; });

    std::vector<WorkspaceId> changed;
    for (const auto& [id, share] : this->current) {
        if (next->workspaces.contains(id))
            continue;
        this->earlier[id].push_back({ next->revision, share });
        changed.push_back(id);
    }
    for (const WorkspaceId& id : changed)
        this->current.erase(id);
    for (const auto& [id, workspace] : next->workspaces) {
        if (this->isShareUnchanged(id, workspace, haveRegionsChanged))
            continue;
        VotedShare share = divideOverRegions(workspace, next->regions);
        const auto known = this->current.find(id);
        if (known != this->current.end() && known->second == share)
            continue;
        // A workspace that no earlier revision had binds nobody: those that lack this revision own nothing of it.
        if (known != this->current.end())
            this->earlier[id].push_back({ next->revision, known->second });
        else if (const auto history = this->earlier.find(id); history != this->earlier.end())
            history->second.push_back({ next->revision, std::nullopt });
        this->current[id] = std::move(share);
        changed.push_back(id);
    }
    std::sort(changed.begin(), changed.end());
    this->governance = next;
    this->revision = next->revision;
    this->heldRevisions.insert(this->revision);
    return changed;
}

bool VotedShares::isShareUnchanged(const WorkspaceId& id, const Workspace& workspace, bool haveRegionsChanged) const
{
    if (haveRegionsChanged)
        return false;
    const auto known = this->governance->workspaces.find(id);
    return known != this->governance->workspaces.end() && known->second.tokensPerSecond == workspace.tokensPerSecond
        && known->second.burstTokens == workspace.burstTokens && known->second.residency == workspace.residency
        && known->second.shareWeights == workspace.shareWeights;
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
