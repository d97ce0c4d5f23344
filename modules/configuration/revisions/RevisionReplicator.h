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

/** Checks a revision and makes its typed form; a revision is in force only if this gives a value. Deterministic. */
template <typename Checker>
concept RevisionChecker = requires(Checker& checker, const Revision& revision)
{
    {
        checker(revision)
        } -> std::same_as<Outcome<std::shared_ptr<const Governance>>>;
};

/**
    Holds the revision in force at this VM and brings in newer ones, from the store or from other VMs.

    The number in force never falls. docs/CONFIGURATION.md gives the design. Thread safety: none; owned by one thread.
    No call fails; what the operators should know is an event in the output.
*/
template <RevisionChecker Checker> class RevisionReplicator {
public:
    RevisionReplicator(const ConfigurationSettings& settings, Checker checker, std::uint64_t seed)
        : checker(std::move(checker))
        , exchange(settings, seed)
        , reader(settings, seed + 1)
    {
    }

    /** Sets which VMs are told of revisions; from Membership::getNeighbours(). */
    void setNeighbours(const std::vector<VmId>& neighbours) { this->exchange.setNeighbours(neighbours); }

    /** Sets whether this VM watches the store; from isStoreWatcher(). The calls start with the next tick. */
    void setWatcher(Milliseconds now, bool isWatcher) { this->reader.setWatcher(now, isWatcher); }

    ConfigurationOutput handleAnnouncement(Milliseconds now, const RevisionAnnouncement& announcement, const VmId& from)
    {
        ConfigurationOutput output;
        this->exchange.handleAnnouncement(now, announcement, from, output);
        return output;
    }

    ConfigurationOutput handlePull(Milliseconds, const RevisionPull& pull, const VmId& from)
    {
        ConfigurationOutput output;
        this->exchange.handlePull(pull, from, output);
        return output;
    }

    ConfigurationOutput handlePart(Milliseconds now, const RevisionPart& part, const VmId& from)
    {
        ConfigurationOutput output;
        this->take(now, this->exchange.handlePart(now, part, from, output), output);
        return output;
    }

    /** A neighbour's heartbeat named the revision in force there. */
    ConfigurationOutput handleHeartbeat(Milliseconds now, RevisionNumber number, const VmId& from)
    {
        ConfigurationOutput output;
        this->exchange.noteHolder(now, number, from, output);
        return output;
    }

    /** The reply to one of this keeper's store calls; replies to calls given up are ignored. */
    ConfigurationOutput handleStoreReply(Milliseconds now, std::uint64_t call, const StoreReply& reply)
    {
        ConfigurationOutput output;
        this->take(now, this->reader.handleReply(now, call, reply, this->getRevision(), output), output);
        return output;
    }

    /** Does what is due. Call at getNextDeadline() or sooner. */
    ConfigurationOutput tick(Milliseconds now)
    {
        ConfigurationOutput output;
        this->exchange.tick(now, output);
        this->reader.tick(now, output);
        return output;
    }

    Milliseconds getNextDeadline() const
    {
        return std::min(this->exchange.getNextDeadline(), this->reader.getNextDeadline());
    }

    /** The revision in force; null before the first, and then the VM serves nothing. */
    const std::shared_ptr<const Revision>& getRevision() const { return this->exchange.getHistory().getNewest(); }

    /** The typed form of the revision in force; null before the first. */
    const std::shared_ptr<const Governance>& getGovernance() const { return this->governance; }

    /** The number in force; 0 before the first. */
    RevisionNumber getNumber() const { return this->exchange.getHistory().getNumber(); }

private:
    void take(Milliseconds now, const std::optional<RevisionCandidate>& candidate, ConfigurationOutput& output)
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
