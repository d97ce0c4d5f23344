#pragma once

#include "dispatch/messages/RequestMessages.h"
#include "model/governance/Governance.h"
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace papayashelf {

/** One request as the world outside the gateway knows it. */
struct WorldRequest {
    std::uint64_t id = 0; /**< Unique in the scenario, over repeats by the caller. */
    std::uint64_t operation = 0; /**< The same for all repeats of one operation. */
    WorkspaceId workspace;
    KeyDigest key;
    RegionId callerRegion;
    std::string path;
    std::string method;
    bool isIdempotent = true;
    bool isKeyed = false;
    std::int64_t promptTokens = 0;
    std::int64_t answerTokens = 0; /**< What the upstream will answer. */
    Milliseconds arrivedAt;

    bool operator==(const WorldRequest&) const = default;
};

/** How a request ended for its caller. */
enum class WorldOutcome {
    Open,
    Finished,
    Refused,
    Lost, /**< The VM went away under it. */
};

/** What became of one request. */
struct WorldRecord {
    WorldRequest request;
    WorldOutcome outcome = WorldOutcome::Open;
    std::optional<RefusalCode> code;
    Ran ran = Ran::No;
    Milliseconds endedAt;
    int executions = 0; /**< Attempts that an upstream began to process. */
    std::int64_t processedTokens = 0; /**< At all upstreams together. */
    std::optional<Milliseconds> admittedAt; /**< When its tokens were reserved. */
    Milliseconds lastWork; /**< When an upstream last worked for it. */
    VmId vm;
    bool wasCutByStop = false;
};

/**
    Watches everything from outside and holds it against what must always be true.

    It knows the true configuration, whatever the VMs were told. Thread safety: none.
*/
class PromiseBook {
public:
    /** @param truth  the configuration as published; later ones through setTruth() */
    explicit PromiseBook(std::shared_ptr<const Governance> truth);

    void setTruth(std::shared_ptr<const Governance> truth);

    //==================================================================================================================
    void noteArrival(const WorldRequest& request, const VmId& vm);
    void noteAdmitted(Milliseconds now, std::uint64_t request);
    void noteExecution(Milliseconds now, std::uint64_t request, const RegionId& region, const WorkspaceId& claimed);
    void noteProcessed(Milliseconds now, std::uint64_t request, std::int64_t tokens);
    void noteFinished(Milliseconds now, std::uint64_t request, std::int64_t answerTokens);
    void noteStoredAnswer(Milliseconds now, std::uint64_t request);
    void noteRefused(Milliseconds now, std::uint64_t request, RefusalCode code, Ran ran);
    void noteLost(Milliseconds now, std::uint64_t request, bool byStop);
    void noteRelay(std::uint64_t request, const RegionId& to, bool wasRelayed);
    void noteRevision(const VmId& vm, std::uint64_t incarnation, RevisionNumber revision);

    /** Checks what can only be known at the end: rates, at most once, and that every request got its end. */
    void close(Milliseconds end);

    //==================================================================================================================
    const std::map<std::uint64_t, WorldRecord>& getRecords() const { return this->records; }
    const WorldRecord& getRecord(std::uint64_t request) const { return this->records.at(request); }

    /** Every promise that was broken, a line each. */
    const std::vector<std::string>& getBreaches() const { return this->breaches; }

    int countLoweredRevisions() const { return this->loweredRevisions; }

private:
    void breach(const std::string& promise, std::uint64_t request, const std::string& detail);
    bool mayBeIn(const WorkspaceId& workspace, const RegionId& region) const;
    void checkRates();
    void checkOnce();
    bool end(Milliseconds now, std::uint64_t request, WorldOutcome outcome);

    std::shared_ptr<const Governance> truth;
    std::map<WorkspaceId, std::int64_t> highestRate;
    std::map<WorkspaceId, std::int64_t> highestBurst;
    std::map<std::uint64_t, WorldRecord> records;
    std::map<VmId, std::pair<std::uint64_t, RevisionNumber>> revisions;
    std::vector<std::string> breaches;
    int loweredRevisions = 0;
};

} // namespace papayashelf
