#include "shares/ledger/OwnerViews.h"

#include <algorithm>

namespace papayashelf {

std::int64_t OwnerView::estimateTokens(Milliseconds now) const
{
    const std::int64_t rate = this->limit.tokensPerSecond;
    const std::int64_t elapsed = std::max<std::int64_t>(0, (now - this->answeredAt).count());
    constexpr std::int64_t millisecondsPerSecond = 1000;
    const std::int64_t freeTokens = std::max<std::int64_t>(0, this->limit.burstTokens - this->left);
    const bool isFilled = rate > 0 && elapsed / millisecondsPerSecond > freeTokens / rate;
    const std::int64_t gained = isFilled ? freeTokens : elapsed * rate / millisecondsPerSecond;
    return std::min(this->limit.burstTokens, this->left + gained);
}

std::int64_t OwnerView::estimateAvailable(Milliseconds now) const
{
    if (this->call != 0 || now < this->pausedUntil)
        return 0;
    return this->estimateTokens(now);
}

void OwnerViews::rebuild(const WorkspaceId& workspace, const WorkspaceShare& share, const OwnerMap& owners,
    const ShareSettings& settings, const VmId& self, const RegionId& region)
{
    std::vector<OwnerView> next;
    for (const auto& [ownerRegion, part] : share.parts) {
        const OwnerMap::Entry* entry = owners.find(ownerRegion);
        if (!entry)
            continue;
        const std::size_t count = entry->selector.countOwners(part, settings);
        const std::vector<ShareHolder> holders = entry->selector.getOwners(workspace, count);
        for (std::size_t index = 0; index < holders.size(); ++index) {
            if (holders[index].vm == self)
                continue;
            OwnerView view;
            view.limit = computeEqualPart(part, index, count);
            view.left = view.limit.burstTokens;
            if (const OwnerView* known = this->find(holders[index].vm)) {
                const ShareLimit limit = view.limit;
                view = *known;
                view.limit = limit;
            }
            view.vm = holders[index].vm;
            view.isLocal = ownerRegion == region;
            next.push_back(view);
        }
    }
    std::stable_partition(next.begin(), next.end(), [](const OwnerView& view) { return view.isLocal; });
    this->views = std::move(next);
}

OwnerView* OwnerViews::find(const VmId& vm)
{
    const auto found
        = std::find_if(this->views.begin(), this->views.end(), [&](const OwnerView& view) { return view.vm == vm; });
    return found == this->views.end() ? nullptr : &*found;
}

std::vector<OwnerView*> OwnerViews::getAskable(Milliseconds now, const std::set<VmId>& liveVms)
{
    std::vector<OwnerView*> askable;
    for (OwnerView& view : this->views) {
        if (view.estimateAvailable(now) > 0 && liveVms.contains(view.vm))
            askable.push_back(&view);
    }
    std::stable_sort(askable.begin(), askable.end(), [&](const OwnerView* left, const OwnerView* right) {
        if (left->isLocal != right->isLocal)
            return left->isLocal;
        return left->estimateAvailable(now) > right->estimateAvailable(now);
    });
    return askable;
}

std::int64_t OwnerViews::countAskedTokens() const
{
    std::int64_t requestedTokensPerSecond = 0;
    for (const OwnerView& view : this->views)
        requestedTokensPerSecond += view.call != 0 ? view.requestedTokensPerSecond : 0;
    return requestedTokensPerSecond;
}

void OwnerViews::expireCalls(Milliseconds now, const ShareSettings& settings)
{
    constexpr std::int64_t maximumDoublings = 3;
    for (OwnerView& view : this->views) {
        if (view.call == 0 || now <= view.askedAt + settings.grantLifetime)
            continue;
        view.call = 0;
        const std::int64_t doublings = std::min(view.unansweredCalls++, maximumDoublings);
        view.pausedUntil = now + settings.unresponsiveOwnerPause * (std::int64_t { 1 } << doublings);
    }
}

Milliseconds OwnerViews::estimateAvailabilityTime(
    Milliseconds now, const std::set<VmId>& liveVms, std::int64_t missing) const
{
    std::int64_t rate = 0;
    for (const OwnerView& view : this->views) {
        if (!liveVms.contains(view.vm) || now < view.pausedUntil)
            continue;
        missing -= view.estimateTokens(now);
        rate += view.limit.tokensPerSecond;
    }
    if (missing <= 0)
        return now;
    if (rate <= 0)
        return Milliseconds::never();
    return now + Milliseconds(missing * 1000 / rate + 1);
}

} // namespace papayashelf
