#pragma once

#include "foundation/time/Clock.h"
#include "gateway/vms/VmAnnouncement.h"
#include <map>
#include <set>
#include <vector>

namespace papayashelf {

/** Where a caller is, as far as it says. */
struct CallerLocation {
    RegionId region;
    FailureDomainId failureDomain;
    std::vector<RegionId> homes; /**< Regions that all of its requests may be served in; empty for any. */

    bool operator==(const CallerLocation&) const = default;
};

/**
    The VMs of the system as their statuses in the store show them.

    A status that vanishes while the store had trouble is kept for a while: its VM may be alive and about to write it
    again. Thread safety: none; owned by one thread.
*/
class VmRegistry {
public:
    /** Takes a VM's newest status. */
    void put(VmAnnouncement status);

    /** The VM's status is gone from the store. It counts until the moment, unless it is written again. */
    void remove(const VmId& vm, Milliseconds keepUntil);

    /** Forgets the VMs whose time has come. Returns them. */
    std::vector<VmId> expire(Milliseconds now);

    /**
        VMs that a caller should connect to: ready ones of its failure domain, else of its region, else of the homes of
       its requests; else those there that stop but still take requests; else any that is ready.
    */
    std::vector<Endpoint> chooseEntries(const CallerLocation& location, std::size_t maximumCount) const;

    /** Ready VMs of a region. */
    std::vector<const VmAnnouncement*> getReadyVms(const RegionId& region) const;

    /** Regions in which there is any VM, ready or not. */
    std::set<RegionId> getRegions() const;

    /** All VMs known, whether ready or not. */
    const std::map<VmId, VmAnnouncement>& getAll() const { return this->vms; }

    /** How many VMs share a bound over all VMs; at least 1. */
    std::size_t countVms() const { return this->vms.empty() ? 1 : this->vms.size(); }

private:
    std::map<VmId, VmAnnouncement> vms;
    std::map<VmId, Milliseconds> keptUntil; /**< Until when a VM whose status vanished is kept. */
};

} // namespace papayashelf
