#pragma once

#include "membership/messages/MembershipMessages.h"
#include "model/governance/Governance.h"
#include "platform/vms/VmRecord.h"
#include "routing/caches/PrefixIndex.h"
#include "routing/choice/RoutingQuery.h"
#include "routing/messages/RoutingMessages.h"
#include "routing/policies/UpstreamPolicies.h"
#include "routing/regions/RegionTracker.h"
#include "routing/residency/ResidencyFilter.h"
#include "routing/settings/RoutingSettings.h"
#include "routing/upstreams/UpstreamTracker.h"
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <vector>

namespace papayashelf {

/** A load report of one upstream. */
struct UpstreamLoadReport {
    UpstreamId upstream;
    std::int64_t running = 0; /**< Requests being processed. */
    std::int64_t waiting = 0; /**< Requests queued at the upstream. */
    double cacheUse = 0; /**< Cache utilization, 0 to 1. */
    std::vector<std::uint64_t> prefixesAdded;
    std::vector<std::uint64_t> prefixesEvicted;
    bool isLeaving = false; /**< Whether the upstream itself reported that it is about to stop. */
};

/**
    Chooses the region and the upstream for each attempt of a request.

    Every choice passes through the same residency filter, whether for a first attempt, a retry, a resumed request or
    a relay to another region. The router does no I/O and uses only what its callers report. The same calls with the
    same generator give the same choices.

    Thread safety: none; owned by one thread.
*/
class Router {
public:
    /** Creates a router for the VM in its region; it chooses nothing until setGovernance() is called. */
    Router(RoutingSettings settings, RegionId self, VmId vm);

    //==================================================================================================================
    /** Applies a new revision and keeps the state of upstreams that remain. */
    void setGovernance(std::shared_ptr<const Governance> newGovernance);

    /** Applies the VM list. Upstreams whose VM is leaving, or was removed from the list, get no new work. */
    void setVmList(const VmList& list);

    /** Sets the VMs of the system, including this one. Only live VMs get relays. */
    void setMembers(const std::vector<Member>& members);

    /** Stores a load report, which may arrive late. Reports of unknown upstreams are ignored. */
    void handleLoad(Milliseconds now, const UpstreamLoadReport& load);

    /** Stores another region's summary, which may arrive late. */
    void handleRegionSummary(Milliseconds now, const RegionSummary& summary);

    /** Stops new work to an upstream that is stopping, before the VM list shows it. */
    void markLeaving(const UpstreamId& upstream);

    //==================================================================================================================
    /** Chooses where to send a request that entered at this VM: an upstream, another region's VM, or nowhere. */
    RoutingChoice choose(Milliseconds now, const RoutingQuery& query, std::mt19937_64& generator);

    /** Chooses where to send a relayed request: an upstream of this region or nowhere. */
    RelayedChoice choose(Milliseconds now, const RelayedQuery& query, std::mt19937_64& generator);

    //==================================================================================================================
    /** Records an attempt that was started at an upstream, and the prefixes that the upstream will cache. */
    void noteStarted(Milliseconds now, const UpstreamChoice& choice, const std::vector<std::uint64_t>& prefixHashes);

    /** Records a relay that was started. */
    void noteStarted(Milliseconds now, const RegionChoice& choice);

    /** Records that a started attempt has been silent for too long. It counts as a failure, and has not ended. */
    void noteSilent(Milliseconds now, const UpstreamChoice& choice, std::mt19937_64& generator);

    /** Records that a started relay has been silent for too long. */
    void noteSilent(Milliseconds now, const RegionChoice& choice);

    /** Records how an attempt ended. Precondition: noteStarted() was called for the same choice. */
    void noteEnded(Milliseconds now, const UpstreamChoice& choice, AttemptSignal signal, Milliseconds duration,
        std::mt19937_64& generator);

    /** Records how a relay ended. Precondition: noteStarted() was called for the same choice. */
    void noteEnded(Milliseconds now, const RegionChoice& choice, AttemptSignal signal);

    //==================================================================================================================
    /** Returns the upstreams that this VM uses and polls for load reports, sorted by id. */
    std::vector<Upstream> getWatchedUpstreams() const;

    /**
        Returns the summaries to send to VMs of other regions, one for each service of this region.

        @param queued  requests in this VM's queues, by service, that precede a request relayed to this region
    */
    std::vector<RegionSummary> summariseOwnRegion(
        Milliseconds now, const std::map<ServiceId, std::int64_t>& queued) const;

    /** Returns the upstreams that are ejected now, for metrics and the timeline. */
    std::vector<UpstreamId> getEjected(Milliseconds now) const;

    /** Returns the region of this VM. */
    const RegionId& getRegion() const { return this->self; }

private:
    /** The option of serving one request in this region. */
    struct LocalOption {
        std::optional<UpstreamChoice> choice; /**< Set when an upstream has capacity. */
        bool hasUsableUpstream = false; /**< Whether any upstream accepts new work. */
        double load = 0; /**< Requests per slot at the chosen upstream, or the mean of all candidates. */
        double running = 0; /**< Requests at all candidates. */
        double matchedPromptFraction = 0; /**< Fraction of the prompt that the chosen upstream probably has cached. */
    };

    LocalOption findLocalOption(
        Milliseconds now, const PermittedRegions& permitted, const RoutingQuery& query, std::mt19937_64& generator);
    UpstreamChoice pickUpstream(const std::vector<LocalCandidate>& candidates, const RoutingQuery& query,
        LocalOption& option, std::mt19937_64& generator);
    std::optional<RegionChoice> chooseRelay(Milliseconds now, const PermittedRegions& permitted,
        const RoutingQuery& query, const LocalOption& local, std::mt19937_64& generator) const;
    bool isRelayWorthwhile(
        const RoutingQuery& query, const LocalOption& local, double load, Milliseconds linkTime) const;
    double estimateWait(double load, const ServiceId& service) const;
    double estimateLocalWait(const RoutingQuery& query, const LocalOption& local) const;
    double getServiceTime(const ServiceId& service) const;

    const RoutingSettings settings;
    const RegionId self;
    const VmId vm;
    std::shared_ptr<const Governance> governance = std::make_shared<const Governance>();
    UpstreamTracker upstreams;
    RegionTracker regions;
    PrefixIndex prefixes;
    UpstreamPicker picker;
    std::map<ServiceId, double> serviceTimes; /**< Moving mean of the attempt duration, in milliseconds. */
};

} // namespace papayashelf
