#pragma once

#include "gateway/digest/LoadExchange.h"
#include "gateway/limits/ConfigurationFreshness.h"
#include "gateway/limits/PromptSizeFairness.h"
#include "gateway/limits/RecentMaximum.h"
#include "gateway/limits/ReturnSchedule.h"
#include "gateway/limits/SharedAllowance.h"
#include "gateway/limits/SharedRetryBudget.h"
#include "gateway/limits/StoredConfiguration.h"
#include "gateway/model/ServingConfiguration.h"
#include "gateway/model/StorePosition.h"
#include "gateway/placement/Placement.h"
#include "gateway/quarantine/PromptQuarantine.h"
#include "gateway/settings/GatewaySettings.h"
#include "gateway/stop/StopSchedule.h"
#include "gateway/streams/StreamOriginExchange.h"
#include "gateway/upstreams/UpstreamReach.h"
#include "gateway/upstreams/UpstreamTable.h"
#include "gateway/vms/VmRegistry.h"
#include <memory>
#include <random>

namespace papayashelf {

/** The properties of a request that decide whether it is admitted. */
struct AdmissionQuery {
    std::string_view host;
    std::string_view path;
    std::string_view key; /**< API key; empty if the request carries none. */
    std::optional<std::int64_t> tokens; /**< Maximum tokens that the request may use, if it states a number. */
    std::span<const PromptPartId> promptParts = {}; /**< Shared parts of its prompt, sorted. */
    const RequestIdentity* identity = nullptr; /**< May be null. */
};

/** An admitted request. */
struct Admitted {
    std::shared_ptr<const ServingConfiguration> configuration; /**< Owns the route. */
    const ServingRoute* route = nullptr;
    WorkspaceId workspace; /**< Empty on a public route. */
    ServiceId service;
    std::vector<RegionId> homes; /**< Regions that may serve the request; empty for all. */
    int priority = 5;
};

/** Why a request is refused. Each cause has a stable name for logs and responses; see toString(). */
enum class RefusalCause {
    NoConfiguration, /**< This VM has not read a configuration yet. */
    StaleConfiguration, /**< Keys cannot be trusted, because the view of the store is too old. */
    UnknownRoute,
    UnknownKey,
    OverLimit, /**< The workspace has used up its limit. */
    Stopping, /**< This VM is shutting down. */
    NoUpstream, /**< No upstream of the service is listed in a region that may serve the request. */
    UnknownStream, /**< It is not known what began the stream that the caller takes up. */
    NoUpstreamOfVersion, /**< No upstream of the version that must continue the stream is listed there. */
    AllFull, /**< No upstream has free capacity. */
    AllCold, /**< The upstreams with free capacity have just started and accept few requests. */
    AllRejecting, /**< The upstreams want no requests from this VM for a known time. */
    QuarantinedPrompt, /**< Upstreams crashed under prompts with the same parts, or under the same request. */
    UpstreamsUnreachable, /**< This VM reaches no upstream, and no VM that reaches some takes the request. */
    NoRetryLeft, /**< An upstream refused the request, and the retry budget is used up. */
    NoTimeLeft, /**< The time allowed for the request has passed. */
};

/** Returns the stable name of a cause. */
std::string_view toString(RefusalCause cause);

/** A refused request. It has not been executed here and will not be. */
struct Refusal {
    RefusalCause cause = RefusalCause::NoConfiguration;
    Milliseconds retryAfter; /**< Time after which a retry may succeed; 0 if a retry does not help. */
};

using AdmissionDecision = std::variant<Admitted, Refusal>;

/**
    Holds the state of one VM and makes its decisions, from the configuration, upstreams, VMs, limits and placement.

    The same events at the same times with the same seed give the same decisions. Times must not decrease from one call
    to the next. Thread safety: none; owned by one thread.
*/
class GatewayCore {
public:
    /**
        Creates a VM's state without a configuration.

        @param relayKey  key that other VMs must present when they relay requests to this one
        @param seed      seed of all random choices
    */
    GatewayCore(const GatewaySettings& settings, std::string relayKey, std::uint64_t seed);

