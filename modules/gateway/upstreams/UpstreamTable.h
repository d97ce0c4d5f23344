#pragma once

#include "gateway/upstreams/UpstreamHealth.h"
#include "gateway/upstreams/UpstreamRecord.h"
#include <algorithm>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

namespace papayashelf {

/** The load on a service's upstreams. */
struct ServiceLoad {
    int running = 0; /**< Requests that have not ended. */
    std::int64_t pendingPrefillTokens = 0; /**< Tokens of prompts without a first event. */
    std::int64_t requestedTokensPerSecond = 0; /**< Prompt tokens per second that callers request, admitted or not. */
    double acceptedShare = 1; /**< Part of the prefill capacity that the upstreams' stated limits leave; 0 to 1. */

    /** Adds the load from another VM of the region. The VM that knows most of the limits determines what they leave. */
    void add(const ServiceLoad& other)
    {
        this->running += other.running;
        this->pendingPrefillTokens += other.pendingPrefillTokens;
        this->requestedTokensPerSecond += other.requestedTokensPerSecond;
        this->acceptedShare = std::min(this->acceptedShare, other.acceptedShare);
    }

    bool operator==(const ServiceLoad&) const = default;
};

/** The load that one or more VMs put on one upstream. */
struct UpstreamLoad {
    int running = 0; /**< Requests that have not ended. */
    std::int64_t pendingPrefillTokens = 0; /**< Tokens of prompts without a first event. */

    /** Adds the load from another VM. */
    void add(const UpstreamLoad& other)
    {
        this->running += other.running;
        this->pendingPrefillTokens += other.pendingPrefillTokens;
    }

    bool operator==(const UpstreamLoad&) const = default;
};

/** One upstream: its own record and what this VM has observed of it. */
struct KnownUpstream {
    UpstreamRecord record;
    Milliseconds coldUntil;
    UpstreamHealth health;
    int running = 0; /**< Requests from this VM that have not ended. */
    std::int64_t pendingPrefillTokens = 0; /**< Tokens of prompts from this VM without a first event. */
    ReportedLoad reported; /**< Last load that it reported. */
    int runningAtReport = 0; /**< Running requests from this VM when the load was reported. */
    Milliseconds reportedAt;
    /** Requests per second that it accepts from all VMs together, by its last statement; empty for no limit. */
    std::optional<double> requestsPerSecond;
    Milliseconds statedAt; /**< Time of its last statement, to this or another VM. */
    Milliseconds limitEndedAt; /**< Time at which its last limit ended; 0 if it had none. */
    int sentSinceLimited = 0; /**< Requests from this VM since its limit began. */
    /** Rejections in a second above which it fails, by its last statement; empty if it bears any number. */
    std::optional<double> rejectionLimit;
    Milliseconds rejectionLimitStatedAt; /**< Time of that statement, to this or another VM; 0 if there was none. */
    Milliseconds rejectionLimitEndedAt; /**< Time at which its last limit on rejections ended; 0 if it had none. */
    std::optional<Milliseconds> leavingSince; /**< Time at which this VM learned that it is about to end. */
    Milliseconds rejectsUntil; /**< Until then it wants no requests from this VM. */
    std::optional<Milliseconds> goneAt; /**< Set when it disappears from the list: time at which it is removed. */
    /** Last time at which its process was known to have ended. What answers since then has just started. */
    std::optional<Milliseconds> endedAt;
    std::optional<Milliseconds> returnedAt; /**< Time of the first answer since its process ended. */
    /** Whether this VM may have taken the loss of its own links for that end. */
    bool isEndUncertain = false;
    /** A start that another VM knows and that is later than that of its entry here; 0 if there is none. */
    std::int64_t laterStart = 0;
    Milliseconds contactSince; /**< Since when this VM has had connections to one process without interruption. */
    Milliseconds lastContactAt; /**< Time of the last answer. */
    Milliseconds lastBytesAt; /**< Time of the last bytes of any answer; 0 if there were none. */

    /** Returns true while the upstream accepts only few requests after its start. */
    bool isCold(Milliseconds now) const { return now < this->coldUntil; }

    /** Returns true if its process has ended and nothing has answered at its address since. */
    bool hasEnded() const { return this->endedAt && !this->returnedAt; }

    /** Returns true if the process that answers is certainly the one that wrote the entry. */
    bool isEntryOfProcess() const { return !this->endedAt && this->laterStart == 0; }

    /** Returns true while it wants no requests from this VM. */
    bool isRejecting(Milliseconds now) const { return now < this->rejectsUntil; }
};

/** The last that is known of an upstream, by which older entries are told from later ones. */
struct UpstreamOrder {
    Endpoint endpoint;
    std::int64_t startedAt = 0;
    std::int64_t sequence = 0;
    bool isLeaving = false;

    /**
        Returns true if the record is of an earlier incarnation, contradicts that this one leaves, or has an earlier
        sequence. Records without a sequence, or with another endpoint and no later start, have no order.
    */
    bool precludes(const UpstreamRecord& record, bool hasEarlierSequence) const;

    /** Returns true if the record is of the incarnation that leaves. An incarnation without a start may be another. */
    bool hasLeft(const UpstreamRecord& record) const;

