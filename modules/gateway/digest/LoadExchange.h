#pragma once

#include "foundation/time/Clock.h"
#include "gateway/digest/Digest.h"
#include "gateway/vms/VmRegistry.h"
#include <optional>
#include <set>
#include <vector>

namespace papayashelf {

/** What a reply proves to the VM that asked. */
struct FreshnessConfirmation {
    Milliseconds confirmedAt; /**< By this VM's clock: the replier's view was current then. */
    std::int64_t knownRevision = 0; /**< The view's last change. */

    bool operator==(const FreshnessConfirmation&) const = default;
};

/**
    Spreads load figures over all VMs, and lets one VM of a region vouch for the others that nothing has changed, so
    that only a few VMs need ask the store often.

    Each VM reports to its region's collector, the first ready VM in the order of names that answers. Collectors report
    their regions to each other. Whoever gets a report answers it, so no VM needs to be told that it collects. Messages
    a second grow with the number of VMs, not with its square.

    Thread safety: none; owned by one thread.
*/
class LoadExchange {
public:
    /** Between reports; limits follow callers that move about this fast. */
    static constexpr Milliseconds reportInterval { 500 };

    LoadExchange(VmId vm, RegionId region);

    /** VMs that get a report now: the own region's collector, and from a collector those of the other regions. */
    std::vector<const VmAnnouncement*> chooseReceivers(Milliseconds now, const VmRegistry& vms);

    /** Whether this VM is its region's collector. */
    bool isCollector() const { return this->isCollectorVm; }

    /** The report for a receiver. @param own  this VM's load */
    DigestReport makeReport(Milliseconds now, const RegionId& receiver, const LoadFigures& own);

    /** Takes a report of another VM. */
    void noteReport(Milliseconds now, const DigestReport& report);

    /**
        The answer to a report.

        @param confirmationAge    how long ago this VM knew its own view current
        @param knownRevision  the store's revision of that view's last change
    */
    DigestReply makeReply(
        Milliseconds now, const DigestReport& report, Milliseconds confirmationAge, std::int64_t knownRevision);

    /** Takes a reply. Nothing is proven if the replier knows nothing itself. */
    std::optional<FreshnessConfirmation> noteReply(Milliseconds now, const DigestReply& reply);

    //==================================================================================================================
    /** Units a second that callers of a workspace ask for at all other VMs. */
    double getRemoteDemand(const WorkspaceId& workspace) const;

    /** What the other VMs of the own region have under way, as last heard. */
    ServiceLoad getLocalLoadOfOtherVms(const ServiceId& service) const;

    /** What all VMs of a region have under way to a service's upstreams there, as last heard. */
    ServiceLoad getLoad(const RegionId& region, const ServiceId& service) const;

private:
    struct ReceivedFigures {
        LoadFigures figures;
        Milliseconds receivedAt;
    };

    const VmAnnouncement* findCollector(Milliseconds now, const VmRegistry& vms, const RegionId& targetRegion);
    LoadFigures sumRegion(Milliseconds now) const;

    VmId vm;
    RegionId region;
    bool isCollectorVm = false;
    LoadFigures own; /**< As last reported. */
    std::map<VmId, ReceivedFigures> byVm; /**< Of this region's other VMs, from their reports. */
    std::map<RegionId, ReceivedFigures> byRegion; /**< From other collectors, or from the own one's replies. */
    std::map<VmId, Milliseconds> unansweredSince; /**< When the first report went out that has no reply. */
    std::map<VmId, Milliseconds> avoidedUntil; /**< VMs that left reports unanswered. */
};

} // namespace papayashelf