    // The placement holds references to other members, so the object cannot be copied.
    GatewayCore(const GatewayCore&) = delete;
    GatewayCore& operator=(const GatewayCore&) = delete;

    //==================================================================================================================
    /** Applies a configuration if it is newer than the current one. Returns true if it was applied. */
    bool applyConfiguration(ServingDocument document);

    /**
        Records that a store read sent at the given time returned every change of the store made before it. It confirms
        nothing while the store, after it came back from an older copy, may lack the newest configuration.
    */
    void noteConfigurationConfirmation(Milliseconds sentAt);

    /** Records that the store came back from an older copy, and where it was at the first read. */
    void noteStoreRestored(Milliseconds now, StorePosition position)
    {
        this->storedConfiguration.noteRestoration(now, position);
    }

    /** Records which configuration the store holds; version 0 if it came back from a copy that lacks it. */
    void noteStoredConfiguration(ConfigurationNotice stored);

    /** Stores the latest status of a VM. Returns the last known sequence if the status is older; see VmRegistry. */
    std::optional<std::int64_t> putVm(VmAnnouncement status) { return this->vms.put(std::move(status)); }

    /** Records that a VM's status has disappeared from the store. The VM still counts until the given time. */
    void removeVm(const VmId& vm, Milliseconds keepUntil) { this->vms.remove(vm, keepUntil); }

    /** Records the position in the store up to which this VM has received every change. */
    void noteKnownRevision(StorePosition position) { this->knownRevision = std::max(this->knownRevision, position); }

    /** Returns the reports to send now, with their receivers. Call once per LoadExchange::reportInterval. */
    std::vector<std::pair<const VmAnnouncement*, DigestReport>> makeReports(Milliseconds now);

    /** Processes a report from another VM and returns the reply. */
    DigestReply answerReport(Milliseconds now, const DigestReport& report);

    /** Processes a reply. A freshness confirmation in it counts as if this VM had queried the store itself. */
    void noteReply(Milliseconds now, const DigestReply& reply);

    /** Returns true if this VM must query the store itself, because no other VM confirms its freshness. */
    bool mustQueryStore(Milliseconds now) const;

    /**
        Returns true if another VM has known a later revision for longer than changes take to arrive, which means that
        this VM's watch has failed.
    */
    bool isBehind(Milliseconds now) const
    {
        return this->behindSince && now - *this->behindSince > changePropagationTime;
    }

    /** Removes expired upstreams and VMs and updates this VM's shares of the limits. Call a few times a second. */
    void tick(Milliseconds now);

    /** Begins the shutdown: from now on the VM is not ready. */
    void beginStopping(Milliseconds now);

    //==================================================================================================================
    /** Decides whether to admit a caller's request, and counts it against the limit of its workspace. */
    AdmissionDecision admit(Milliseconds now, const AdmissionQuery& query);

    /**
        Chooses the upstream or the region for a request.

        @param priority  priority of the request; more urgent requests go first while prefill capacity is short
    */
    PlacementDecision place(Milliseconds now, PlacementQuery query, int priority);

    /**
        Returns the time after which the caller of a request that could not be placed should return.

        @param known      known time until the request can be placed; 0 if it is not known
        @param remaining  time that the caller has left
    */
    Milliseconds planReturn(Milliseconds now, const PlacementQuery& query, Milliseconds known, Milliseconds remaining);

    /** Draws the time after which a caller should return if nothing is known. @param remaining  time that it has left
     */
    Milliseconds drawReturnDelay(Milliseconds remaining);

    /** Counts a caller's request for a service, which adds to its retry budget. */
    void noteRequest(Milliseconds now, const ServiceId& service);

    /** Returns true if the service's budget has a retry left. */
    bool hasRetry(Milliseconds now, const ServiceId& service);

    /** Takes one retry from the service's budget. Returns false if none is left. */
    bool tryRetry(Milliseconds now, const ServiceId& service);

    //==================================================================================================================
    /** Returns true if callers should connect to this VM: it has a fresh configuration and is not stopping. */
    bool isReady(Milliseconds now) const;

    /** Returns true once beginStopping() was called. */
    bool isStopping() const { return this->stop.has_value(); }

