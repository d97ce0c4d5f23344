#pragma once

#include "foundation/identity/Identifier.h"
#include "foundation/time/Clock.h"
#include <map>
#include <vector>

namespace papayashelf {

/**
    Limits the requests per second that all VMs together send to a cold upstream, without messages between the VMs. Of
    the VMs that can reach the upstream, only a few may use it, at one request per second each. Every VM computes the
    same choice.

    Load pattern: a failure domain recovers, so all of its upstreams are cold while its callers' load is at its peak.
    Thread safety: none; owned by one thread.
*/
class ColdStartLimit {
public:
    /** Creates the limit of one VM. @param vm  this VM */
    explicit ColdStartLimit(VmId vm)
        : vm(std::move(vm))
    {
    }

    /**
        Returns true if this VM may send a request to the upstream now.

        @param perSecond    requests per second that the cold upstream accepts from all VMs together
        @param vmsInRegion  VMs that may send requests to the upstream, including this one
    */
    bool mayUse(
        Milliseconds now, const UpstreamId& upstream, double perSecond, const std::vector<VmId>& vmsInRegion) const;

    /** Records that this VM sends a request to the cold upstream. */
    void noteUse(Milliseconds now, const UpstreamId& upstream) { this->lastUse[upstream] = now; }

    /** Removes the state of an upstream that no longer exists. */
    void forget(const UpstreamId& upstream) { this->lastUse.erase(upstream); }

private:
    VmId vm;
    std::map<UpstreamId, Milliseconds> lastUse;
};

} // namespace papayashelf
