#pragma once

#include "gateway/digest/LoadExchange.h"
#include "gateway/limits/ColdStartLimit.h"
#include "gateway/model/ServingConfiguration.h"
#include "gateway/placement/PrefillSpeed.h"
#include "gateway/upstreams/UpstreamTable.h"
#include "gateway/vms/VmRegistry.h"
#include <random>
#include <set>
#include <variant>

namespace papayashelf {

/** What a request needs of an upstream. */
struct PlacementQuery {
    ServiceId service;
    std::vector<RegionId> homes; /**< Regions that may serve it; empty for all. */
    std::uint64_t cacheKey = 0; /**< Hash of the shared part of the prompt that is worth finding cached; 0 for none. */
    std::int64_t promptTokens = 0;
    std::int64_t sharedTokens = 0; /**< Of them, those that other requests share. */
    bool isFirstPlacement = true; /**< False while it waits for room: what it asks for is counted already. */
    std::set<UpstreamId> tried; /**< Had the request already. */
    std::set<RegionId> triedRegions; /**< Relayed to and refused there. */
    bool hasPrefillCapacity = true; /**< Whether this region's engines have time to read the prompt. */
    bool mayRelay = true; /**< False for a request that another VM relayed here. */
};

/** Send it to an upstream of this region. */
struct UseUpstream {
    UpstreamRecord upstream;
    bool isTrial = false; /**< The upstream failed lately, and no sound one is free. */
};

/** Hand it to a VM of another region. */
struct UseRelay {
    VmId vm;
    RegionId region;
    Endpoint endpoint;
    std::string relayKey;
};

/** Why no upstream takes it now. */
enum class PlacementFailureCause {
    NoUpstream, /**< None is listed, in any region that may serve it. */
    AllFull, /**< All have as much as they bear. */
    AllCold, /**< Those with room have just started. */
};

/** Nothing takes it now. */
struct PlacementFailure {
    PlacementFailureCause cause = PlacementFailureCause::NoUpstream;
};

using PlacementDecision = std::variant<UseUpstream, UseRelay, PlacementFailure>;

/** What the decision rested on, for the log. */
struct PlacementInputs {
    std::size_t candidates = 0;
    double load = 0; /**< Of the chosen upstream, as a part of its slots. */
    double cost = 0; /**< Of the chosen upstream, in milliseconds; see Placement. */
    Milliseconds loadAge; /**< Of its report. */
};

/**
    Chooses the upstream for a request.

    Every choice has a cost in milliseconds: the prompts that are to be read before, the shared part of this prompt
    where it is not likely to be cached, what other running requests slow down, and the way to another region. The
    least one is taken. Engines run out of time for reading long before they run out of slots.

    Load patterns: prompts with shared parts at a load near the engines' capacity; regional peaks that move; a region
    without upstreams. Thread safety: none; owned by one thread.
*/
class Placement {
public:
    /** @param table, vms, digests  must outlive the placement */
    Placement(VmId vm, RegionId region, const UpstreamTable& table, const VmRegistry& vms,
        const LoadExchange& loadExchange, std::uint64_t seed);

    /** Decides for one request; the same state and seed give the same decision. */
    PlacementDecision choose(Milliseconds now, const PlacementQuery& query, const ServingService& service);

    /** Prompt tokens that a region's upstreams can read in a second and still write answers well; 0 if not known. */
    double getPrefillCapacity(const ServiceId& service, const RegionId& targetRegion) const;

    /** Prompt tokens that one upstream of a service reads in a millisecond; above 0. */
    double getPrefillSpeed(const ServiceId& service) const { return this->prefillSpeed.get(service); }

    /** What the last decision rested on. */
    const PlacementInputs& getInputs() const { return this->inputs; }

    /** The VM starts now: until it knows the others, it leaves cold upstreams to them. */
    void noteStart(Milliseconds now) { this->vmsKnownAt = now + vmDiscoveryTime; }

    /** Counts the use that a decision led to. */
    void noteUse(Milliseconds now, const UpstreamId& upstream);

    /** A prompt brought its first event. @param unsharedTokens  those that no other request shares */
    void noteFirstEvent(const ServiceId& service, std::int64_t unsharedTokens, Milliseconds time)
    {
        this->prefillSpeed.addSample(service, unsharedTokens, time);
    }

    /** A relayed request began, and its prompt is read or given up. */
    void noteRelayStarted(const RegionId& to, std::int64_t tokens) { this->pendingRelayedTokens[to] += tokens; }
    void noteRelayPrefillDone(const RegionId& to, std::int64_t tokens) { this->pendingRelayedTokens[to] -= tokens; }

    /** A VM refused a relayed request or was not reached: others go first for a while. */
    void noteRelayFailed(Milliseconds now, const VmId& vm) { this->avoidedVmsUntil[vm] = now + relayRetryDelay; }

private:
    struct Candidate {
        const KnownUpstream* upstream = nullptr;
        double load = 0; /**< Requests for each slot. */
        double cost = 0; /**< In milliseconds. */
    };

    std::vector<Candidate> findCandidates(
        Milliseconds now, const PlacementQuery& query, const ServingService& service, PlacementFailureCause& cause);
    void estimateCosts(const PlacementQuery& query, std::vector<Candidate>& candidates);
    const Candidate* chooseCheapest(const std::vector<Candidate>& candidates);
    std::optional<UseRelay> findRelay(Milliseconds now, const PlacementQuery& query, double ownCost);
    double estimateRegionCost(const PlacementQuery& query, const RegionId& other) const;
    const VmAnnouncement* chooseRelayVm(Milliseconds now, const RegionId& region);
    std::vector<VmId> getOwnRegionVms() const;

    /** Until VMs that started together know each other: a status is written within 0.5 s and read within 1 s. */
    static constexpr Milliseconds vmDiscoveryTime { 2000 };
    static constexpr Milliseconds relayRetryDelay { 1000 }; /**< As long as statuses take to tell a VM's new state. */

    VmId vm;
    RegionId region;
    const UpstreamTable& table;
    const VmRegistry& vms;
    const LoadExchange& loadExchange;
    std::mt19937_64 random;
    ColdStartLimit coldLimit;
    Milliseconds vmsKnownAt;
    PrefillSpeed prefillSpeed;
    std::map<VmId, Milliseconds> avoidedVmsUntil;
    std::map<RegionId, std::int64_t>
        pendingRelayedTokens; /**< Prompts handed over that have not brought a first event. */
    PlacementInputs inputs;
};

} // namespace papayashelf
