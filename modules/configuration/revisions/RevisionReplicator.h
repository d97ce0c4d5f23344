#pragma once

#include "configuration/ConfigurationSettings.h"
#include "configuration/output/ConfigurationOutput.h"
#include "configuration/revisions/ManifestReader.h"
#include "configuration/revisions/RevisionExchange.h"
#include <algorithm>
#include <concepts>
#include <cstdint>
#include <memory>
#include <utility>
#include <vector>

namespace papayashelf {

/** Validates a revision and builds its typed form. A revision that fails is not adopted. Must be deterministic. */
template <typename Checker>
concept RevisionChecker = requires(Checker& checker, const Revision& revision)
{
    {
        checker(revision)
        } -> std::same_as<Outcome<std::shared_ptr<const Governance>>>;
};

/**
    Holds the revision in force at this VM and adopts newer ones from the store or from other VMs.

    The number in force never decreases. docs/CONFIGURATION.md describes the design. Thread safety: none; owned by one
    thread. No call fails; problems are reported as events in the output.
*/
template <RevisionChecker Checker> class RevisionReplicator {
public:
    RevisionReplicator(const ConfigurationSettings& settings, Checker checker, std::uint64_t seed)
        : checker(std::move(checker))
        , exchange(settings, seed)
        , reader(settings, seed + 1)
    {
    }

    /** Sets the VMs to which adopted revisions are sent, as Membership::getNeighbours() returns them. */
    void setNeighbours(const std::vector<VmId>& neighbours) { this->exchange.setNeighbours(neighbours); }

    /** Sets whether this VM watches the store, as isStoreWatcher() returns. The calls start with the next tick. */
    void setWatcher(Milliseconds now, bool isWatcher) { this->reader.setWatcher(now, isWatcher); }

    /** Handles a peer's announcement of the revision in force there. */
    ConfigurationOutput handleAnnouncement(Milliseconds now, const RevisionAnnouncement& announcement, const VmId& from)
    {
        ConfigurationOutput output;
        this->exchange.handleAnnouncement(now, announcement, from, output);
        return output;
    }

    /** Answers a peer's pull with what it lacks. */
    ConfigurationOutput handlePull(Milliseconds, const RevisionPull& pull, const VmId& from)
    {
        ConfigurationOutput output;
        this->exchange.handlePull(pull, from, output);
        return output;
    }

    /** Handles one part of a revision, and adopts the revision once it is complete. */
    ConfigurationOutput handlePart(Milliseconds now, const RevisionPart& part, const VmId& from)
    {
        ConfigurationOutput output;
        this->checkAndAdopt(now, this->exchange.handlePart(now, part, from, output), output);
        return output;
    }

    /** Handles the revision number in a neighbour's heartbeat. */
    ConfigurationOutput handleHeartbeat(Milliseconds now, RevisionNumber number, const VmId& from)
    {
        ConfigurationOutput output;
        this->exchange.recordHolder(now, number, from, output);
        return output;
    }

    /** Handles the reply to one of this object's store calls. Replies to calls that timed out are ignored. */
    ConfigurationOutput handleStoreReply(Milliseconds now, std::uint64_t call, const StoreReply& reply)
    {
        ConfigurationOutput output;
        this->checkAndAdopt(now, this->reader.handleReply(now, call, reply, this->getRevision(), output), output);
        return output;
    }

    /** Performs the actions that are due. Call it at getNextDeadline() or sooner. */
    ConfigurationOutput tick(Milliseconds now)
    {
        ConfigurationOutput output;
        this->exchange.tick(now, output);
        this->reader.tick(now, output);
        return output;
    }

    /** Returns when tick() must be called next. */
    Milliseconds getNextDeadline() const
    {
        return std::min(this->exchange.getNextDeadline(), this->reader.getNextDeadline());
    }

    /** Returns the revision in force; null before the first, when the VM serves nothing. */
    const std::shared_ptr<const Revision>& getRevision() const { return this->exchange.getHistory().getNewest(); }

    /** Returns the typed form of the revision in force; null before the first. */
    const std::shared_ptr<const Governance>& getGovernance() const { return this->governance; }

    /** Returns the number of the revision in force; 0 before the first. */
    RevisionNumber getNumber() const { return this->exchange.getHistory().getNumber(); }

private:
    void checkAndAdopt(Milliseconds now, const std::optional<RevisionCandidate>& candidate, ConfigurationOutput& output)
    {
        if (!candidate || candidate->revision->number <= this->getNumber())
            return;
        Outcome<std::shared_ptr<const Governance>> checked = this->checker(*candidate->revision);
        if (!checked) {
            const RevisionNumber number = candidate->revision->number;
            output.events.push_back(
                { ConfigurationEventKind::RevisionRefused, number, candidate->from, checked.error().detail });
            this->exchange.refuse(now, number, output);
            return;
        }
        const bool isFirst = !this->getRevision();
        this->governance = std::move(checked.value());
        this->exchange.adopt(now, *candidate, output);
        output.adopted
            = Adoption { candidate->revision, this->governance, candidate->source, candidate->from, isFirst };
    }

    Checker checker;
    RevisionExchange exchange;
    ManifestReader reader;
    std::shared_ptr<const Governance> governance;
};

} // namespace papayashelf
