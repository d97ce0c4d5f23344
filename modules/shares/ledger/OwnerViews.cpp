#include "shares/ledger/OwnerViews.h"

#include <algorithm>

namespace papayashelf {

std::int64_t OwnerView::estimateContent(Milliseconds now) const
{
    const std::int64_t rate = this->limit.tokensPerSecond;
    const std::int64_t elapsed = std::max<std::int64_t>(0, (now - this->seenAt).count());
    constexpr std::int64_t millisecondsPerSecond = 1000;
    const std::int64_t room = std::max<std::int64_t>(0, this->limit.burstTokens - this->left);
    const bool fills = rate > 0 && elapsed / millisecondsPerSecond > room / rate;
    const std::int64_t gained = fills ? room : elapsed * rate / millisecondsPerSecond;
    return std::min(this->limit.burstTokens, this->left + gained);
}

std::int64_t OwnerView::estimate(Milliseconds now) const
{
    if (this->call != 0 || now < this->silentUntil)
        return 0;
    return this->estimateContent(now);
}

void OwnerViews::rebuild(const WorkspaceId& workspace, const VotedShare& share, const OwnerMap& owners,
    const ShareSettings& settings, const VmId& self, const RegionId& region)
{
    std::vector<OwnerView> next;
    for (const auto& [ownerRegion, part] : share.parts) {
        const OwnerMap::Entry* entry = owners.find(ownerRegion);
        if (!entry)
            continue;
        const std::size_t count = entry->ring.countOwners(part, settings);
        const std::vector<ShareHolder> holders = entry->ring.getOwners(workspace, count);
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
        if (view.estimate(now) > 0 && liveVms.contains(view.vm))
            askable.push_back(&view);
    }
    std::stable_sort(askable.begin(), askable.end(), [&](const OwnerView* left, const OwnerView* right) {
        if (left->isLocal != right->isLocal)
            return left->isLocal;
        return left->estimate(now) > right->estimate(now);
    });
    return askable;
}

std::int64_t OwnerViews::getAsked() const
{
    std::int64_t asked = 0;
    for (const OwnerView& view : this->views)
        asked += view.call != 0 ? view.asked : 0;
    return asked;
}

void OwnerViews::giveUpCalls(Milliseconds now, const ShareSettings& settings)
{
    constexpr std::int64_t mostDoublings = 3;
    for (OwnerView& view : this->views) {
        if (view.call == 0 || now <= view.askedAt + settings.grantHold)
            continue;
        view.call = 0;
        const std::int64_t doublings = std::min(view.silences++, mostDoublings);
        view.silentUntil = now + settings.silentOwnerPause * (std::int64_t { 1 } << doublings);
    }
}

Milliseconds OwnerViews::whenAvailable(Milliseconds now, const std::set<VmId>& liveVms, std::int64_t missing) const
{
    std::int64_t rate = 0;
    for (const OwnerView& view : this->views) {
        if (!liveVms.contains(view.vm) || now < view.silentUntil)
            continue;
        missing -= view.estimateContent(now);
        rate += view.limit.tokensPerSecond;
    }
    if (missing <= 0)
        return now;
    if (rate <= 0)
        return Milliseconds::never();
    return now + Milliseconds(missing * 1000 / rate + 1);
}

} // namespace papayashelf
