#include "gateway/limits/StatedRateLimit.h"

#include "gateway/limits/VmSelection.h"
#include <algorithm>

namespace papayashelf {

namespace {

/** Seconds of the rate that may be sent at once, as callers' requests do not arrive evenly. */
constexpr double burstSeconds = 1;
constexpr Milliseconds selectionLifetime { 500 }; /**< The list of VMs changes seldom, and hashing it takes time. */

} // namespace

StatedRateLimit::Share& StatedRateLimit::refill(
    Milliseconds now, const UpstreamId& upstream, double perSecond, const std::vector<VmId>& vmsInRegion)
{
    const auto [entry, isNew] = this->shares.try_emplace(upstream);
    Share& share = entry->second;
    if (isNew)
        share.refilledAt = now;
    share.level += share.perSecond * (now - share.refilledAt).seconds();
    share.level = std::min(share.level, std::max(1.0, share.perSecond * burstSeconds));
    share.refilledAt = now;
    if (share.statedPerSecond != perSecond || now - share.selectedAt >= selectionLifetime) {
        const double rate = getAcceptedRate(perSecond);
        const auto count = static_cast<std::size_t>(
            std::clamp(rate, 1.0, static_cast<double>(std::max<std::size_t>(1, vmsInRegion.size()))));
        const bool isUser = isSelected(this->vm, upstream, vmsInRegion, count);
        share.perSecond = isUser ? rate / static_cast<double>(count) : 0;
        share.statedPerSecond = perSecond;
        share.selectedAt = now;
        if (!isUser)
            share.level = 0;
    }
    return share;
}

bool StatedRateLimit::mayUse(
    Milliseconds now, const UpstreamId& upstream, double perSecond, const std::vector<VmId>& vmsInRegion)
{
    return this->refill(now, upstream, perSecond, vmsInRegion).level >= 1;
}

void StatedRateLimit::noteUse(const UpstreamId& upstream)
{
    const auto found = this->shares.find(upstream);
    if (found != this->shares.end())
        found->second.level -= 1;
}

} // namespace papayashelf
