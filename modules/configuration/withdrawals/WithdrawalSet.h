#pragma once

#include "configuration/ConfigurationSettings.h"
#include "configuration/output/ConfigurationOutput.h"
#include "configuration/withdrawals/WithdrawalReach.h"
#include "configuration/withdrawals/WithdrawalStore.h"
#include "configuration/withdrawals/WithdrawalTable.h"
#include "membership/messages/MembershipMessages.h"
#include "model/governance/Governance.h"
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace papayashelf {

/**
    The keys withdrawn ahead of any revision: enters at any VM, spreads to all by a path of its own.

    docs/KEY-WITHDRAWAL.md gives the design. Thread safety: none; owned by one thread. No call fails; what the
    operators should know is an event in the output, and the reach of a withdrawal can be asked.
*/
class WithdrawalSet {
public:
    WithdrawalSet(VmId self, const ConfigurationSettings& settings, std::uint64_t seed);

    /** Sets whom news goes to and which VMs there are; from Membership. */
    void setMembers(std::vector<VmId> neighbours, const std::map<VmId, Member>& members);

    /** Sets whether this VM keeps the store's copy; from isStoreWatcher(). The calls start with the next tick. */
    void setWatcher(Milliseconds now, bool isWatcher) { this->store.setWatcher(now, isWatcher); }

    /** Sets the revision in force, which may make old entries superfluous. */
    void setGovernance(std::shared_ptr<const Governance> governance);

    /** An operator withdraws a key at this VM. Idempotent. The reach can then be asked here. */
    ConfigurationOutput withdraw(Milliseconds now, const Withdrawal& withdrawal);

    ConfigurationOutput handleNotice(Milliseconds now, const WithdrawalNotice& notice, const VmId& from);

    /** A neighbour's heartbeat named the digest of its set. */
    ConfigurationOutput handleHeartbeat(Milliseconds now, std::uint64_t digest, const VmId& from);

    /** The reply to one of this set's store calls; replies to calls given up are ignored. */
    ConfigurationOutput handleStoreReply(Milliseconds now, std::uint64_t call, const StoreReply& reply);

    /** Does what is due. Call at getNextDeadline() or sooner. */
    ConfigurationOutput tick(Milliseconds now);

    Milliseconds getNextDeadline() const;

    /** Whether a key must be refused, whatever the revision in force says. */
    bool isWithdrawn(const KeyDigest& key) const { return this->table.contains(key); }

    /** For the heartbeats. */
    std::uint64_t getDigest() const { return this->table.getDigest(); }

    std::size_t size() const { return this->table.size(); }

    /**
        How far a withdrawal that entered at this VM has come, for the operator: a region that is not reached may
        still accept the key.

        @returns one entry a region; empty for a key that was not withdrawn here
    */
    std::vector<RegionCoverage> getCoverage(const KeyDigest& key) const { return this->reach.getCoverage(key); }

private:
    struct Exchange {
        int differing = 0;
        std::optional<Milliseconds> sentAt;
    };

    void take(
        Milliseconds now, const std::vector<Withdrawal>& withdrawals, const VmId& from, ConfigurationOutput& output);
    void acknowledge(const std::vector<Withdrawal>& withdrawals, const VmId& from, ConfigurationOutput& output) const;
    void answerWhatIsMissing(const WithdrawalNotice& notice, const VmId& from, ConfigurationOutput& output) const;
    void sendWholeSet(const VmId& to, ConfigurationOutput& output) const;
    void notifyUnreachedRegions(Milliseconds now, ConfigurationOutput& output);
    void forgetOldReaches(Milliseconds now);
    bool isNeighbour(const VmId& vm) const;

    VmId self;
    ConfigurationSettings settings;
    WithdrawalTable table;
    WithdrawalReach reach;
    WithdrawalStore store;
    std::vector<VmId> neighbours;
    std::map<VmId, Exchange> exchanges;
    std::map<KeyDigest, Milliseconds> followedUntil;
    Milliseconds nextNotice = Milliseconds::never();
};

} // namespace papayashelf
