#pragma once

#include "dispatch/claims/ClaimValue.h"
#include "dispatch/claims/ClaimedOperation.h"
#include "dispatch/settings/DispatchSettings.h"
#include "platform/store/StoreCall.h"
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace papayashelf {

/** The possible results of a claim. */
enum class ClaimState {
    Granted, /**< This request may run. No other request with the same key will ever run. */
    Confirmed, /**< The operation ran before, and the status of its answer is known. */
    Unknown, /**< The operation is running elsewhere or ended with an unknown outcome. It is never run again. */
    Unavailable, /**< The claim could not be written to the store. This request did not run. */
};

/** The result of ClaimTracker::claim() for one request. */
struct ClaimDecision {
    RequestId request = 0;
    ClaimState state = ClaimState::Unavailable;
    ClaimValue value; /**< The existing claim, if the state is Confirmed or Unknown. */
};

/** The decisions and store calls that result from one event. */
struct ClaimOutput {
    std::vector<ClaimDecision> decisions;
    std::vector<StoreCall> calls;
};

/**
    Ensures that a request with an idempotency key runs at most once across all VMs.

    Each operation has one key in the store, which is created by compare-and-swap. The VM that creates the key may run
    the operation; every other VM finds the key and does not run it. If the reply to a write is lost, the key is read
    to find out whether the write took effect. A claim is removed only if its request certainly did not run or if its
    retention time has passed.

    Thread safety: none; owned by one thread.
*/
class ClaimTracker {
public:
    /** @param wallClockAtZero  wall-clock time, in milliseconds, at which this process's clock was 0 */
    ClaimTracker(const DispatchSettings& settings, VmId self, Incarnation incarnation, Milliseconds wallClockAtZero);

    /** Claims an operation for a request. The decision is returned by this call or by a later event. */
    ClaimOutput claim(Milliseconds now, RequestId request, const ClaimedOperation& operation);

    /** Records in the store that the request completed with this answer. Precondition: its claim was granted. */
    ClaimOutput confirm(
        Milliseconds now, RequestId request, int status, bool isBodyHeld, std::string contentType, std::string body);

    /**
        Removes the claim of a request that did not run and never will, so that the operation can be claimed again.
        Does nothing if the request has no claim.
    */
    ClaimOutput release(Milliseconds now, RequestId request);

    /** Leaves the claim in place, as the request may have run. Also ends a claim that is still undecided. */
    void leaveUnknown(Milliseconds now, RequestId request);

    /** Processes the reply to a store call. Replies to superseded calls are ignored. */
    ClaimOutput handleReply(Milliseconds now, std::uint64_t call, const StoreReply& reply);

    /** Runs all timers that are due. */
    ClaimOutput tick(Milliseconds now);

    /** Time at which tick() must be called next; never() if no timer is set. */
    Milliseconds getNextDeadline() const;

    /** Whether a confirmation or release has not been completed by the store yet. */
    bool hasUnsettledClaims() const;

private:
    enum class Step {
        Writing, /**< The claim is being written to the store. */
        Reading, /**< The key is being read after a conflict or a lost reply. */
        Held, /**< The claim is granted and its request may run. */
        Confirming, /**< The result is being written to the store. */
        Releasing, /**< The claim is being removed from the store. */
        Retained, /**< The outcome is final: confirmed or unknown. The claim is removed after its retention time. */
    };

    struct Claim {
        RequestId request = 0;
        Step step = Step::Writing;
        ClaimValue value;
        StoreVersion version = 0; /**< Last known version in the store; 0 if the key does not exist. */
        bool hadConflict = false; /**< The key already existed when the claim was written. */
        bool mayBeWritten = false; /**< The outcome of a write by this VM is unknown. */
        Milliseconds giveUpAt; /**< When the current step times out. */
        Milliseconds timerDueAt = Milliseconds::never();
        std::uint64_t call = 0; /**< The pending store call; 0 if there is none. */
        StoreOperation operation = StoreOperation::Get; /**< The operation of the last store call. */
    };
    using Claims = std::map<std::string, Claim>;

    void send(Milliseconds now, Claims::iterator claim, StoreOperation operation, ClaimOutput& output);
    void handleTimer(Milliseconds now, Claims::iterator claim, ClaimOutput& output);
    void handleSwapReply(Milliseconds now, Claims::iterator claim, const StoreReply& reply, ClaimOutput& output);
    void handleGetReply(Milliseconds now, Claims::iterator claim, const StoreReply& reply, ClaimOutput& output);
    void handleOwnClaim(Milliseconds now, Claims::iterator claim, const ClaimValue& found, ClaimOutput& output);
    void handleForeignClaim(
        Milliseconds now, Claims::iterator claim, const Outcome<ClaimValue>& found, ClaimOutput& output);
    void handleMissingClaim(Milliseconds now, Claims::iterator claim, ClaimOutput& output);
    void handleRemoveReply(Milliseconds now, Claims::iterator claim, const StoreReply& reply, ClaimOutput& output);
    void grant(Claims::iterator claim, ClaimOutput& output);
    void giveUp(Milliseconds now, Claims::iterator claim, ClaimOutput& output);
    void retain(Milliseconds now, Claims::iterator claim);
    void eraseOldest();
    void setTimer(Claims::iterator claim, Milliseconds at);
    void erase(Claims::iterator claim);
    bool isOwnClaim(const Claim& claim, const ClaimValue& value) const;
    bool tryTakeClaimPermit(Milliseconds now);
    ClaimDecision decideRepeat(RequestId request, const Claim& claim) const;

    const DispatchSettings settings;
    const VmId self;
    const Incarnation incarnation;
    const Milliseconds wallClockAtZero;
    Claims claims;
    std::map<RequestId, std::string> keys;
    std::map<std::uint64_t, std::string> calls;
    std::set<std::pair<Milliseconds, std::string>> timers;
    std::uint64_t lastCall = 0;
    std::uint64_t lastNonce = 0;
    double claimPermits;
    Milliseconds permitsRefilledAt;
};

} // namespace papayashelf
