#pragma once

#include "foundation/hashing/StableHash.h"
#include "foundation/identity/Identifier.h"
#include "foundation/time/Clock.h"
#include <map>
#include <vector>

namespace papayashelf {

/**
    Bounds the requests that all VMs together send a cold upstream in a second, without a message between them: of the
    VMs that can reach it, only a few, the same in every VM's view, may use it, at one request a second each.

    Load pattern: a failure domain returns with every upstream cold while its callers' load is at its peak.
    Thread safety: none; owned by one thread.
*/
class ColdStartLimit {
public:
    /** @param vm  this VM */
    explicit ColdStartLimit(VmId vm)
        : vm(std::move(vm))
    {
    }

    /**
        True if this VM may send the upstream a request now.

        @param perSecond    what the upstream bears a second, from all VMs
        @param vmsInRegion  the VMs that may send to it, this one included
    */
    bool mayUse(
        Milliseconds now, const UpstreamId& upstream, double perSecond, const std::vector<VmId>& vmsInRegion) const;

    /** Counts a request to it. */
    void noteUse(Milliseconds now, const UpstreamId& upstream) { this->lastUse[upstream] = now; }

    /** Forgets an upstream that is gone. */
    void forget(const UpstreamId& upstream) { this->lastUse.erase(upstream); }

private:
    VmId vm;
    std::map<UpstreamId, Milliseconds> lastUse;
};

} // namespace papayashelf
