#pragma once

#include "foundation/identity/Identifier.h"
#include "foundation/time/Clock.h"
#include <algorithm>
#include <map>
#include <vector>

namespace papayashelf {

/**
    Keeps the requests that all VMs together send to an upstream within the rate that it states, without messages
   between the VMs. Of the VMs that can reach the upstream, at most one for each request per second may use it, and they
   share its rate evenly, so that the rate does not depend on the number of VMs.

    Load pattern: upstreams in need accept a few requests per second from a region of up to hundreds of VMs, whose
   callers move from VM to VM. Times must not decrease from one call to the next. Thread safety: none; owned by one
   thread.
*/
class StatedRateLimit {
public:
    /** Creates the limit of one VM. @param vm  this VM */
    explicit StatedRateLimit(VmId vm)
        : vm(std::move(vm))
    {
    }

    /**
        Returns true if this VM may send a request to the upstream now.

        @param perSecond    rate that the upstream states; 0 or more
        @param vmsInRegion  VMs that may send requests to the upstream, including this one
    */
    bool mayUse(Milliseconds now, const UpstreamId& upstream, double perSecond, const std::vector<VmId>& vmsInRegion);

    /** Records that this VM sends a request to an upstream. Does nothing if the upstream states no limit. */
    void noteUse(const UpstreamId& upstream);

    /** Returns the requests per second that all VMs together send an upstream that states the given rate. */
    static double getAcceptedRate(double perSecond) { return std::max(perSecond, minimumPerSecond); }

    /** Removes the state of an upstream that states no limit any more or no longer exists. */
    void forget(const UpstreamId& upstream) { this->shares.erase(upstream); }

private:
    /** Requests per second. Without any request, no answer could tell that the upstream has recovered. */
    static constexpr double minimumPerSecond = 0.2;

    /** This VM's part of an upstream's rate. */
    struct Share {
        double perSecond = 0; /**< 0 if other VMs use the upstream. */
        double level = 0; /**< Requests that may be sent now. */
        Milliseconds refilledAt;
        Milliseconds selectedAt; /**< Time of the last choice of VMs. */
        double statedPerSecond = -1; /**< Rate for which the VMs were chosen. */
    };

    Share& refill(Milliseconds now, const UpstreamId& upstream, double perSecond, const std::vector<VmId>& vmsInRegion);

    VmId vm;
    std::map<UpstreamId, Share> shares;
};

} // namespace papayashelf