    bool operator==(const UpstreamOrder&) const = default;
};

/** The last statement of an upstream that concerns all VMs of its region, for other VMs. */
struct SharedStatement {
    UpstreamId upstream;
    std::int64_t startedAt = 0; /**< Start of the incarnation that stated it; see UpstreamRecord::startedAt. */
    std::optional<double> requestsPerSecond; /**< Empty if it states no limit any more. */
    bool isLeaving = false;
    Milliseconds age; /**< Time since the upstream last stated a limit or that it has none. */
    std::optional<Milliseconds> endedFor
        = {}; /**< Time since its process was last known to have ended; empty if it runs. */
    std::optional<Milliseconds> returnedFor = {}; /**< Time since it first answered again; empty if it has not. */
    Milliseconds coldFor = {}; /**< Time for which the process that started last is cold; 0 if it is warm or unknown. */
    std::optional<double> rejectionLimit = {}; /**< Empty if it states no limit on rejections any more. */
    /** Time since it last stated a limit on rejections or that it has none; empty if there is no news of it. */
    std::optional<Milliseconds> rejectionLimitAge = {};

    bool operator==(const SharedStatement&) const = default;
};

/** What has changed by a statement. */
struct StatementChange {
    bool limit = false; /**< Its limit has begun, changed or ended. */
    bool rejectionLimit = false; /**< The same of its limit on rejections. */
    bool leaving = false; /**< It is known to leave from now on. */
    bool rejecting = false; /**< It wants no requests from this VM for longer than was known. */

    bool operator==(const StatementChange&) const = default;
};

/**
    The upstreams of all regions in the platform's list, with the load and health that this VM has observed.

    Thread safety: none; owned by one thread.
*/
class UpstreamTable {
public:
    /**
        Stores an upstream's latest record. A restart under the same id discards its observed health and load.

        A record that is older than what is known is passed over: an incarnation that leaves does not become usable
        again, and one that has ended needs a higher sequence. If such an entry stays listed for longer than one that is
        no longer renewed, it is applied after all, unless its incarnation leaves.

        @returns what is known, if the record was passed over
    */
    std::optional<UpstreamOrder> put(Milliseconds now, const UpstreamRecord& record);

    /** Records that an upstream was unlisted. It is removed at the given time, unless it is listed again. */
    void remove(const UpstreamId& id, Milliseconds goneAt);

    /** Removes the upstreams whose removal time has passed, and applies entries that were passed over but have stayed
        listed. Returns the ids of the removed upstreams. Call a few times a second. */
    std::vector<UpstreamId> expire(Milliseconds now);

    /** Returns the number of ended upstreams whose order is remembered. */
    std::size_t countRemembered() const { return this->ended.size(); }

    /** Sets the evacuated failure domains, whose upstreams receive no requests. */
    void setEvacuated(std::set<FailureDomainId> domains) { this->evacuated = std::move(domains); }

    /** Returns the evacuated failure domains. */
    const std::set<FailureDomainId>& getEvacuated() const { return this->evacuated; }

    //==================================================================================================================
    /** Records that a request is sent to the upstream. */
    void noteStarted(const UpstreamId& id, std::int64_t promptTokens);

    /** Records that a prefill ended or was abandoned. Precondition: noteStarted() was called with as many tokens. */
    void notePrefillDone(const UpstreamId& id, std::int64_t promptTokens);

    /** Records that a request ended. Precondition: noteStarted() was called for it. */
    void noteEnded(const UpstreamId& id);

    /** Records that bytes of an answer have arrived. */
    void noteBytes(Milliseconds now, const UpstreamId& id);

    /** Records the result of an attempt. */
    void noteHealthObservation(Milliseconds now, const UpstreamId& id, HealthObservation observation);

    /** Records that a trial request is sent to a suspect upstream. */
    void noteTrial(Milliseconds now, const UpstreamId& id);

    /**
        Records what an upstream states of itself. Does nothing if it has restarted, as what ended says nothing of what
        began.

        @param upstream  the record by which the request was sent
    */
    StatementChange noteStatement(Milliseconds now, const UpstreamRecord& upstream, const UpstreamStatement& statement);

    /**
        Records that the process of an upstream has ended. Until the list names a later start, whatever answers at its
        address counts as just started. Does nothing if the list already names one.

        @param upstream  the record by which the upstream was reached
        @returns true unless this was known
    */
    bool noteProcessEnded(Milliseconds now, const UpstreamRecord& upstream);

    /** Does the same for an end that is uncertain, and so not told to other VMs, until confirmEnd() is called. */
    bool noteProbableEnd(Milliseconds now, const UpstreamRecord& upstream);

    /** Records that the last known end of the process is certain, so that other VMs are told of it. */
    void confirmEnd(const UpstreamId& id);

    /**
        Records that the process of an upstream has not ended since the time of an uncertain end. Does nothing if its
        end is certain.
    */
    void refuteEnd(const UpstreamId& id);

    /** Discards what the last attempts at a region's upstreams say of their health, as the VM's links were lost. */
    void discardHealth(const RegionId& region);

