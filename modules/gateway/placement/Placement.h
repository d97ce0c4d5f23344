#pragma once

#include "gateway/digest/LoadExchange.h"
#include "gateway/limits/ColdStartLimit.h"
#include "gateway/limits/SlotShare.h"
#include "gateway/limits/StatedRateLimit.h"
#include "gateway/model/ServingConfiguration.h"
#include "gateway/placement/PrefillSpeed.h"
#include "gateway/placement/PromptLength.h"
#include "gateway/quarantine/PromptParts.h"
#include "gateway/upstreams/UpstreamTable.h"
#include "gateway/vms/VmRegistry.h"
#include <optional>
#include <random>
#include <set>
#include <variant>

namespace papayashelf {

/** The requirements of a request on its upstream. */
struct PlacementQuery {
    ServiceId service;
    std::vector<RegionId> homes; /**< Regions that may serve the request; empty for all. */
    std::uint64_t cacheKey = 0; /**< Hash of the shared part of the prompt that is worth caching; 0 for none. */
    std::optional<SoftwareVersion> version; /**< Of the upstreams that may be used; none for any version. */
    std::int64_t promptTokens = 0;
    std::int64_t sharedTokens = 0; /**< Prompt tokens that other requests share. */
    bool isFirstPlacement = true; /**< False after a wait for capacity, as the demand is already counted. */
    /** Shared parts of the prompt, sorted; with the identity of the request if crashes are known under it. */
    std::span<const PromptPartId> promptParts;
    std::set<UpstreamId> tried; /**< Upstreams that already received the request. */
    std::set<RegionId> triedRegions; /**< Regions that refused the relayed request. */
    /** False if only upstreams that limit the number of requests have capacity to prefill the prompt. */
    bool hasPrefillCapacity = true;
    bool mayRelay = true; /**< False for a request that another VM relayed here. */
    bool mayTrySuspects = true; /**< False if the request must not be the trial of a suspect upstream. */
    bool mayUseOwnUpstreams = true; /**< False while this VM reaches no upstream of its region. */
    std::set<VmId> triedVms; /**< VMs that reached no upstream, or of this region, that refused the request. */
};

/** Decision to send the request to an upstream of this region. */
struct UseUpstream {
    UpstreamRecord upstream;
    bool isTrial = false; /**< True if the upstream is suspect and the request is a trial. */
    /** Upstream that probably holds the shared prompt parts if this one does not. */
    std::optional<Endpoint> cacheSource;
};

/** Decision to relay the request to another VM, of this region only while this VM reaches no upstream. */
struct UseRelay {
    VmId vm;
    RegionId region;
    Endpoint endpoint;
    std::string relayKey;
};

/** Why no upstream can take a request now. */
enum class PlacementFailureCause {
    NoUpstream, /**< No upstream is listed in a region that may serve the request. */
    NoUpstreamOfVersion, /**< No upstream of the version that must continue the stream is listed there. */
    AllFull, /**< All upstreams are at capacity. */
    AllCold, /**< The upstreams with free capacity have just started. */
    AllRejecting, /**< The upstreams want no requests from this VM for a known time. */
    Quarantined, /**< Upstreams crashed under prompts with the same parts, or under the same request. */
    Unreachable, /**< This VM reaches no upstream, and no VM that reaches some takes the request. */
};

/** Decision that nothing can take the request now. */
struct PlacementFailure {
    PlacementFailureCause cause = PlacementFailureCause::NoUpstream;
    Milliseconds retryAfter; /**< Known time until the cause ends; 0 if it is not known. */
};

using PlacementDecision = std::variant<UseUpstream, UseRelay, PlacementFailure>;

/** Values that a decision was based on, for the log. */
struct PlacementInputs {
    std::size_t candidates = 0;
    double load = 0; /**< Load of the cheapest upstream, as a fraction of its slots. */
    double cost = 0; /**< Cost of the cheapest upstream in milliseconds; see Placement. */
    Milliseconds loadAge; /**< Age of its load report. */
};

/**
    Chooses the upstream for a request.

    Every option has a cost in milliseconds, and the cheapest one is chosen. The cost adds up the pending prefill of
    earlier prompts, the prefill of this prompt's shared part where it is unlikely to be cached, the slowdown by other
    running requests, and the network time to another region. Engines run out of prefill capacity long before they run
    out of slots. An upstream that does not have the shared part fetches it from the one that probably has.

    Load patterns: prompts with shared parts at a load close to the engines' capacity; peaks that move between regions;
    a region without upstreams. Thread safety: none; owned by one thread.
*/
class Placement {
public:
    /** Creates the placement of one VM. @param table, vms, digests  must outlive the placement */
    Placement(VmId vm, RegionId region, const UpstreamTable& table, const VmRegistry& vms,
        const LoadExchange& loadExchange, std::uint64_t seed);

    /** Chooses a place for one request. The same state and seed give the same decision. */
    PlacementDecision choose(Milliseconds now, const PlacementQuery& query, const ServingService& service);

    /**
        Returns the prompt tokens per second that this region's upstreams accept and can prefill without slowing
        responses too much; 0 if no upstream accepts requests from this VM.
    */
    double getPrefillCapacity(Milliseconds now, const ServiceId& service) const;

    /**
        Returns the tokens of getPrefillCapacity() that a prompt uses at an upstream: a long one no more than the mean
        where the upstream limits the number of requests and not their length.
    */
    double getUsedPrefill(const UpstreamId& id, double tokens) const;

    /** Returns the part of the prefill capacity of this region's upstreams that their stated limits leave; 0 to 1. */
    double getAcceptedShare(const ServiceId& service) const;

    /** Returns the prefill speed of one upstream of a service, in prompt tokens per millisecond; above 0. */
    double getPrefillSpeed(const ServiceId& service) const { return this->prefillSpeed.get(service); }

