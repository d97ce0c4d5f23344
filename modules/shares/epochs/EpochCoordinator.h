#pragma once

#include "foundation/identity/Addressed.h"
#include "platform/store/StoreCall.h"
#include "platform/vms/VmRecord.h"
#include "shares/epochs/ShareEpoch.h"
#include "shares/ledger/ShareOutput.h"
#include "shares/owners/OwnerMap.h"
#include "shares/settings/ShareSettings.h"
#include <map>
#include <optional>
#include <random>
#include <set>
#include <vector>

namespace papayashelf {

/** The actions that an EpochCoordinator requests, and the state changes that it reports. */
struct EpochOutput {
    ShareOutput actions;
    std::optional<ShareEpoch> adopted; /**< A newer epoch of this VM's region, which the caller must adopt at once. */
    std::vector<std::pair<ShareHolder, std::uint64_t>> adoptions; /**< Epochs that other holders have adopted. */
    bool hasOwnerMapChanged = false; /**< True if a newer epoch of any region was stored. */
};

/**
    Receives and forwards share epochs, and proposes new ones if this VM is the leader of its region.

    A holder is removed only when it has released what it owned or is proven dead. It is proven dead when the
    platform's list has not contained it for ShareSettings::unlistedGrace, or when a newer incarnation of the same VM is
    a member. A VM that is unresponsive but listed remains a holder. No epoch is proposed before every holder of the
    current one has adopted it or is proven dead.

    Thread safety: none; owned by one thread.
*/
class EpochCoordinator {
public:
    /** @param owners  receives every newer epoch; must outlive the coordinator */
    EpochCoordinator(
        ShareHolder self, RegionId region, const ShareSettings& settings, OwnerMap& owners, std::uint64_t seed);

    /** Replaces the known state of the other VMs. */
    void setMembers(Milliseconds now, const std::vector<ShareMember>& members);

    /** Records which holders are absent from the platform's list. Precondition: the list was just fetched. */
    void setVmList(Milliseconds now, const VmList& list);

    //==================================================================================================================
    /** Applies an epoch from another VM; answers news of this VM's region with the epoch that this VM has adopted. */
    EpochOutput handleNews(Milliseconds now, const VmId& from, const ShareEpochNews& message);

    /** Records which epoch another VM has adopted. */
    EpochOutput handleAdopted(Milliseconds now, const VmId& from, const ShareEpochAdopted& message);

    /** Sends the epochs that the sender lacks, and asks for those that this VM lacks. */
    EpochOutput handleDigest(Milliseconds now, const VmId& from, const ShareEpochDigest& message);

    /** Handles the reply to the pending store call. Replies to other calls are ignored. */
    EpochOutput handleStoreReply(Milliseconds now, std::uint64_t call, const StoreReply& reply);

    /**
        Performs the periodic work that is due.

        @param awaited  holders whose adoption of the current epoch this VM waits for
    */
    EpochOutput tick(Milliseconds now, const std::vector<ShareHolder>& awaited);

    /** Returns when tick must be called next. */
    Milliseconds getNextDeadline() const;

    /** Announces that this VM has released everything it owned. This cannot be undone. */
    EpochOutput release();

    //==================================================================================================================
    /** Returns the epoch that this VM has adopted; releasedShareEpoch after release. */
    std::uint64_t getAdoptedEpoch() const;

private:
    struct MemberState {
        ShareMember member;
        Milliseconds unchangedSince;
    };

    bool isLeader(Milliseconds now) const;
    bool isProvenDead(const ShareHolder& holder) const;
    bool isReleasedHolder(const ShareHolder& holder) const;
    bool isReplacementStabilizing(Milliseconds now) const;
    std::vector<ShareHolder> computeHolders(Milliseconds now) const;
    std::vector<ShareHolder> getUnadopted() const;
    void announceRelease(EpochOutput& output) const;
    void addAdoptionQueries(std::set<VmId>& queriedVms);
    void propose(Milliseconds now, EpochOutput& output);
    void callStore(Milliseconds now, StoreRequest request, EpochOutput& output);
    void handleStoredEpoch(Milliseconds now, const StoreEntry& entry, EpochOutput& output);
    void applyEpoch(const ShareEpoch& epoch, EpochOutput& output);
    void forwardEpoch(const ShareEpoch& epoch, EpochOutput& output);
    void sendDigest(EpochOutput& output);
    std::vector<VmId> pickLiveVms(std::size_t count);
    ShareEpochDigest makeDigest(bool isReply) const;
    const ShareEpoch* getCurrent() const;
    std::uint64_t getCurrentNumber() const;

    ShareHolder self;
    RegionId region;
    ShareSettings settings;
    OwnerMap& owners;
    std::mt19937_64 random;
    bool isReleased = false;

    std::map<VmId, MemberState> members;
    std::map<VmId, Milliseconds> unlistedSince; // Holders that are absent from the platform's list.
    Milliseconds vmListFetchedAt;
    std::map<ShareHolder, std::uint64_t> adopted;
    std::uint64_t highestReportedEpoch = 0; // Largest epoch that any VM of the region has reported.

    std::optional<Milliseconds> startedAt;
    Milliseconds nextCheck;
    Milliseconds nextDigest;
    std::uint64_t lastCall = 0;
    std::uint64_t pendingCall = 0;
    std::optional<ShareEpoch> proposed; // Set while the pending store call is a write.
    Milliseconds pendingSince;
    Milliseconds nextStoreCallAt;
};

} // namespace papayashelf
