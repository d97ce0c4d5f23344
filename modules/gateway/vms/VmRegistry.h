#pragma once

#include "foundation/time/Clock.h"
#include "gateway/vms/VmAnnouncement.h"
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace papayashelf {

/** The location of a caller, as far as the caller states it. */
struct CallerLocation {
    RegionId region;
    FailureDomainId failureDomain;
    std::vector<RegionId> homes; /**< Regions that may serve all of its requests; empty for any. */

    bool operator==(const CallerLocation&) const = default;
};

/**
    The VMs of the system, from their statuses in the store.

    A status that disappears during a fault of the store is kept for a while, because its VM may be running and about to
    write it again. Thread safety: none; owned by one thread.
*/
class VmRegistry {
public:
    /**
        Stores a VM's latest status.

        A status that is older than what is known of its process is passed over: one that has stopped does not become
        ready again, and one that has ended or was replaced needs a higher sequence. The relay key tells processes
        apart. Statuses without a sequence have no order among themselves.

        @returns the last known sequence of the process, if the status was passed over
    */
    std::optional<std::int64_t> put(VmAnnouncement status);

    /** Records that a VM's status disappeared. The VM counts until the given time, unless it is written again. */
    void remove(const VmId& vm, Milliseconds keepUntil);

    /** Removes the VMs whose removal time has passed. Returns their ids. */
    std::vector<VmId> expire(Milliseconds now);

    /** Returns the number of ended processes whose sequence is remembered. */
    std::size_t countRemembered() const { return this->ended.size(); }

    /**
        Returns the VMs that a caller should connect to: ready VMs that reach upstreams in its failure domain, otherwise
        in its region, otherwise in the homes of its requests. If there are none, it returns the VMs in its region or
        homes that still take requests though they stop or reach no upstream, otherwise any VMs that are ready.

        @param maximumCount  maximum number of VMs to return
    */
    std::vector<Endpoint> chooseEntries(const CallerLocation& location, std::size_t maximumCount) const;

    /** Returns the ready VMs of a region, whether they reach upstreams or not. */
    std::vector<const VmAnnouncement*> getReadyVms(const RegionId& region) const;

    /** Returns the ready VMs of a region that reach its upstreams. */
    std::vector<const VmAnnouncement*> getServingVms(const RegionId& region) const;

    /** Returns the regions that have any VM, ready or not. */
    std::set<RegionId> getRegions() const;

    /** Returns all known VMs, ready or not. */
    const std::map<VmId, VmAnnouncement>& getAll() const { return this->vms; }

    /** Returns the number of VMs that share a global limit; at least 1. */
    std::size_t countVms() const { return this->vms.empty() ? 1 : this->vms.size(); }

private:
    /** The last that is known of a process. */
    struct LastStatus {
        std::int64_t sequence = 0;
        bool isReady = false;
        Milliseconds endedAt;
    };

    std::optional<std::int64_t> findLaterSequence(const VmAnnouncement& status) const;
    void rememberEnded(Milliseconds endedAt, const VmAnnouncement& status);

    std::map<VmId, VmAnnouncement> vms;
    std::map<std::pair<VmId, std::string>, LastStatus> ended; /**< Processes that ended not long ago, by relay key. */
    Milliseconds checkedAt; /**< Time of the last call of expire(). */
    std::map<VmId, Milliseconds> keptUntil; /**< Time until which a VM without a status is kept. */
};

} // namespace papayashelf