    /** Returns the values that the last decision was based on. */
    const PlacementInputs& getInputs() const { return this->inputs; }

    /** Records that the VM starts now. It sends cold upstreams nothing until it knows the other VMs. */
    void noteStart(Milliseconds now) { this->vmsKnownAt = now + vmDiscoveryTime; }

    /** Records that an upstream was chosen for a prompt. @param tokens  prompt tokens that it probably has to read */
    void notePlaced(const ServiceId& service, double tokens) { this->promptLength.addSample(service, tokens); }

    /** Records that a request is sent to an upstream. */
    void noteUse(Milliseconds now, const UpstreamId& upstream);

    /**
        Records the time from a request to its first event.

        @param unsharedTokens  prompt tokens that no other request shares
    */
    void noteFirstEvent(const ServiceId& service, std::int64_t unsharedTokens, Milliseconds time)
    {
        this->prefillSpeed.addSample(service, unsharedTokens, time);
    }

    /** Records that a request with so many prompt tokens was relayed to a region. */
    void noteRelayStarted(const RegionId& to, std::int64_t tokens) { this->pendingRelayedTokens[to] += tokens; }

    /** Records that a relayed prompt's prefill ended or was abandoned. Precondition: noteRelayStarted() was called. */
    void noteRelayPrefillDone(const RegionId& to, std::int64_t tokens) { this->pendingRelayedTokens[to] -= tokens; }

    /** Removes the state of an upstream that no longer exists. */
    void forget(const UpstreamId& upstream)
    {
        this->coldLimit.forget(upstream);
        this->statedLimit.forget(upstream);
        this->slotShare.forget(upstream);
    }

    /** Records that a VM refused a relayed request or was unreachable. It gets no relayed requests for a while. */
    void noteRelayFailed(Milliseconds now, const VmId& vm) { this->avoidedVmsUntil[vm] = now + relayRetryDelay; }

private:
    struct Candidate {
        const KnownUpstream* upstream = nullptr;
        double load = 0; /**< Running requests per slot. */
        std::int64_t pendingTokens = 0; /**< Tokens of prompts without a first event, of all VMs as far as known. */
        double cost = 0; /**< Cost in milliseconds; see Placement. */
    };

    /** Returns true unless the request needs another software version, or it is uncertain which one answers. */
    static bool mayUseVersion(const PlacementQuery& query, const KnownUpstream& upstream);
    /** Returns true if any upstream of the version that a request needs is listed where the request may go. */
    bool isVersionListed(const PlacementQuery& query) const;
    /**
        Returns true if this VM has all the requests at an upstream that it may have there while each rejection might
        make the upstream fail.
    */
    bool isSlotShareUsed(Milliseconds now, const KnownUpstream& upstream, const std::vector<VmId>& regionVms);
    /** Returns true if the request may use an upstream that may have rejected requests shortly before. */
    bool mayReturnTo(Milliseconds now, const KnownUpstream& upstream, std::size_t regionVms);
    /** Returns the time until the first of the service's upstreams accepts requests again; 0 if none rejects them. */
    Milliseconds getRejectionTime(Milliseconds now, const ServiceId& service) const;
    /** Returns the prompt tokens per second that an upstream may prefill if it states no limit. */
    double getFullPrefillCapacity(const ServiceId& service) const;
    /** Returns the same under the limit that an upstream states. */
    double getStatedPrefillCapacity(const KnownUpstream& upstream) const;
    /** Returns true if the limit that an upstream states leaves a part of its prefill capacity unused. */
    bool isBoundByRequests(const KnownUpstream& upstream) const;
    std::vector<Candidate> findCandidates(
        Milliseconds now, const PlacementQuery& query, const ServingService& service, PlacementFailureCause& cause);
    void estimateCosts(const PlacementQuery& query, std::vector<Candidate>& candidates);
    std::optional<Endpoint> findCacheSource(
        Milliseconds now, const PlacementQuery& query, const KnownUpstream& chosen) const;
    const Candidate* chooseCheapest(const std::vector<Candidate>& candidates);
    /** Without own upstreams a busy region is used too: its VMs know its load best, and refuse what does not fit. */
    std::optional<UseRelay> findRelay(
        Milliseconds now, const PlacementQuery& query, double ownCost, bool hasOwnUpstreams);
    double estimateRegionCost(const PlacementQuery& query, const RegionId& other, bool needsFreeCapacity) const;
    const VmAnnouncement* chooseRelayVm(Milliseconds now, const PlacementQuery& query, const RegionId& region);
    /** Returns a relay to another VM of this region, or nothing if none may serve the request. */
    std::optional<UseRelay> findHandOver(Milliseconds now, const PlacementQuery& query);
    std::vector<VmId> getOwnRegionVms() const;

    /** Time until VMs that start together know each other: a status is written within 0.5 s and read within 1 s. */
    static constexpr Milliseconds vmDiscoveryTime { 2000 };
    static constexpr Milliseconds relayRetryDelay { 1000 }; /**< Equals the time until a VM's new status arrives. */

    VmId vm;
    RegionId region;
    const UpstreamTable& table;
    const VmRegistry& vms;
    const LoadExchange& loadExchange;
    std::mt19937_64 random;
    ColdStartLimit coldLimit;
    StatedRateLimit statedLimit;
    SlotShare slotShare;
    Milliseconds vmsKnownAt;
    PrefillSpeed prefillSpeed;
    PromptLength promptLength;
    std::map<VmId, Milliseconds> avoidedVmsUntil;
    std::map<RegionId, std::int64_t> pendingRelayedTokens; /**< Tokens of relayed prompts without a first event. */
    PlacementInputs inputs;
};

} // namespace papayashelf
