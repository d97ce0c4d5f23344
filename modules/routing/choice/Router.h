#pragma once

#include "membership/messages/MembershipMessages.h"
#include "model/governance/Governance.h"
#include "platform/vms/VmRecord.h"
#include "routing/caches/PrefixIndex.h"
#include "routing/choice/RoutingQuery.h"
#include "routing/messages/RoutingMessages.h"
#include "routing/policies/UpstreamPolicies.h"
#include "routing/regions/RegionBook.h"
#include "routing/residency/ResidencyFilter.h"
#include "routing/settings/RoutingSettings.h"
#include "routing/upstreams/UpstreamBook.h"
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <vector>

namespace papayashelf {

/** One load report of an upstream as the router takes it. */
struct UpstreamLoadReport {
    UpstreamId upstream;
    std::int64_t running = 0;
    std::int64_t waiting = 0;
    double cacheUse = 0; /**< 0 to 1. */
    std::vector<std::uint64_t> prefixesAdded;
    std::vector<std::uint64_t> prefixesEvicted;
    bool isLeaving = false; /**< The upstream itself said that it is about to stop. */
};

/**
    Chooses the region and the upstream for each attempt.

    Candidates come from one residency filter only, whichever path asks: first attempt, retry, resume or spill.
    Decides on what it was told; it does no I/O. The same calls with the same generator give the same choices.

    Thread safety: none; owned by one thread.
*/
class Router {
public:
    Router(RoutingSettings settings, RegionId self, VmId vm);

    //==================================================================================================================
    /** Takes a new revision; what is known of upstreams that stay is kept. */
    void setGovernance(std::shared_ptr<const Governance> newGovernance);

    /** Takes the VM list: upstreams whose VM is leaving, or has gone from the list, get no new work. */
    void setVmList(const VmList& list);

    /** Takes the VMs of the system, this one included; only live ones get relays. */
    void setMembers(const std::vector<Member>& members);

    /** Takes a load report, which may be late; reports of unknown upstreams are ignored. */
    void handleLoad(Milliseconds now, const UpstreamLoadReport& load);

    /** Takes another region's summary, which may be late. */
    void handleRegionSummary(Milliseconds now, const RegionSummary& summary);

    /** Takes word that an upstream is stopping, before the VM list says so. */
    void markLeaving(const UpstreamId& upstream);

    //==================================================================================================================
    /** Where a request that entered here may go now. */
    RoutingChoice choose(Milliseconds now, const RoutingQuery& query, std::mt19937_64& generator);

    /** Where a relayed request may go now: an upstream of this region or nowhere. */
    RelayedChoice choose(Milliseconds now, const RelayedQuery& query, std::mt19937_64& generator);

    //==================================================================================================================
    /** Counts an attempt that was started. */
    void noteStarted(Milliseconds now, const UpstreamChoice& choice, const std::vector<std::uint64_t>& prefixHashes);
    void noteStarted(Milliseconds now, const RegionChoice& choice);

    /** Counts it as ended. Precondition: noteStarted was called for the same choice. */
    void noteEnded(Milliseconds now, const UpstreamChoice& choice, AttemptSignal signal, Milliseconds duration,
        std::mt19937_64& generator);
    void noteEnded(Milliseconds now, const RegionChoice& choice, AttemptSignal signal);

    //==================================================================================================================
    /** The upstreams that this VM uses, and so polls for load reports. Sorted by id. */
    std::vector<Upstream> getWatchedUpstreams() const;

    /**
        What to tell VMs of other regions, a line for each service of this region.

        @param queued  requests of this VM's own queues, by service, that go before one that is relayed here
    */
    std::vector<RegionSummary> summariseOwnRegion(
        Milliseconds now, const std::map<ServiceId, std::int64_t>& queued) const;

    /** Upstreams that are ejected now, for metrics and the time line. */
    std::vector<UpstreamId> getEjected(Milliseconds now) const;

    const RegionId& getRegion() const { return this->self; }

private:
    /** What this region can do for one request. */
    struct LocalOffer {
        std::optional<UpstreamChoice> choice; /**< Set when an upstream has room. */
        bool isUsable = false; /**< Whether any upstream is there that takes new work. */
        double load = 0; /**< Requests for each slot at the choice, or on average. */
        double running = 0; /**< Requests at all candidates. */
        double matchedShare = 0; /**< Part of the prompt whose prefix the choice probably holds. */
    };

    LocalOffer offerLocally(
        Milliseconds now, const PermittedRegions& permitted, const RoutingQuery& query, std::mt19937_64& generator);
    UpstreamChoice pickLocally(const std::vector<LocalCandidate>& candidates, const RoutingQuery& query,
        LocalOffer& offer, std::mt19937_64& generator);
    std::optional<RegionChoice> offerElsewhere(Milliseconds now, const PermittedRegions& permitted,
        const RoutingQuery& query, const LocalOffer& local, std::mt19937_64& generator) const;
    bool isWorthLeaving(const RoutingQuery& query, const LocalOffer& local, double load, Milliseconds link) const;
    double waitFor(double load, const ServiceId& service) const;
    double localWait(const RoutingQuery& query, const LocalOffer& local) const;
    double getServiceTime(const ServiceId& service) const;

    const RoutingSettings settings;
    const RegionId self;
    const VmId vm;
    std::shared_ptr<const Governance> governance = std::make_shared<const Governance>();
    UpstreamBook upstreams;
    RegionBook regions;
    PrefixIndex prefixes;
    UpstreamPicker picker;
    std::map<ServiceId, double> serviceTimes; /**< Mean length of an attempt, in milliseconds. */
};

} // namespace papayashelf
