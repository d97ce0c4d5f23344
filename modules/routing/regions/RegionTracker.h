#pragma once

#include "membership/messages/MembershipMessages.h"
#include "model/governance/Governance.h"
#include "routing/messages/RoutingMessages.h"
#include "routing/residency/ResidencyFilter.h"
#include "routing/settings/RoutingSettings.h"
#include <map>
#include <optional>
#include <random>
#include <vector>

namespace papayashelf {

/** A live VM of another region to which requests can be relayed. */
struct RelayTarget {
    VmId vm;
    Endpoint endpoint;
};

/**
    Tracks the reported load of the other regions, the traffic on the links to them, and their VMs that accept relays.

    Thread safety: none; owned by one thread.
*/
class RegionTracker {
public:
    /** Creates a tracker for a VM in the given region. */
    RegionTracker(const RoutingSettings& settings, RegionId self);

    /** Applies a new revision: sets the link speeds and drops removed regions and services. */
    void setGovernance(const Governance& governance);
    /** Sets the VMs of all regions; only live ones get relays. */
    void setMembers(const std::vector<Member>& members);
    /** Returns the number of live VMs in this region, at least 1. */
    std::int64_t countOwnRegionVms() const { return this->ownRegionVms; }
    /** Stores another region's summary; invalid ones and those of unknown regions are ignored. */
    void handleSummary(Milliseconds now, const RegionSummary& summary);

    /**
        Returns the other permitted regions that have a fresh summary with slots for the service, and a live VM.
    */
    std::vector<RegionId> findUsable(
        Milliseconds now, const PermittedRegions& permitted, const ServiceId& service) const;

    /**
        Estimates the requests per slot in a region, including relays started since its last summary. The estimate
        rises with the age of the summary.

        Precondition: findUsable() returned the region for the service.
    */
    double estimateLoad(Milliseconds now, const RegionId& region, const ServiceId& service) const;

    /** Estimates the round-trip and transfer time that the link to a region adds to a request of this size. */
    Milliseconds estimateLinkTime(Milliseconds now, const RegionId& region, std::int64_t bytes) const;

    /** Returns false while a recovered region already has as many relays of this VM as its ramp-up allows. */
    bool allowsRelay(Milliseconds now, const RegionId& region, const ServiceId& service) const;

    /** Picks the VM with fewer relays in progress out of two random ones; nothing if no VM is available. */
    std::optional<RelayTarget> pickVm(Milliseconds now, const RegionId& region, std::mt19937_64& generator) const;

    /** Records a relay that was started, with its expected bytes. */
    void noteStarted(
        Milliseconds now, const RegionId& region, const ServiceId& service, const VmId& vm, std::int64_t bytes);
    /** Records a relay that goes on in silence; its VM is avoided for a short time. */
    void noteSilent(Milliseconds now, const VmId& vm);
    /** Records a relay that ended. The VM is avoided for a short time if it failed. */
    void noteEnded(Milliseconds now, const RegionId& region, const ServiceId& service, const VmId& vm, bool hasFailed);

private:
    struct ServiceRecord {
        RegionSummary summary;
        Milliseconds receivedAt;
        std::int64_t ownRelays = 0;
        std::int64_t ownRelaysAtSummary = 0;
        bool hasSummary = false;
    };
    struct LinkRecord {
        double megabitsPerSecond = 0;
        double recentBytes = 0; /**< Expected bytes of recent relays, decaying exponentially. */
        Milliseconds decayedAt;
        Milliseconds lastReportedAt;
        Milliseconds rampStartedAt;
        bool hasReported = false;
        bool isRamping = false;
    };
    struct VmRelays {
        std::int64_t count = 0;
        Milliseconds avoidedUntil;
    };

    double getRampFraction(Milliseconds now, const LinkRecord& link) const;
    double estimateRecentBytes(Milliseconds now, const LinkRecord& link) const;

    const RoutingSettings settings;
    const RegionId self;
    std::map<std::pair<RegionId, ServiceId>, ServiceRecord> services;
    std::map<RegionId, LinkRecord> links;
    std::map<RegionId, std::vector<RelayTarget>> relayTargets;
    std::map<VmId, VmRelays> relays;
    std::int64_t ownRegionVms = 1;
};

} // namespace papayashelf
