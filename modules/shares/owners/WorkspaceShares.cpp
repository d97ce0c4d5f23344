#include "shares/owners/WorkspaceShares.h"

#include <algorithm>
#include <cassert>

namespace papayashelf {

namespace {

/** Returns the part of whole from offset from to offset to on a scale. Parts of adjacent ranges add up exactly. */
std::int64_t computePartBetween(std::int64_t whole, std::int64_t from, std::int64_t to, std::int64_t scale)
{
    // Computes whole * offset / scale. Multiplying quotient and remainder separately avoids an overflow.
    const auto below = [&](std::int64_t offset) { return whole / scale * offset + whole % scale * offset / scale; };
    return below(to) - below(from);
}

ShareLimit computePartBetween(const ShareLimit& limit, std::int64_t from, std::int64_t to, std::int64_t scale)
{
    return { computePartBetween(limit.tokensPerSecond, from, to, scale),
        computePartBetween(limit.burstTokens, from, to, scale) };
}

std::vector<std::pair<RegionId, std::int64_t>> getRegionWeights(
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

WorkspaceShare divideOverRegions(const Workspace& workspace, const std::map<RegionId, Region>& regions)
{
    WorkspaceShare share;
    share.whole
        = { std::max<std::int64_t>(0, workspace.tokensPerSecond), std::max<std::int64_t>(0, workspace.burstTokens) };
    const auto weights = getRegionWeights(workspace, regions);
    std::int64_t total = 0;
    for (const auto& [region, weight] : weights)
        total += weight;
    std::int64_t offset = 0;
    for (const auto& [region, weight] : weights) {
        if (weight > 0)
            share.parts[region] = computePartBetween(share.whole, offset, offset + weight, total);
        offset += weight;
    }
    return share;
}

ShareLimit computeEqualPart(const ShareLimit& limit, std::size_t index, std::size_t count)
{
    assert(index < count);
    const auto from = static_cast<std::int64_t>(index);
    return computePartBetween(limit, from, from + 1, static_cast<std::int64_t>(count));
}

std::vector<WorkspaceId> WorkspaceShares::setGovernance(const std::shared_ptr<const Governance>& next)
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
        WorkspaceShare share = divideOverRegions(workspace, next->regions);
        const auto known = this->current.find(id);
        if (known != this->current.end() && known->second == share)
            continue;
        // A workspace that no earlier revision had needs no entry: VMs without this revision own nothing of it.
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

bool WorkspaceShares::isShareUnchanged(const WorkspaceId& id, const Workspace& workspace, bool haveRegionsChanged) const
{
    if (haveRegionsChanged)
        return false;
    const auto known = this->governance->workspaces.find(id);
    return known != this->governance->workspaces.end() && known->second.tokensPerSecond == workspace.tokensPerSecond
        && known->second.burstTokens == workspace.burstTokens && known->second.residency == workspace.residency
        && known->second.shareWeights == workspace.shareWeights;
}

bool WorkspaceShares::setAdoptedEverywhere(RevisionNumber adopted)
{
    // A VM that skipped this revision does not know its limits and must keep the earlier ones.
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

const WorkspaceShare* WorkspaceShares::find(const WorkspaceId& workspace) const
{
    const auto found = this->current.find(workspace);
    return found == this->current.end() ? nullptr : &found->second;
}

std::vector<const WorkspaceShare*> WorkspaceShares::getEarlier(const WorkspaceId& workspace) const
{
    std::vector<const WorkspaceShare*> shares;
    const auto history = this->earlier.find(workspace);
    if (history == this->earlier.end())
        return shares;
    for (const EarlierShare& share : history->second)
        shares.push_back(share.share ? &*share.share : nullptr);
    return shares;
}

} // namespace papayashelf
