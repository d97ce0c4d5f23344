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

/** What this VM knows of one upstream of its region. */
struct UpstreamState {
    Upstream upstream;
    ServiceId service;
    ServiceKind kind = ServiceKind::PlainService;
    bool isWatched = false; /**< In this VM's subset. */
    LoadEstimate load;
    CircuitBreaker breaker;
    double cacheUse = 1;
    Milliseconds coldUntil; /**< It came back with cold caches and is ramped up until then. */
    Milliseconds busyUntil; /**< It rejected a request as busy; passed over until then. */
    bool saidLeaving = false; /**< It said itself that it is stopping. */
};

/** An upstream that may take a request now, and how busy it is. */
struct LocalCandidate {
    UpstreamState* state = nullptr;
    double load = 0; /**< Requests there for each slot that it may use. */
    bool hasRoom = false;
};

/** What the upstreams of one service can do together, as one VM sees them. */
struct ServiceLoad {
    std::int64_t slots = 0;
    std::int64_t running = 0;
    std::int64_t waiting = 0;
};

/**
    The upstreams of this VM's own region: their load, health, and whether they are leaving.

    Thread safety: none; owned by one thread.
*/
class UpstreamBook {
public:
    UpstreamBook(const RoutingSettings& settings, RegionId self, VmId vm);

    /** Takes a new revision; the state of upstreams that stay is kept. */
    void setGovernance(const Governance& governance);

    /** Takes the VM list. An upstream that was never listed is used: the list lags. */
    void setVmList(const VmList& list);

    /** Takes a load report. Returns false if the upstream is not known. */
    bool handleLoad(
        Milliseconds now, const UpstreamId& upstream, std::int64_t running, std::int64_t waiting, double cacheUse);

    void markLeaving(const UpstreamId& upstream);

    /**
        The upstreams of a service that may be used now; none if this region is not permitted.

        The pointers stay good until the next setGovernance().
    */
    std::vector<LocalCandidate> findCandidates(
        Milliseconds now, const PermittedRegions& permitted, const ServiceId& service);

    void noteStarted(Milliseconds now, const UpstreamId& upstream);
    void noteAnswered(Milliseconds now, const UpstreamId& upstream);
    void noteBusy(Milliseconds now, const UpstreamId& upstream);
    void noteFailed(Milliseconds now, const UpstreamId& upstream, std::mt19937_64& generator);
    void noteCancelled(const UpstreamId& upstream);

    /** Whether this region has any upstream of the service that takes new work, with room or without. */
    bool hasUsable(Milliseconds now, const ServiceId& service) const;

    /** The services with upstreams in this region. */
    std::vector<ServiceId> listServices() const;

    /** The load of all upstreams of a service in this region, scaled up from the watched ones. */
    ServiceLoad sumLoad(Milliseconds now, const ServiceId& service) const;

    std::vector<Upstream> listWatched() const;
    std::vector<UpstreamId> listEjected(Milliseconds now) const;

private:
    bool takesWork(const UpstreamState& state) const;
    double usableSlots(Milliseconds now, const UpstreamState& state) const;
    bool mayEjectOneMore(const ServiceId& service) const;
    UpstreamState* find(const UpstreamId& upstream);
    void chooseSubset(std::vector<UpstreamId>& members);

    const RoutingSettings settings;
    const RegionId self;
    const VmId vm;
    std::map<UpstreamId, UpstreamState> states;
    std::map<ServiceId, std::vector<UpstreamId>> services;
    std::set<std::string> listedAddresses;
    std::set<std::string> leavingAddresses;
    std::set<std::string> goneAddresses;
};

} // namespace papayashelf