    /** Returns when this VM ends its work, or nothing unless it is stopping. */
    const std::optional<StopSchedule>& getStop() const { return this->stop; }

    /** Returns false once the VM stops too soon to complete a new request. */
    bool takesRequests(Milliseconds now) const;

    /** Returns the time since the configuration was last confirmed to be current. */
    Milliseconds getConfigurationAge(Milliseconds now) const { return this->freshness.getAge(now); }

    /** Returns the configuration in force, or null before the first one. */
    const std::shared_ptr<const ServingConfiguration>& getConfiguration() const { return this->configuration; }

    /** Returns the limits on callers' requests, or the defaults before the first configuration. */
    const CallerLimits& getCallerLimits() const;

    /** Returns the region of this VM. */
    const RegionId& getRegion() const { return this->settings.region; }

    /** Returns the key that VMs must present when they relay requests to this one. */
    const std::string& getRelayKey() const { return this->relayKey; }

    /** Returns the status of this VM that is published in the store. */
    VmAnnouncement makeStatus(Milliseconds now) const;

    /** Returns the known upstreams. */
    UpstreamTable& getUpstreams() { return this->upstreams; }
    const UpstreamTable& getUpstreams() const { return this->upstreams; }

    /** Returns the known VMs. */
    const VmRegistry& getVms() const { return this->vms; }

    /** Returns the last reported load of this region's other VMs on an upstream, or nothing without any report. */
    std::optional<UpstreamLoad> getLoadOfOtherVms(const UpstreamId& upstream) const
    {
        return this->loadExchange.getLoadOfOtherVms(upstream);
    }

    /** Returns the component that chooses upstreams. */
    Placement& getPlacement() { return this->placement; }

    /** Returns whether this VM has lost its links to all upstreams. */
    UpstreamReach& getUpstreamReach() { return this->upstreamReach; }
    const UpstreamReach& getUpstreamReach() const { return this->upstreamReach; }

    /**
        Chooses upstreams of the own region to check this VM's links by, at random. Those that have probably ended only
        make up for a lack of other ones.
    */
    std::vector<UpstreamRecord> chooseCheckedUpstreams(Milliseconds now);

    /**
        Chooses upstreams of the own region that should run, to tell the end of another one from the loss of this VM's
        links. Returns none if there are too few of them to decide that.
    */
    std::vector<UpstreamRecord> chooseOtherUpstreams(Milliseconds now, const UpstreamId& ended);

    /**
        Records the result of a check of this VM's links.

        @param tried, reached  upstreams to which connections were tried and opened; nothing happens if none was tried
        @returns true if the links were lost or regained by it
    */
    bool noteReachCheck(Milliseconds now, std::size_t tried, std::size_t reached);

    /**
        Records what an upstream states of itself in an answer to this VM.

        @param upstream  the record by which the request was sent
    */
    StatementChange noteStatement(Milliseconds now, const UpstreamRecord& upstream, UpstreamStatement statement);

    /**
        Records that the process of an upstream has ended; see UpstreamTable::noteProcessEnded().

        @param upstream  the record by which the upstream was reached
        @returns true unless this was known
    */
    bool noteProcessEnded(Milliseconds now, const UpstreamRecord& upstream)
    {
        return this->upstreams.noteProcessEnded(now, upstream);
    }

    /** Records the same of a process that this VM cannot reach; see UpstreamTable::noteProbableEnd(). */
    bool noteProbableEnd(Milliseconds now, const UpstreamRecord& upstream)
    {
        return this->upstreams.noteProbableEnd(now, upstream);
    }

    /**
        Records that the process that follows one that has ended says for how long it is cold.

        @param upstream  the record by which the upstream was reached
    */
    void noteReturned(Milliseconds now, const UpstreamRecord& upstream, Milliseconds coldFor)
    {
        this->upstreams.noteContact(now, upstream, now, coldFor);
    }

    /**
        Returns the origin of a stream that no VM knows: the only one that it can be, unless the route has several
        services, there were several versions in the time in which callers take up streams, or this VM may not know all.

        @param takenUpAt  time at which the caller took up the stream; only a view that was confirmed after it is sure
                          to hold the version that began it
    */
    std::optional<StreamOrigin> findOnlyOrigin(
        Milliseconds now, const ServingRoute& route, Milliseconds takenUpAt) const;

