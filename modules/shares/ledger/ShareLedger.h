#pragma once

#include "model/governance/Governance.h"
#include "platform/vms/VmRecord.h"
#include "shares/epochs/EpochKeeper.h"
#include "shares/ledger/ShareBorrower.h"
#include "shares/ledger/ShareLender.h"
#include "shares/ledger/ShareOutput.h"
#include "shares/ledger/ShareOwnership.h"
#include "shares/owners/OwnerMap.h"
#include "shares/owners/VotedShares.h"
#include "shares/settings/ShareSettings.h"
#include <memory>
#include <vector>

namespace papayashelf {

/**
    Admits requests within their workspace's rate and burst over all VMs together, on one VM.

    Every token is in the bucket of exactly one owner VM. A VM charges its own bucket, and borrows from other owners
    what it lacks. No step needs agreement or the store, so a region that is cut off goes on with what it owns.

    Every time is this VM's own clock and must not go back. Thread safety: none; owned by one thread.
*/
class ShareLedger {
public:
    /** @param seed  for the choice of peers to pass epochs on to */
    ShareLedger(
        const VmId& self, Incarnation incarnation, RegionId region, const ShareSettings& settings, std::uint64_t seed);

    //==================================================================================================================
    /** Puts a revision in force on this VM. A lower revision than the one in force is ignored. */
    ShareOutput setGovernance(Milliseconds now, const std::shared_ptr<const Governance>& governance);

    /**
        Says that every VM that may own shares is known to have had exactly this revision in force at some time.

        Until then limits are the lower of the old and the new ones. A VM that skipped the revision does not count.
    */
    ShareOutput setRevisionAdoptedEverywhere(Milliseconds now, RevisionNumber revision);

    /** Replaces what is known of the other VMs, in any order; this VM itself may be left out. */
    ShareOutput setMembers(Milliseconds now, const std::vector<ShareMember>& members);

    /** Hands over the platform's list as just fetched; never call it with a list that could not be renewed. */
    ShareOutput setVmList(Milliseconds now, const VmList& list);

    //==================================================================================================================
    /**
        Asks for tokens; the answer is in this output or a later one, exactly once.

        @param tokens    upper bound of what the request can use; at least 0
        @param deadline  when it must be granted or refused; the settings may shorten the wait
        Precondition: the request is not reserved already.
    */
    ShareOutput reserve(
        Milliseconds now, RequestId request, const WorkspaceId& workspace, std::int64_t tokens, Milliseconds deadline);

    /**
        Ends a reservation: what it did not use becomes available again, as far as the limits still allow.

        A reservation that still waits is withdrawn without an answer; an unknown one is ignored.
        @param usedTokens  what the request really used
    */
    ShareOutput settle(Milliseconds now, RequestId request, std::int64_t usedTokens);

    //==================================================================================================================
    /** Handles a message of another VM's ledger. Messages may be lost, late, repeated or out of order. */
    ShareOutput handleMessage(Milliseconds now, const VmId& from, const ShareMessage& message);

    /** Handles the reply to one of this ledger's store calls; a reply that never comes is made up for. */
    ShareOutput handleStoreReply(Milliseconds now, std::uint64_t call, const StoreReply& reply);

    /** Does what is due. */
    ShareOutput tick(Milliseconds now);

    /** When tick must be called next. */
    Milliseconds getNextDeadline() const;

    /** Gives up everything this VM owns, for good, since it is leaving. Reservations go on by borrowing. */
    ShareOutput release(Milliseconds now);

    //==================================================================================================================
    /** The VMs that own the workspace's tokens, this region's first; callers are best sent to the first ones. */
    std::vector<VmId> getOwners(const WorkspaceId& workspace) const;

    /** The epoch that this VM has adopted, for its heartbeat; releasedShareEpoch after release. */
    std::uint64_t getShareEpoch() const { return this->keeper.getAdoptedEpoch(); }

    /** How many workspaces this VM owns a part of. */
    std::size_t getOwnedCount() const { return this->ownership.getCount(); }

    /** About how many bytes the state about owned workspaces takes. */
    std::size_t getOwnedBytes() const { return this->ownership.getBytes(); }

private:
    void handle(Milliseconds now, const VmId& from, const ShareRequest& message, ShareOutput& output);
    void handle(Milliseconds now, const VmId& from, const ShareGrant& message, ShareOutput& output);
    void handle(Milliseconds now, const VmId& from, const ShareReturns& message, ShareOutput& output);
    void handle(Milliseconds now, const VmId& from, const ShareEpochNews& message, ShareOutput& output);
    void handle(Milliseconds now, const VmId& from, const ShareEpochAdopted& message, ShareOutput& output);
    void handle(Milliseconds now, const VmId& from, const ShareEpochDigest& message, ShareOutput& output);
    void takeKeeperOutput(Milliseconds now, EpochOutput&& from, ShareOutput& output);

    VmId self;
    RegionId region;
    ShareSettings settings;
    VotedShares voted;
    OwnerMap owners;
    ShareOwnership ownership;
    ShareLender lender;
    ShareBorrower borrower;
    EpochKeeper keeper;
};

} // namespace papayashelf
