#pragma once

#include "configuration/ConfigurationSettings.h"
#include "configuration/output/ConfigurationOutput.h"
#include "configuration/withdrawals/WithdrawalSynchronizer.h"
#include "configuration/withdrawals/WithdrawalTable.h"
#include "configuration/withdrawals/WithdrawalTracker.h"
#include "membership/messages/MembershipMessages.h"
#include "model/governance/Governance.h"
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace papayashelf {

/**
    The set of withdrawn keys. An operator can withdraw a key at any VM, and the withdrawal is distributed to all VMs
    independently of revisions.

    docs/KEY-WITHDRAWAL.md describes the design. Thread safety: none; owned by one thread. No call fails; problems are
    reported as events in the output, and getCoverage() returns which regions a withdrawal has reached.
*/
class WithdrawalSet {
public:
    WithdrawalSet(VmId self, const ConfigurationSettings& settings, std::uint64_t seed);

    /** Sets the neighbours to which withdrawals are sent and all known VMs, both from Membership. */
    void setMembers(std::vector<VmId> neighbours, const std::map<VmId, Member>& members);

    /**
        Sets whether this VM synchronizes the set with the store, as isStoreWatcher() returns. The calls start with the
        next tick.
    */
    void setWatcher(Milliseconds now, bool isWatcher) { this->synchronizer.setWatcher(now, isWatcher); }

    /** Sets the revision in force and drops the entries that it makes obsolete. */
    void setGovernance(std::shared_ptr<const Governance> governance);

    /** Withdraws a key on behalf of an operator and starts to track the coverage. Idempotent. */
    ConfigurationOutput withdraw(Milliseconds now, const Withdrawal& withdrawal);

    /** Adds the withdrawals of a notice, forwards the new ones and answers the sender if needed. */
    ConfigurationOutput handleNotice(Milliseconds now, const WithdrawalNotice& notice, const VmId& from);

    /** Handles the digest of a neighbour's set from its heartbeat; repeated mismatches make it send the whole set. */
    ConfigurationOutput handleHeartbeat(Milliseconds now, std::uint64_t digest, const VmId& from);

    /** Handles the reply to one of this set's store calls. Replies to calls that timed out are ignored. */
    ConfigurationOutput handleStoreReply(Milliseconds now, std::uint64_t call, const StoreReply& reply);

    /** Performs the actions that are due. Call it at getNextDeadline() or sooner. */
    ConfigurationOutput tick(Milliseconds now);

    /** Returns when tick() must be called next. */
    Milliseconds getNextDeadline() const;

    /** Returns whether a key must be refused, even if the revision in force accepts it. */
    bool isWithdrawn(const KeyDigest& key) const { return this->table.contains(key); }

    /** Returns the digest of the set, which is sent in heartbeats. */
    std::uint64_t getDigest() const { return this->table.getDigest(); }

    /** Returns the number of withdrawn keys. */
    std::size_t size() const { return this->table.size(); }

    /**
        Returns which regions a withdrawal made at this VM has reached. A region that is not reached may still accept
        the key.

        @returns one entry per region; empty for a key that was not withdrawn here
    */
    std::vector<RegionCoverage> getCoverage(const KeyDigest& key) const { return this->tracker.getCoverage(key); }

private:
    /** Comparison of this set with a neighbour's by the digests in its heartbeats. */
    struct NeighbourSync {
        int consecutiveMismatches = 0;
        std::optional<Milliseconds> wholeSetSentAt;
    };

    void addAndForward(
        Milliseconds now, const std::vector<Withdrawal>& withdrawals, const VmId& from, ConfigurationOutput& output);
    void acknowledge(const std::vector<Withdrawal>& withdrawals, const VmId& from, ConfigurationOutput& output) const;
    void sendMissingWithdrawals(const WithdrawalNotice& notice, const VmId& from, ConfigurationOutput& output) const;
    void sendWholeSet(const VmId& to, ConfigurationOutput& output) const;
    void notifyUnreachedRegions(Milliseconds now, ConfigurationOutput& output);
    void stopExpiredTracking(Milliseconds now);
    bool isNeighbour(const VmId& vm) const;

    VmId self;
    ConfigurationSettings settings;
    WithdrawalTable table;
    WithdrawalTracker tracker;
    WithdrawalSynchronizer synchronizer;
    std::vector<VmId> neighbours;
    std::map<VmId, NeighbourSync> neighbourSyncs;
    std::map<KeyDigest, Milliseconds> notifyUntil;
    Milliseconds nextNotice = Milliseconds::never();
};

} // namespace papayashelf
