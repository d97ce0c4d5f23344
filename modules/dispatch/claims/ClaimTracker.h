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

enum class ClaimState {
    Granted, /**< This request may run; no other with the same key ever will. */
    Confirmed, /**< It ran before, and the answer's status is known. */
    Unknown, /**< It runs elsewhere, or ran with an unknown outcome. Never run again. */
    Unavailable, /**< The store could not be asked; this request was not run. */
};

/** The answer to a claim. */
struct ClaimDecision {
    RequestId request = 0;
    ClaimState state = ClaimState::Unavailable;
    ClaimValue value; /**< The claim that stands, for Confirmed and Unknown. */
};

struct ClaimOutput {
    std::vector<ClaimDecision> decisions;
    std::vector<StoreCall> calls;
};

/**
    Lets a request with an idempotency key run at most once over all VMs.

    Each operation has one key in the store, written by compare-and-swap only if it does not exist. Whoever wrote
    it may run the operation; everyone else finds it and does not. Lost answers are resolved by reading back. A
    claim is only removed when its request certainly did not run, or when it has passed its retention.

    Thread safety: none; owned by one thread.
*/
class ClaimTracker {
public:
    /** @param wallClockAtZero  wall-clock time at which this process's clock stood at 0 */
    ClaimTracker(const DispatchSettings& settings, VmId self, Incarnation incarnation, Milliseconds wallClockAtZero);

    /** Asks for the right to run; a verdict for the request follows, now or with a later event. */
    ClaimOutput claim(Milliseconds now, RequestId request, const ClaimedOperation& operation);

    /** The request completed with this answer. Precondition: its claim was granted. */
    ClaimOutput confirm(
        Milliseconds now, RequestId request, int status, bool isBodyHeld, std::string contentType, std::string body);

    /** The request certainly did not run and never will: the operation may be claimed anew. */
    ClaimOutput release(Milliseconds now, RequestId request);

    /** The request may have run: the claim stays as it is. Also ends a claim that had no verdict yet. */
    void leaveUnknown(Milliseconds now, RequestId request);

    ClaimOutput handleReply(Milliseconds now, std::uint64_t call, const StoreReply& reply);
    ClaimOutput tick(Milliseconds now);
    Milliseconds getNextDeadline() const;

    /** Whether any confirmation or release is still on its way to the store. */
    bool hasUnsettledClaims() const;

private:
    enum class Step {
        Writing, /**< The claim is being written. */
        Reading, /**< Being read, after a conflict or a lost answer. */
        Held, /**< Granted; the request runs. */
        Confirming,
        Releasing,
        Retained, /**< Confirmed or unknown for good; removed after its retention. */
    };

    struct Claim {
        RequestId request = 0;
        Step step = Step::Writing;
        ClaimValue value;
        StoreVersion version = 0; /**< Version in the store as far as known; 0 when it is not there. */
        bool hadConflict = false; /**< Something stood there when it was written. */
        bool mayBeWritten = false; /**< A write of ours had no clear answer. */
        Milliseconds giveUpAt;
        Milliseconds timerDueAt = Milliseconds::never();
        std::uint64_t call = 0; /**< Call under way; 0 for none. */
        StoreOperation operation = StoreOperation::Get; /**< What that call does. */
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
