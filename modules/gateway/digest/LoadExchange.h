#pragma once

#include "foundation/time/Clock.h"
#include "gateway/digest/Digest.h"
#include "gateway/vms/VmRegistry.h"
#include <optional>
#include <set>
#include <vector>

namespace papayashelf {

/** Confirmation from another VM that its view of the store was current at a known time. */
struct FreshnessConfirmation {
    Milliseconds confirmedAt; /**< Time on this VM's clock at which the replier's view was current. */
    StorePosition knownRevision; /**< Position of the last change in that view. */

    bool operator==(const FreshnessConfirmation&) const = default;
};

/**
    Exchanges load figures between all VMs. One VM of a region also confirms to the others that the configuration has
    not changed, so that only a few VMs have to query the store often.

    Each VM reports to its region's collector, which is the first ready VM in name order that answers. Collectors report
    the totals of their regions to each other. Every VM answers the reports it receives, so no VM has to be told that it
    is the collector. The messages per second grow linearly with the number of VMs, not with its square.

    Thread safety: none; owned by one thread.
*/
class LoadExchange {
public:
    /** Time between reports; also roughly how fast limits follow callers that move between VMs. */
    static constexpr Milliseconds reportInterval { 500 };

    /** Creates the exchange of one VM in its region. */
    LoadExchange(VmId vm, RegionId region);

    /** Returns the VMs to report to now: this region's collector or, on a collector, those of the other regions. */
    std::vector<const VmAnnouncement*> chooseReceivers(Milliseconds now, const VmRegistry& vms);

    /** Returns true if this VM is the collector of its region. */
    bool isCollector() const { return this->isCollectorVm; }

    /** Sets the current load of this VM, which its reports and replies contain. */
    void setOwnLoad(const LoadFigures& load) { this->own = load; }

    /** Creates the report for a receiver in the given region. */
    DigestReport makeReport(Milliseconds now, const RegionId& receiver) const;

    /**
        Discards the figures of VMs of the own region that have not been heard of for the lifetime of figures, and of
        regions in which no VM is known any more. Those of other regions count as long as VMs are known there. Call it
        periodically, since nothing else may arrive.
    */
    void expire(Milliseconds now, const VmRegistry& vms);

    /** Stores the figures of another VM's report. */
    void noteReport(Milliseconds now, const DigestReport& report);

    /**
        Creates the reply to a report.

        @param confirmationAge  time since this VM's own view was confirmed to be current
        @param knownRevision    position in the store of the last change in that view
    */
    DigestReply makeReply(
        Milliseconds now, const DigestReport& report, Milliseconds confirmationAge, StorePosition knownRevision);

    /** Stores the figures of a reply. Returns no confirmation if the replier's own view is not confirmed. */
    std::optional<FreshnessConfirmation> noteReply(Milliseconds now, const DigestReply& reply);

    //==================================================================================================================
    /** Returns the units per second that callers of a workspace request at all other VMs. */
    double getRemoteDemand(const WorkspaceId& workspace) const;

    /** Returns the last received load of the other VMs of the own region. */
    ServiceLoad getLocalLoadOfOtherVms(const ServiceId& service) const;

    /**
        Returns the last received load of the other VMs of the own region on one of its upstreams, or nothing if no
        figures of them have arrived.
    */
    std::optional<UpstreamLoad> getLoadOfOtherVms(const UpstreamId& upstream) const;

    /** Returns the last received load of all VMs of a region on a service's upstreams there. */
    ServiceLoad getLoad(const RegionId& region, const ServiceId& service) const;

private:
    struct ReceivedFigures {
        LoadFigures figures;
        Milliseconds receivedAt;
    };

    const VmAnnouncement* findCollector(Milliseconds now, const VmRegistry& vms, const RegionId& targetRegion);
    LoadFigures sumRegion(Milliseconds now) const;
    void replaceFigures(const VmId& from, ReceivedFigures figures);
    void removeFromSum(const LoadFigures& figures);

    VmId vm;
    RegionId region;
    bool isCollectorVm = false;
    LoadFigures own; /**< Load of this VM when it was last set. */
    std::map<VmId, ReceivedFigures> byVm; /**< Figures of this region's other VMs, from their reports. */
    LoadFigures reportedSum; /**< Sum of the upstream loads in byVm; its other figures are not used. */
    /** Figures from other collectors, or from replies of the own collector. */
    std::map<RegionId, ReceivedFigures> byRegion;
    std::map<VmId, Milliseconds> unansweredSince; /**< Time of the first report without a reply. */
    std::map<VmId, Milliseconds> avoidedUntil; /**< VMs that did not answer, and until when they receive no reports. */
};

} // namespace papayashelf
