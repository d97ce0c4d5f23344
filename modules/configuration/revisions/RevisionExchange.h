#pragma once

#include "configuration/ConfigurationSettings.h"
#include "configuration/output/ConfigurationOutput.h"
#include "configuration/revisions/RevisionHistory.h"
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace papayashelf {

/** A complete revision that matches its digest but has not been validated yet. */
struct RevisionCandidate {
    std::shared_ptr<const Revision> revision;
    AdoptionSource source = AdoptionSource::Store;
    VmId from;
};

/**
    Exchanges revisions with other VMs: announces or pushes them to neighbours, pulls newer ones and answers pulls.

    Thread safety: none; owned by one thread.
*/
class RevisionExchange {
public:
    RevisionExchange(const ConfigurationSettings& settings, std::uint64_t seed);

    /** Sets the VMs to which newly adopted revisions are sent. */
    void setNeighbours(std::vector<VmId> neighbours) { this->neighbours = std::move(neighbours); }

    /** Handles an announcement: reports a conflicting digest, and pulls the revision if it is newer. */
    void handleAnnouncement(
        Milliseconds now, const RevisionAnnouncement& announcement, const VmId& from, ConfigurationOutput& output);

    /** Records that a VM holds a revision, and pulls it if it is newer than this VM's. */
    void recordHolder(Milliseconds now, RevisionNumber number, const VmId& from, ConfigurationOutput& output);

    /** Answers a pull with the parts of a delta or of a full revision. */
    void handlePull(const RevisionPull& pull, const VmId& from, ConfigurationOutput& output) const;

    /**
        Handles one part of the answer to a pull, or a small delta that a neighbour pushed.

        @returns a candidate when the part completes one
    */
    std::optional<RevisionCandidate> handlePart(
        Milliseconds now, const RevisionPart& part, const VmId& from, ConfigurationOutput& output);

    /** Sends the pull to another holder if it was not answered in time. */
    void tick(Milliseconds now, ConfigurationOutput& output);

    /** Makes a revision the newest and sends it to the neighbours. Precondition: its number is larger than before. */
    void adopt(Milliseconds now, const RevisionCandidate& candidate, ConfigurationOutput& output);

    /** Records that a revision failed validation, so that neither it nor an older one is pulled again. */
    void refuse(Milliseconds now, RevisionNumber number, ConfigurationOutput& output);

    /** Returns the newest revision and the deltas kept. */
    const RevisionHistory& getHistory() const { return this->history; }

    /** Returns when tick() must be called next; never() without a pending pull. */
    Milliseconds getNextDeadline() const;

private:
    /** A pending pull and the parts received for it. */
    struct Pull {
        VmId from;
        Milliseconds deadline;
        RevisionNumber to = 0;
        std::map<std::uint32_t, RevisionDelta> received;
    };

    std::optional<RevisionCandidate> handlePushedDelta(
        Milliseconds now, const RevisionPart& part, const VmId& from, ConfigurationOutput& output);
    ConfigurationMessage makeUpdateMessage() const;
    void reportIfConflicting(
        RevisionNumber number, const std::string& digest, const VmId& from, ConfigurationOutput& output) const;
    void pullIfBehind(Milliseconds now, ConfigurationOutput& output);
    std::optional<VmId> chooseHolder();
    void dropPull(bool wasDamaged);
    std::optional<RevisionCandidate> completePull(Milliseconds now, ConfigurationOutput& output);

    ConfigurationSettings settings;
    std::mt19937_64 random;
    RevisionHistory history;
    std::vector<VmId> neighbours;
    std::map<VmId, RevisionNumber> holders; // VMs known to hold a newer revision, with its number.
    std::optional<Pull> pull;
    bool needsFullRevision = false; // Set when a transfer was damaged.
    RevisionNumber highestRefused = 0; // Highest number that failed validation.
};

} // namespace papayashelf
