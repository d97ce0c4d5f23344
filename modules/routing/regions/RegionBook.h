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

/** A VM of another region that takes relays. */
struct RelayTarget {
    VmId vm;
    Endpoint endpoint;
};

/**
    The other regions: how busy they say they are, how much their links carry, and which VMs take relays.

    Thread safety: none; owned by one thread.
*/
class RegionBook {
public:
    RegionBook(const RoutingSettings& settings, RegionId self);

    void setGovernance(const Governance& governance);
    void setMembers(const std::vector<Member>& members);
    std::int64_t countOwnRegionVms() const { return this->ownRegionVms; }
    void handleSummary(Milliseconds now, const RegionSummary& summary);

    /** The other regions that are permitted, known to be up for the service, and have a VM that takes relays. */
    std::vector<RegionId> findUsable(
        Milliseconds now, const PermittedRegions& permitted, const ServiceId& service) const;

    /**
        Requests for each slot in a region, relays under way included; higher the older the summary is.

        Precondition: the region is usable.
    */
    double estimateLoad(Milliseconds now, const RegionId& region, const ServiceId& service) const;

    /** What the link to a region adds to a request of so many bytes. */
    Milliseconds estimateLinkTime(Milliseconds now, const RegionId& region, std::int64_t bytes) const;

    /** False while a region that was away has as many of this VM's relays as its ramp allows. */
    bool allowsRelay(Milliseconds now, const RegionId& region, const ServiceId& service) const;

    /** A VM to relay to, with few relays under way. Nothing if there is none. */
    std::optional<RelayTarget> pickVm(Milliseconds now, const RegionId& region, std::mt19937_64& generator) const;

    void noteStarted(
        Milliseconds now, const RegionId& region, const ServiceId& service, const VmId& vm, std::int64_t bytes);
    void noteEnded(Milliseconds now, const RegionId& region, const ServiceId& service, const VmId& vm, bool failed);

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
        double recentBytes = 0; /**< Decays with time. */
        Milliseconds decayedAt;
        Milliseconds lastHeard;
        Milliseconds rampFrom;
        bool wasHeard = false;
        bool isRamping = false;
    };
    struct VmRelays {
        std::int64_t count = 0;
        Milliseconds avoidedUntil;
    };

    double getRamp(Milliseconds now, const LinkRecord& link) const;
    double recentBytesAt(Milliseconds now, const LinkRecord& link) const;

    const RoutingSettings settings;
    const RegionId self;
    std::map<std::pair<RegionId, ServiceId>, ServiceRecord> services;
    std::map<RegionId, LinkRecord> links;
    std::map<RegionId, std::vector<RelayTarget>> targets;
    std::map<VmId, VmRelays> relays;
    std::int64_t ownRegionVms = 1;
};

} // namespace papayashelf
