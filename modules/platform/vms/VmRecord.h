#pragma once

#include "foundation/identity/Identifier.h"
#include <vector>

namespace papayashelf {

/** One VM in the platform's lagging list. Upstream VMs are listed too, by their address. */
struct VmRecord {
    VmId vm;
    RegionId region;
    FailureDomainId domain;
    std::string address; /**< IP number. */
    bool isLeaving = false;

    bool operator==(const VmRecord&) const = default;
};

/** The whole list at one moment, as much as a few minutes old. Sorted by VM. */
using VmList = std::vector<VmRecord>;

} // namespace papayashelf
