#pragma once

#include "model/governance/Governance.h"
#include "platform/vms/VmRecord.h"
#include "routing/residency/ResidencyFilter.h"
#include "routing/settings/RoutingSettings.h"
#include "routing/upstreams/CircuitBreaker.h"
#include "routing/upstreams/LoadEstimate.h"
#include <map>
#include <set>
#include <string>
#include <vector>

namespace papayashelf {

/** The state that this VM keeps of one upstream of its region. */
struct UpstreamState {
    Upstream upstream;
    ServiceId service;
    ServiceKind kind = ServiceKind::PlainService;
    bool isWatched = false; /**< Whether it belongs to the subset that this VM uses and polls. */
    LoadEstimate load;
    CircuitBreaker breaker;
    double cacheUse = 1; /**< Cache utilization in the last report, 0 to 1. */
    Milliseconds warmUpEndsAt; /**< End of the ramp-up after it recovered with cold caches. */
    Milliseconds busyUntil; /**< It rejected a request as busy and gets no requests until this time. */
    bool hasReportedLeaving = false; /**< Whether the upstream itself reported that it is stopping. */
};

/** An upstream that accepts new work, with its load. */
struct LocalCandidate {
    UpstreamState* state = nullptr;
    double load = 0; /**< Requests per usable slot, plus a penalty for recent failures. */
    bool hasCapacity = false; /**< Whether it can take a request now. */
};

/** The total slots and load of the upstreams of one service, as one VM sees them. */
struct ServiceLoad {
    std::int64_t slots = 0;
    std::int64_t running = 0;
    std::int64_t waiting = 0;
};

/**
    Tracks the load and health of the upstreams of this VM's region, and which of them are leaving. Events of unknown
    upstreams are ignored.

    Thread safety: none; owned by one thread.
*/
class UpstreamTracker {
public:
    /** Creates a tracker without upstreams for the VM and its region. */
    UpstreamTracker(const RoutingSettings& settings, RegionId self, VmId vm);

    /** Applies a new revision and keeps the state of upstreams that remain. */
    void setGovernance(const Governance& governance);

    /** Applies the VM list. Upstreams that were never listed stay in use, because the list may be out of date. */
    void setVmList(const VmList& list);

    /** Stores a load report. Returns false if the upstream is unknown. */
    bool handleLoad(
        Milliseconds now, const UpstreamId& upstream, std::int64_t running, std::int64_t waiting, double cacheUse);

    /** Records that an upstream reported itself that it is stopping, so that it gets no new work. */
    void markLeaving(const UpstreamId& upstream);

    /**
        Returns the watched upstreams of a service that accept new work; none if this region is not permitted.

        The pointers are valid until the next call of setGovernance().
    */
    std::vector<LocalCandidate> findCandidates(
        Milliseconds now, const PermittedRegions& permitted, const ServiceId& service);

    /** Records an attempt that was started. */
    void noteStarted(Milliseconds now, const UpstreamId& upstream);
    /** Records an attempt that the upstream answered. */
    void noteAnswered(Milliseconds now, const UpstreamId& upstream);
    /** Records an attempt that the upstream rejected as busy; it is skipped for a short time. */
    void noteBusy(Milliseconds now, const UpstreamId& upstream);
    /** Records a failed attempt, which may eject the upstream. */
    void noteFailed(Milliseconds now, const UpstreamId& upstream, std::mt19937_64& generator);
    /** Records an attempt that goes on in silence, as a failure that may eject the upstream. */
    void noteSilent(Milliseconds now, const UpstreamId& upstream, std::mt19937_64& generator);
    /** Records a cancelled attempt, which gives no information about the upstream's health. */
    void noteCancelled(const UpstreamId& upstream);

    /** Returns whether any watched upstream of the service accepts new work, whether or not it has capacity. */
    bool hasUsable(Milliseconds now, const ServiceId& service) const;

    /** Returns the services that have upstreams in this region. */
    std::vector<ServiceId> listServices() const;

    /** Estimates the load of all upstreams of a service in this region from that of the watched ones. */
    ServiceLoad sumLoad(Milliseconds now, const ServiceId& service) const;

    /** Returns the upstreams in this VM's subset, sorted by id. */
    std::vector<Upstream> listWatched() const;
    /** Returns the upstreams that may not be used now because of ejection. */
    std::vector<UpstreamId> listEjected(Milliseconds now) const;

private:
    bool acceptsNewWork(const UpstreamState& state) const;
    double estimateUsableSlots(Milliseconds now, const UpstreamState& state) const;
    bool mayEjectAnother(const ServiceId& service) const;
    UpstreamState* find(const UpstreamId& upstream);
    void chooseSubset(std::vector<UpstreamId>& members);

    const RoutingSettings settings;
    const RegionId self;
    const VmId vm;
    std::map<UpstreamId, UpstreamState> states;
    std::map<ServiceId, std::vector<UpstreamId>> services;
    std::set<std::string> listedAddresses;
    std::set<std::string> leavingAddresses;
    std::set<std::string> removedAddresses;
};

} // namespace papayashelf
