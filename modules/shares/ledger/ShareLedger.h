#pragma once

#include "model/governance/Governance.h"
#include "platform/vms/VmRecord.h"
#include "shares/epochs/EpochCoordinator.h"
#include "shares/ledger/ShareBorrower.h"
#include "shares/ledger/ShareLender.h"
#include "shares/ledger/ShareOutput.h"
#include "shares/ledger/ShareOwnership.h"
#include "shares/owners/OwnerMap.h"
#include "shares/owners/WorkspaceShares.h"
#include "shares/settings/ShareSettings.h"
#include <memory>
#include <vector>

namespace papayashelf {

/**
    Admits requests on one VM, so that all VMs together stay within each workspace's rate and burst.

    Every token is in the bucket of exactly one owner VM. A VM charges its own bucket and borrows missing tokens from
    other owners. Reservations need neither consensus nor the store, so an isolated region can still spend what it owns.

    All times are on this VM's own clock and must not decrease. Thread safety: none; owned by one thread.
*/
class ShareLedger {
public:
    /** @param seed  seeds the random choice of VMs that epochs are forwarded to */
    ShareLedger(
        const VmId& self, Incarnation incarnation, RegionId region, const ShareSettings& settings, std::uint64_t seed);

    //==================================================================================================================
    /** Puts a revision in force on this VM. Ignored unless it is later than the one in force. */
    ShareOutput setGovernance(Milliseconds now, const std::shared_ptr<const Governance>& governance);

    /**
        Reports that every VM that may own shares has had exactly this revision in force at some time.

        Until then, the lower of the earlier and the current limits apply. A VM that skipped the revision has not had
       it.
    */
    ShareOutput setRevisionAdoptedEverywhere(Milliseconds now, RevisionNumber revision);

    /** Replaces the known state of the other VMs. The order does not matter, and this VM may be omitted. */
    ShareOutput setMembers(Milliseconds now, const std::vector<ShareMember>& members);

    /** Processes the platform's list of VMs. Precondition: the list was just fetched and is not a stale copy. */
    ShareOutput setVmList(Milliseconds now, const VmList& list);

    //==================================================================================================================
    /**
        Reserves tokens for a request. Exactly one answer is in this output or a later one, unless settle comes first.

        @param tokens    upper bound of the tokens that the request can use; at least 0
        @param deadline  when the answer is due; ShareSettings::maximumWait may shorten the wait
        Precondition: the request is not reserved already.
    */
    ShareOutput reserve(
        Milliseconds now, RequestId request, const WorkspaceId& workspace, std::int64_t tokens, Milliseconds deadline);

    /**
        Ends a reservation. Its unused tokens become available again, as far as the limits still allow.

        A reservation that still waits is withdrawn without an answer; an unknown one is ignored.
        @param usedTokens  tokens that the request has used
    */
    ShareOutput settle(Milliseconds now, RequestId request, std::int64_t usedTokens);

    //==================================================================================================================
    /** Handles a message from another VM's ledger. Messages may be lost, delayed, duplicated or out of order. */
    ShareOutput handleMessage(Milliseconds now, const VmId& from, const ShareMessage& message);

    /** Handles the reply to one of this ledger's store calls. A call without a reply times out in tick. */
    ShareOutput handleStoreReply(Milliseconds now, std::uint64_t call, const StoreReply& reply);

    /** Performs all work that is due. */
    ShareOutput tick(Milliseconds now);

    /** Returns when tick must be called next. */
    Milliseconds getNextDeadline() const;

    /** Releases everything this VM owns, permanently, before it leaves. Reservations continue with borrowed tokens. */
    ShareOutput release(Milliseconds now);

    //==================================================================================================================
    /** Returns the owners of the workspace, those of this region first. Callers should prefer the first ones. */
    std::vector<VmId> getOwners(const WorkspaceId& workspace) const;

    /** Returns the epoch that this VM has adopted, for its heartbeat; releasedShareEpoch after release. */
    std::uint64_t getShareEpoch() const { return this->epochCoordinator.getAdoptedEpoch(); }

    /** Returns how many workspaces this VM owns a part of. */
    std::size_t getOwnedCount() const { return this->ownership.getCount(); }

    /** Returns the approximate memory use of the owned workspaces in bytes. */
    std::size_t getOwnedBytes() const { return this->ownership.getBytes(); }

private:
    void handle(Milliseconds now, const VmId& from, const ShareRequest& message, ShareOutput& output);
    void handle(Milliseconds now, const VmId& from, const ShareGrant& message, ShareOutput& output);
    void handle(Milliseconds now, const VmId& from, const ShareReturns& message, ShareOutput& output);
    void handle(Milliseconds now, const VmId& from, const ShareEpochNews& message, ShareOutput& output);
    void handle(Milliseconds now, const VmId& from, const ShareEpochAdopted& message, ShareOutput& output);
    void handle(Milliseconds now, const VmId& from, const ShareEpochDigest& message, ShareOutput& output);
    void applyEpochOutput(Milliseconds now, EpochOutput&& from, ShareOutput& output);

    VmId self;
    RegionId region;
    ShareSettings settings;
    WorkspaceShares workspaceShares;
    OwnerMap owners;
    ShareOwnership ownership;
    ShareLender lender;
    ShareBorrower borrower;
    EpochCoordinator epochCoordinator;
};

} // namespace papayashelf
