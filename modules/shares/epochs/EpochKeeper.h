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

/** What an EpochKeeper wants done, and what it has learnt. */
struct EpochOutput {
    ShareOutput actions;
    std::optional<ShareEpoch> adopted; /**< A newer epoch of this VM's region, to be adopted at once. */
    std::vector<std::pair<ShareHolder, std::uint64_t>> adoptions; /**< Epochs that other holders have adopted. */
    bool hasLearnt = false; /**< The owner map changed. */
};

/**
    Learns, spreads and, on the VM that leads its region, proposes share epochs.

    A holder leaves the epochs only when it is proven dead: the platform's list has lacked it for a while, a newer
    incarnation of the same VM is there, or it has released what it owned. A VM that is silent but listed stays.
    No epoch is proposed before every holder of the last one has adopted it or is proven dead.

    Thread safety: none; owned by one thread.
*/
class EpochKeeper {
public:
    /** @param owners  receives what is learnt; must outlive the keeper */
    EpochKeeper(ShareHolder self, RegionId region, const ShareSettings& settings, OwnerMap& owners, std::uint64_t seed);

    void setMembers(Milliseconds now, const std::vector<ShareMember>& members);
    void setVmList(Milliseconds now, const VmList& list);

    //==================================================================================================================
    EpochOutput handleNews(Milliseconds now, const VmId& from, const ShareEpochNews& message);
    EpochOutput handleAdopted(Milliseconds now, const VmId& from, const ShareEpochAdopted& message);
    EpochOutput handleDigest(Milliseconds now, const VmId& from, const ShareEpochDigest& message);
    EpochOutput handleStoreReply(Milliseconds now, std::uint64_t call, const StoreReply& reply);

    /** Does what is due; awaited names holders whose adoption this VM needs to know. */
    EpochOutput tick(Milliseconds now, const std::vector<ShareHolder>& awaited);
    Milliseconds getNextDeadline() const;

    /** Declares, for good, that this VM owns nothing any more. */
    EpochOutput release();

    //==================================================================================================================
    /** The epoch that this VM has adopted; releasedShareEpoch after release. */
    std::uint64_t getAdoptedEpoch() const;

private:
    struct Presence {
        ShareMember member;
        Milliseconds since;
    };

    bool isLeader(Milliseconds now) const;
    bool isProvenDead(const ShareHolder& holder) const;
    bool isReleasedHolder(const ShareHolder& holder) const;
    bool isReplacementSettling(Milliseconds now) const;
    std::vector<ShareHolder> computeHolders(Milliseconds now) const;
    std::vector<ShareHolder> getUnadopted() const;
    void announceRelease(EpochOutput& output) const;
    void askForAdoptions(std::set<VmId>& asked);
    void propose(Milliseconds now, EpochOutput& output);
    void callStore(Milliseconds now, StoreRequest request, EpochOutput& output);
    void handleRead(Milliseconds now, const StoreEntry& entry, EpochOutput& output);
    void learn(const ShareEpoch& epoch, EpochOutput& output);
    void spread(const ShareEpoch& epoch, EpochOutput& output);
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

    std::map<VmId, Presence> members;
    std::map<VmId, Milliseconds> unlistedSince; // Holders that the platform's list lacks.
    Milliseconds listedAt;
    std::map<ShareHolder, std::uint64_t> adopted;
    std::uint64_t seenEpoch = 0; // The largest that any VM of the region has reported.

    std::optional<Milliseconds> startedAt;
    Milliseconds nextCheck;
    Milliseconds nextDigest;
    std::uint64_t lastCall = 0;
    std::uint64_t pendingCall = 0;
    std::optional<ShareEpoch> proposed; // Set while the pending call writes.
    Milliseconds pendingSince;
    Milliseconds storeNotBefore;
};

} // namespace papayashelf
