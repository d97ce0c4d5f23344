#pragma once

#include "foundation/identity/Identifier.h"
#include "foundation/time/Clock.h"
#include <map>
#include <vector>

namespace papayashelf {

/**
    Keeps the requests that all VMs of a region have at an upstream at the same time within its slots, without messages
    between the VMs. The VMs share the slots evenly; of slots that are left over, VMs chosen alike by all get one each.

    Load pattern: a service near its capacity whose upstreams fail if they have to reject many requests. Times must not
    decrease from one call to the next. Thread safety: none; owned by one thread.
*/
class SlotShare {
public:
    /** Creates the shares of one VM. @param vm  this VM */
    explicit SlotShare(VmId vm)
        : vm(std::move(vm))
    {
    }

    /**
        Returns the requests that this VM may have at the upstream at the same time; 0 if other VMs use all slots.

        @param slots        slots of the upstream; 0 or more
        @param vmsInRegion  VMs that may send requests to the upstream, including this one
    */
    int get(Milliseconds now, const UpstreamId& upstream, int slots, const std::vector<VmId>& vmsInRegion);

    /** Removes the state of an upstream that needs no shares any more or no longer exists. */
    void forget(const UpstreamId& upstream) { this->shares.erase(upstream); }

private:
    struct Share {
        int requests = 0;
        int slots = -1; /**< Slots that were shared out. */
        Milliseconds selectedAt; /**< Time of the last choice of VMs. */
    };

    VmId vm;
    std::map<UpstreamId, Share> shares;
};

} // namespace papayashelf