    /**
        Returns true if findOnlyOrigin() lacks only a confirmation of this VM's view, which this VM seeks from now on.
    */
    bool needsConfirmation(Milliseconds now, const ServingRoute& route, Milliseconds takenUpAt);

    /** Returns what this VM knows of the streams that callers may take up. */
    StreamOriginExchange& getStreamOrigins() { return this->streamOrigins; }
    const StreamOriginExchange& getStreamOrigins() const { return this->streamOrigins; }

    /** Returns the prompts that are kept from upstreams. */
    PromptQuarantine& getQuarantine() { return this->quarantine; }
    const PromptQuarantine& getQuarantine() const { return this->quarantine; }

private:
    /** Upstreams of the own region in random order. */
    struct ShuffledUpstreams {
        std::vector<UpstreamRecord> sound;
        std::vector<UpstreamRecord> doubtful; /**< Those that have probably ended. */
    };

    ShuffledUpstreams shuffleUpstreams(Milliseconds now);
    std::uint64_t getVersionInForce() const { return this->configuration ? this->configuration->getVersion() : 0; }
    /** Returns true if another VM has a later configuration that the store, as far as this VM has read it, has lost. */
    bool lacksConfiguration(Milliseconds now) const;
    /** Returns the only origin that a stream can have by this VM's view, however old the view is. */
    std::optional<StreamOrigin> findOriginInView(Milliseconds now, const ServingRoute& route) const;
    bool isFresh(Milliseconds now) const { return this->freshness.isFresh(now) && !this->lacksConfiguration(now); }
    void noteConfigurationNotice(Milliseconds now, const ConfigurationNotice& notice);
    void noteSharedStatements(Milliseconds now, const std::vector<SharedStatement>& statements);
    /** Returns the time for which a service's upstreams are cold after their start. */
    Milliseconds getColdDuration(const ServiceId& service) const;
    const ServiceId& chooseService(const ServingRoute& route);
    SharedRetryBudget& getRetryBudget(const ServiceId& service);
    double getExtraRetryShare(Milliseconds now) const;
    void updateShares(Milliseconds now);
    LoadFigures measureLoad(Milliseconds now) const;

    /** Longer than a store change takes to reach every VM's watch. */
    static constexpr Milliseconds changePropagationTime { 900 };

    GatewaySettings settings;
    std::string relayKey;
    std::mt19937_64 random;
    std::shared_ptr<const ServingConfiguration> configuration;
    ConfigurationFreshness freshness;
    StoredConfiguration storedConfiguration;
    ConfigurationNotice inForce; /**< What this VM tells the others. */
    ConfigurationNotice heard; /**< Latest configuration that another VM has told of. */
    Milliseconds heardAt = Milliseconds(0) - Milliseconds::never();
    UpstreamTable upstreams;
    UpstreamReach upstreamReach;
    VmRegistry vms;
    LoadExchange loadExchange;
    StreamOriginExchange streamOrigins;
    PromptQuarantine quarantine;
    Placement placement;
    StorePosition knownRevision;
    Milliseconds confirmationNeededAfter
        = Milliseconds(0) - Milliseconds::never(); /**< For a stream that was taken up then. */
    std::optional<Milliseconds> behindSince; /**< Since when another VM has reported a later revision. */
    std::map<WorkspaceId, SharedAllowance> workspaceAllowances;
    std::map<ServiceId, SharedAllowance> prefillAllowances; /**< This VM's share of its region's prefill capacity. */
    std::map<ServiceId, ReturnSchedule> returnSchedules;
    std::map<std::pair<ServiceId, int>, PromptSizeFairness> sizeFairness; /**< By service and priority. */
    std::map<ServiceId, SharedRetryBudget> retryBudgets;
    RecentMaximum recentVmCount; /**< Number of VMs that may have used extra retries in the current window. */
    bool hasTicked = false;
    std::optional<StopSchedule> stop;
};

} // namespace papayashelf
