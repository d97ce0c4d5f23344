#pragma once

#include "foundation/time/Clock.h"
#include <cstdint>
#include <deque>
#include <vector>

namespace papayashelf {

/** A rate and a burst: a workspace's whole limits, or the part of them that one region or owner has. */
struct ShareLimit {
    std::int64_t tokensPerSecond = 0;
    std::int64_t burstTokens = 0;

    bool operator==(const ShareLimit&) const = default;
};

/** Returns the lower rate and the lower burst of both limits. */
ShareLimit elementwiseMinimum(const ShareLimit& left, const ShareLimit& right);

/**
    A token bucket that starts empty, lends tokens to other VMs and accepts unused tokens back.

    The invariant is content + lent <= burst, where lent includes each loan for as long as the borrower may still spend
    it. In any period T, this VM and its borrowers therefore spend at most burst + rate * T from the bucket.

    A refund leaves the bucket as if the charge had been smaller from the start. It is therefore limited by the lowest
    headroom (burst - content - lent) since the charge. The lowest headroom is stored for a bounded number of time
    intervals. Old intervals are merged, which can only make a refund smaller.

    Thread safety: none; owned by one thread. Times passed to the methods must not decrease.
*/
class TokenBucket {
public:
    /**
        Creates an empty bucket with no rate and no burst.

        @param loanLifetime  how long after lending the borrower may still spend the tokens
    */
    TokenBucket(Milliseconds now, Milliseconds loanLifetime);

    /** Changes the rate and the burst from now on. Tokens that no longer fit are discarded. */
    void setLimit(Milliseconds now, const ShareLimit& limit);

    /** Returns the rate and the burst in force. */
    const ShareLimit& getLimit() const { return this->limit; }

    /** Returns the whole tokens that can be charged or lent now; negative if the bucket is in debt. */
    std::int64_t getTokens(Milliseconds now);

    //==================================================================================================================
    /** Removes tokens for a request of this VM. Precondition: 0 <= tokens <= getTokens(now). */
    void charge(Milliseconds now, std::int64_t tokens);

    /** Removes tokens that this VM lends to another VM. Precondition: 0 <= tokens <= getTokens(now). */
    void lend(Milliseconds now, std::int64_t tokens);

    /** Adds unexpired tokens that another owner lent to this VM; returns how many tokens fit into the bucket. */
    std::int64_t deposit(Milliseconds now, std::int64_t tokens);

    /** Charges tokens that a request used beyond its reservation. The bucket may go into debt. */
    void chargeBeyondReservation(Milliseconds now, std::int64_t tokens);

    /** Adds unused tokens of an earlier charge; returns how many tokens were accepted. */
    std::int64_t refund(Milliseconds now, Milliseconds chargedAt, std::int64_t tokens);

    /** Adds unused tokens of an earlier loan; returns how many tokens were accepted. */
    std::int64_t takeBack(Milliseconds now, Milliseconds lentAt, std::int64_t tokens);

    //==================================================================================================================
    /** Returns the approximate memory use in bytes. */
    std::size_t getBytes() const;

private:
    /** The lowest headroom between the start of this interval and the start of the next one. */
    struct HeadroomInterval {
        Milliseconds start;
        std::int64_t headroom = 0;
    };

    struct Loan {
        Milliseconds lentAt;
        std::int64_t amount = 0;
    };

    void advance(Milliseconds now);
    void refill(Milliseconds until);
    void updateLowestHeadroom();
    void beginHeadroomInterval(Milliseconds now, std::int64_t headroomIncrease);
    void mergeOldHeadroomIntervals();
    Milliseconds computeLoanExpiry(Milliseconds lentAt) const;
    std::int64_t getHeadroom() const;
    std::int64_t getCapacity() const;

    // Amounts are in thousandths of a token, so that a refill over whole milliseconds has no rounding error.
    ShareLimit limit;
    Milliseconds loanLifetime;
    Milliseconds createdAt;
    Milliseconds refilledAt;
    Milliseconds lastIntervalCheck { -1 };
    std::int64_t content = 0;
    std::int64_t lent = 0;
    std::deque<Loan> loans;
    std::vector<HeadroomInterval> headroomIntervals;
};

} // namespace papayashelf
