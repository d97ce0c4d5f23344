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

/** A revision that arrived whole and matches its digest, but is not checked yet. */
struct RevisionCandidate {
    std::shared_ptr<const Revision> revision;
    AdoptionSource source = AdoptionSource::Store;
    VmId from;
};

/**
    Moves revisions between neighbours: announces, pulls, answers pulls.

    Thread safety: none; owned by one thread.
*/
class RevisionExchange {
public:
    RevisionExchange(const ConfigurationSettings& settings, std::uint64_t seed);

    void setNeighbours(std::vector<VmId> neighbours) { this->neighbours = std::move(neighbours); }

    void handleAnnouncement(
        Milliseconds now, const RevisionAnnouncement& announcement, const VmId& from, ConfigurationOutput& output);

    /** A neighbour's heartbeat named its revision. */
    void noteHolder(Milliseconds now, RevisionNumber number, const VmId& from, ConfigurationOutput& output);

    void handlePull(const RevisionPull& pull, const VmId& from, ConfigurationOutput& output) const;

    /**
        Takes a part of the answer to a pull, or a small change that a neighbour sent unasked.

        @returns a candidate when the part completes one
    */
    std::optional<RevisionCandidate> handlePart(
        Milliseconds now, const RevisionPart& part, const VmId& from, ConfigurationOutput& output);

    /** Asks another holder if a pull was not answered in time. */
    void tick(Milliseconds now, ConfigurationOutput& output);

    /** Makes a revision the newest and tells the neighbours. Precondition: its number is larger than the newest one's.
     */
    void adopt(Milliseconds now, const RevisionCandidate& candidate, ConfigurationOutput& output);

    /** Notes that a revision did not pass its check, so that it is not pulled again. */
    void refuse(Milliseconds now, RevisionNumber number, ConfigurationOutput& output);

    const RevisionHistory& getHistory() const { return this->history; }

    Milliseconds getNextDeadline() const;

private:
    /** A pull under way. */
    struct Pull {
        VmId from;
        Milliseconds deadline;
        RevisionNumber to = 0;
        std::map<std::uint32_t, RevisionDelta> received;
    };

    std::optional<RevisionCandidate> takePush(
        Milliseconds now, const RevisionPart& part, const VmId& from, ConfigurationOutput& output);
    ConfigurationMessage makeNews() const;
    void reportIfConflicting(
        RevisionNumber number, const std::string& digest, const VmId& from, ConfigurationOutput& output) const;
    void pullIfBehind(Milliseconds now, ConfigurationOutput& output);
    std::optional<VmId> chooseHolder();
    void dropPull(bool wasDamaged);
    std::optional<RevisionCandidate> complete(Milliseconds now, ConfigurationOutput& output);

    ConfigurationSettings settings;
    std::mt19937_64 random;
    RevisionHistory history;
    std::vector<VmId> neighbours;
    std::map<VmId, RevisionNumber> holders; // VMs known to hold something newer.
    std::optional<Pull> pull;
    bool needsWhole = false;
    RevisionNumber refused = 0;
};

} // namespace papayashelf
