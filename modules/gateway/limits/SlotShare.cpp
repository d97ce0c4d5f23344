#include "gateway/limits/SlotShare.h"

#include "gateway/limits/VmSelection.h"

namespace papayashelf {

namespace {

constexpr Milliseconds selectionLifetime { 500 }; /**< The list of VMs changes seldom, and hashing it takes time. */

} // namespace

int SlotShare::get(Milliseconds now, const UpstreamId& upstream, int slots, const std::vector<VmId>& vmsInRegion)
{
    Share& share = this->shares[upstream];
    if (share.slots == slots && now - share.selectedAt < selectionLifetime)
        return share.requests;
    const int vms = std::max(1, static_cast<int>(vmsInRegion.size()));
    const auto leftOver = static_cast<std::size_t>(slots % vms);
    const bool hasOneMore = leftOver > 0 && isSelected(this->vm, upstream, vmsInRegion, leftOver);
    share = { slots / vms + (hasOneMore ? 1 : 0), slots, now };
    return share.requests;
}

} // namespace papayashelf
