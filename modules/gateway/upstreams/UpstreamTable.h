#pragma once

#include "gateway/upstreams/UpstreamHealth.h"
#include "gateway/upstreams/UpstreamRecord.h"
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

namespace papayashelf {

/** What is under way to a service's upstreams. */
struct ServiceLoad {
    int running = 0;
    std::int64_t pendingPrefillTokens = 0; /**< Of prompts that have not brought a first event. */
    std::int64_t requestedTokensPerSecond = 0; /**< A second, of prompts that were to be read here, let in or not. */

    /** Adds what is under way elsewhere. */
    void add(const ServiceLoad& other)
    {
        this->running += other.running;
        this->pendingPrefillTokens += other.pendingPrefillTokens;
        this->requestedTokensPerSecond += other.requestedTokensPerSecond;
    }

    bool operator==(const ServiceLoad&) const = default;
};

/** One upstream: what it says, and what this VM sees of it. */
struct KnownUpstream {
    UpstreamRecord record;
    Milliseconds coldUntil;
    UpstreamHealth health;
    int running = 0; /**< Requests from this VM that have not ended. */
    std::int64_t pendingPrefillTokens = 0; /**< Prompts from this VM that have not brought a first event. */
    ReportedLoad reported;
    int runningAtReport = 0; /**< From this VM, when the load was reported. */
    Milliseconds reportedAt;
    std::optional<Milliseconds> goneAt; /**< Set once it vanished from the list: when it is taken as gone. */

    bool isCold(Milliseconds now) const { return now < this->coldUntil; }
};

/**
    The upstreams of all regions as the platform lists them, with the load and health that this VM has seen.

    Thread safety: none; owned by one thread.
*/
class UpstreamTable {
public:
    /** Takes what an upstream says now. One that started anew under its id loses what was known of it. */
    void put(Milliseconds now, const UpstreamRecord& record);

    /** The upstream vanished from the list. It is taken as gone at the moment, unless it is listed again. */
    void remove(const UpstreamId& id, Milliseconds goneAt);

    /** Forgets those whose time has come. Returns them. */
    std::vector<UpstreamId> expire(Milliseconds now);

    /** Failure domains whose upstreams get nothing. */
    void setEvacuated(std::set<FailureDomainId> domains) { this->evacuated = std::move(domains); }
    const std::set<FailureDomainId>& getEvacuated() const { return this->evacuated; }

    //==================================================================================================================
    /** A request goes to the upstream. */
    void noteStarted(const UpstreamId& id, std::int64_t promptTokens);

    /** Its prompt is read, or given up. Precondition: noteStarted() was called with as many tokens. */
    void notePrefillDone(const UpstreamId& id, std::int64_t promptTokens);

    /** It ended. Precondition: noteStarted() was called for it. */
    void noteEnded(const UpstreamId& id);

    /** How an attempt went. */
    void noteHealthObservation(Milliseconds now, const UpstreamId& id, HealthObservation observation);

    /** A trial request goes to a suspect upstream. */
    void noteTrial(Milliseconds now, const UpstreamId& id);

    /** The load that came with an answer. */
    void noteLoad(Milliseconds now, const UpstreamId& id, const ReportedLoad& load);

    //==================================================================================================================
    /** The upstream, or null. */
    const KnownUpstream* find(const UpstreamId& id) const;

    /** Upstreams of a service in a region that may get requests: listed, not leaving, not evacuated. */
    std::vector<const KnownUpstream*> usable(const ServiceId& service, const RegionId& region) const;

    /** Slots of the usable upstreams of a service in a region. */
    int countSlots(const ServiceId& service, const RegionId& region) const;

    /** What this VM has under way at upstreams of its own region, by service. */
    std::map<ServiceId, ServiceLoad> measureLoad(const RegionId& region) const;

    const std::map<UpstreamId, KnownUpstream>& getAll() const { return this->upstreams; }

private:
    KnownUpstream* get(const UpstreamId& id);
    bool isUsable(const KnownUpstream& upstream) const;

    std::map<UpstreamId, KnownUpstream> upstreams;
    std::set<FailureDomainId> evacuated;
};

/**
    Requests that an upstream has, from all VMs: what it reported, corrected by what this VM has done since.

    @param vmsInRegion  VMs that send it requests; the estimate rests on them once the report is old
*/
double estimateLoad(const KnownUpstream& upstream, std::size_t vmsInRegion, Milliseconds now);

} // namespace papayashelf
