#pragma once

#include "dispatch/retries/RetryBudget.h"
#include "gateway/digest/LoadExchange.h"
#include "gateway/limits/ConfigurationFreshness.h"
#include "gateway/limits/SharedAllowance.h"
#include "gateway/model/ServingConfiguration.h"
#include "gateway/placement/Placement.h"
#include "gateway/settings/GatewaySettings.h"
#include "gateway/upstreams/UpstreamTable.h"
#include "gateway/vms/VmRegistry.h"
#include <memory>
#include <random>

namespace papayashelf {

/** What of a request decides whether it is let in. */
struct AdmissionQuery {
    std::string_view host;
    std::string_view path;
    std::string_view key; /**< Empty if it carries none. */
    std::optional<std::int64_t> tokens; /**< That it may use in all, if it says so. */
};

/** A request that was let in. */
struct Admitted {
    std::shared_ptr<const ServingConfiguration> configuration; /**< Keeps the route alive. */
    const ServingRoute* route = nullptr;
    WorkspaceId workspace; /**< Empty on a public route. */
    ServiceId service;
    std::vector<RegionId> homes; /**< Regions that may serve it; empty for all. */
    int priority = 5;
};

/** Why a request is turned away. Each has a stable name for logs and answers. */
enum class RefusalCause {
    NoConfiguration, /**< This VM has not read one yet. */
    StaleConfiguration, /**< Keys cannot be trusted: the store has not been reached for too long. */
    UnknownRoute,
    UnknownKey,
    OverLimit, /**< The workspace has used its limit. */
    Stopping, /**< This VM ends soon. */
    NoUpstream,
    AllFull,
    AllCold,
    NoRetryLeft, /**< An upstream turned it away, and the retry budget is spent. */
    NoTimeLeft,
};

/** The stable name of a cause. */
std::string_view toString(RefusalCause cause);

/** A request turned away: it has not run here and will not. */
struct Refusal {
    RefusalCause cause = RefusalCause::NoConfiguration;
    Milliseconds retryAfter; /**< When it may succeed; 0 where coming back does not help. */
};

using AdmissionDecision = std::variant<Admitted, Refusal>;

/**
    What one VM believes and decides: the configuration in force, upstreams, VMs, limits and placement, joined.

    The same events at the same times with the same seed give the same decisions. Time must not go back from call to
    call. Thread safety: none; owned by one thread.
*/
class GatewayCore {
public:
    GatewayCore(const GatewaySettings& settings, std::string relayKey, std::uint64_t seed);

    // The placement refers to the other members.
    GatewayCore(const GatewayCore&) = delete;
    GatewayCore& operator=(const GatewayCore&) = delete;

    //==================================================================================================================
    /** Puts a configuration in force if it is newer than the one that is. True if it was. */
    bool applyConfiguration(ServingDocument document);

    /** A read sent at the moment has shown every change of the configuration until then. */
    void noteConfigurationConfirmation(Milliseconds sentAt) { this->freshness.noteConfirmation(sentAt); }

    /** A VM's newest status. */
    void putVm(VmAnnouncement status) { this->vms.put(std::move(status)); }

    /** A VM's status is gone; it counts until the moment. */
    void removeVm(const VmId& vm, Milliseconds keepUntil) { this->vms.remove(vm, keepUntil); }

    /** The store's revision up to which this VM knows every change. */
    void noteKnownRevision(std::int64_t revision) { this->knownRevision = std::max(this->knownRevision, revision); }

    /** The reports that this VM sends now. Call once each LoadExchange::reportInterval. */
    std::vector<std::pair<const VmAnnouncement*, DigestReport>> makeReports(Milliseconds now);

    /** Takes a report of another VM and answers it. */
    DigestReply answerReport(Milliseconds now, const DigestReport& report);

    /** Takes a reply; what it vouches for counts as if this VM had asked the store. */
    void noteReply(Milliseconds now, const DigestReply& reply);

    /** True if this VM must ask the store itself, because nobody vouches for its view. */
    bool mustQueryStore(Milliseconds now) const;

    /** True if another VM has known of a later change for longer than news take: the watch must have gone silent. */
    bool isBehind(Milliseconds now) const
    {
        return this->behindSince && now - *this->behindSince > changePropagationTime;
    }

    /** Forgets upstreams and VMs whose time has come, and shares limits out anew. Call a few times a second. */
    void tick(Milliseconds now);

    /** From now on the VM is not ready: it ends soon. */
    void beginStopping(Milliseconds now);

    //==================================================================================================================
    /** Decides whether a caller's request is let in, and counts it against its workspace's limit. */
    AdmissionDecision admit(Milliseconds now, const AdmissionQuery& query);

    /**
        Chooses where a request goes.

        @param priority  of the request; while engines are short of time, the more urgent get it first
    */
    PlacementDecision place(Milliseconds now, PlacementQuery query, int priority);

    /** When the service's engines here may have time for another prompt. */
    Milliseconds getPrefillWait(Milliseconds now, const ServiceId& service);

    /** A caller's request for a service came in: it earns retries. */
    void noteRequest(const ServiceId& service);

    /** Takes one retry of the service's budget; false if there is none. */
    bool tryRetry(Milliseconds now, const ServiceId& service);

    //==================================================================================================================
    /** Whether callers should be sent here: configured, fresh and not stopping. */
    bool isReady(Milliseconds now) const;

    bool isStopping() const { return this->stoppingSince.has_value(); }

    /** False once the VM ends too soon for a new request to be finished. */
    bool takesRequests(Milliseconds now) const;
    Milliseconds getConfigurationAge(Milliseconds now) const { return this->freshness.getAge(now); }
    const std::shared_ptr<const ServingConfiguration>& getConfiguration() const { return this->configuration; }
    const CallerLimits& getCallerLimits() const;
    const std::string& getRelayKey() const { return this->relayKey; }

    /** What the store is told of this VM. */
    VmAnnouncement makeStatus(Milliseconds now) const;

    UpstreamTable& getUpstreams() { return this->upstreams; }
    const UpstreamTable& getUpstreams() const { return this->upstreams; }
    const VmRegistry& getVms() const { return this->vms; }
    Placement& getPlacement() { return this->placement; }

private:
    const ServiceId& chooseService(const ServingRoute& route);
    RetryBudget& getBudget(const ServiceId& service);
    void updateShares();
    LoadFigures measureLoad(Milliseconds now) const;

    static constexpr Milliseconds changePropagationTime {
        900
    }; /**< Longer than a change takes to reach every VM's watch. */

    GatewaySettings settings;
    std::string relayKey;
    std::mt19937_64 random;
    std::shared_ptr<const ServingConfiguration> configuration;
    ConfigurationFreshness freshness;
    UpstreamTable upstreams;
    VmRegistry vms;
    LoadExchange loadExchange;
    Placement placement;
    std::int64_t knownRevision = 0;
    std::optional<Milliseconds> behindSince; /**< Since when another VM has known of a later change. */
    std::map<WorkspaceId, SharedAllowance> workspaceAllowances;
    std::map<ServiceId, SharedAllowance>
        prefillAllowances; /**< This VM's part of what its region's engines can read. */
    std::map<ServiceId, RetryBudget> budgets;
    std::size_t budgetVmCount = 0; /**< Among which the budgets were split. */
    bool hasTicked = false;
    std::optional<Milliseconds> stoppingSince;
};

} // namespace papayashelf