    /**
        Records an answer of an upstream. The first one after its process ended begins the time for which it is cold;
       one over a connection that was opened before shows that the process has not ended.

        @param connectedAt  time at which the connection of the answer was opened
        @param coldFor      time for which the service's upstreams are cold after their start
    */
    void noteContact(Milliseconds now, const UpstreamRecord& upstream, Milliseconds connectedAt, Milliseconds coldFor);

    /**
        Records a statement that another VM received. A limit is ignored if this VM knows a later statement, and the end
        of a process if this VM has had answers of it since.

        @param coldFor  time for which the service's upstreams are cold after their start
    */
    void noteStatement(Milliseconds now, const SharedStatement& statement, Milliseconds coldFor = Milliseconds(0));

    /** Returns what a region's upstreams have recently stated of limits, their end, and leaving, and whose processes
       have ended. */
    std::vector<SharedStatement> getSharedStatements(Milliseconds now, const RegionId& region) const;

    /**
        Records that an upstream rejected a request of this VM. One that states a limit on rejections gets no requests
        from this VM for a while.
    */
    void noteRejection(Milliseconds now, const UpstreamId& id);

    /** Records the load that an upstream reported in a response. */
    void noteLoad(Milliseconds now, const UpstreamId& id, const ReportedLoad& load);

    //==================================================================================================================
    /** Returns the upstream, or null. */
    const KnownUpstream* find(const UpstreamId& id) const;

    /**
        Returns the software version of the process that answers a request, or an empty one if it is uncertain, as the
        upstream has restarted or may have.

        @param upstream  the record by which the request was sent
    */
    SoftwareVersion findVersion(const UpstreamRecord& upstream) const;

    /**
        Returns the software version that all upstreams of a service have had for a while, in all regions, or nothing if
        there was another one or this VM has not followed the list for as long.

        @param memory  time for which other versions count
    */
    std::optional<SoftwareVersion> findOnlyVersion(
        Milliseconds now, const ServiceId& service, Milliseconds memory) const;

    /** Returns a service's upstreams in a region that may receive requests: listed, not leaving, not evacuated.
        They may still reject this VM's requests. */
    std::vector<const KnownUpstream*> getUsableUpstreams(const ServiceId& service, const RegionId& region) const;

    /** Returns the number of slots of a service's usable upstreams in a region. */
    int countSlots(const ServiceId& service, const RegionId& region) const;

    /** Returns this VM's running requests and pending prefill on upstreams of a region, by service. */
    std::map<ServiceId, ServiceLoad> measureLoad(const RegionId& region) const;

    /** Returns this VM's running requests and pending prefill on each upstream of a region that has any. */
    std::map<UpstreamId, UpstreamLoad> measureUpstreamLoads(const RegionId& region) const;

    /** Returns all known upstreams, usable or not. */
    const std::map<UpstreamId, KnownUpstream>& getAll() const { return this->upstreams; }

private:
    struct EndedUpstream {
        UpstreamOrder order;
        Milliseconds endedAt;
    };

    struct PassedOverEntry {
        UpstreamRecord record;
        Milliseconds since; /**< Time since which only older entries have been listed. */
    };

    std::optional<UpstreamOrder> findLaterOrder(const UpstreamRecord& record) const;
    void store(Milliseconds now, const UpstreamRecord& record);
    void rememberEnded(Milliseconds now, const KnownUpstream& upstream);
    void applyOldPassedOver(Milliseconds now);
    KnownUpstream* get(const UpstreamId& id);
    /** Merges what another VM knows of the end of a process. */
    static void mergeEnd(
        KnownUpstream& upstream, Milliseconds endedAt, std::optional<Milliseconds> returnedAt, Milliseconds coldFor);
    /** Records that another VM knows of a later start than the list has told this VM. */
    static void mergeLaterStart(
        Milliseconds now, KnownUpstream& upstream, std::int64_t startedAt, Milliseconds coldFor);
    static void forgetEnd(KnownUpstream& upstream);
    static bool noteLimit(Milliseconds at, KnownUpstream& upstream, std::optional<double> requestsPerSecond);
    static bool noteRejectionLimit(Milliseconds at, KnownUpstream& upstream, std::optional<double> rejectionLimit);
    bool isUsable(const KnownUpstream& upstream) const;

    std::map<UpstreamId, KnownUpstream> upstreams;
    std::map<UpstreamId, EndedUpstream> ended; /**< Upstreams removed not long ago. */
    std::map<UpstreamId, PassedOverEntry> passedOver; /**< Listed entries that are older than what is known. */
    std::set<FailureDomainId> evacuated;
    std::optional<Milliseconds> followedSince; /**< Time of the first entry. */
    /** Last time at which an upstream of the version disappeared or appeared. */
    std::map<std::pair<ServiceId, SoftwareVersion>, Milliseconds> versionsChangedAt;
};

/**
    Estimates the requests that an upstream has from all VMs, from its last report and this VM's requests since then, or
    from the running requests if the report is stale.

    @param running  requests of all VMs, as far as this VM knows
*/
double estimateLoad(const KnownUpstream& upstream, double running, Milliseconds now);

} // namespace papayashelf
