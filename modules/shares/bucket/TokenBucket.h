#pragma once

#include "foundation/time/Clock.h"
#include <cstdint>
#include <deque>
#include <vector>

namespace papayashelf {

/** One owner's part of a rate and a burst. */
struct ShareLimit {
    std::int64_t tokensPerSecond = 0;
    std::int64_t burstTokens = 0;

    bool operator==(const ShareLimit&) const = default;
};

/** The lower of both in each respect. */
ShareLimit lowerOf(const ShareLimit& left, const ShareLimit& right);

/**
    A token bucket that starts empty, lends to other VMs and takes back what was not used.

    It keeps content + lent <= burst, where lent counts each loan for as long as the borrower may still spend it. So
    what is spent out of it in any time T, here and by borrowers, is at most burst + rate * T.

    A refund has the effect that charging less in the first place would have had: it is limited by the lowest headroom
    (burst - content - lent) since the charge. Headroom is kept for a bounded number of stretches of time; older ones
    are merged, which can only make a refund smaller.

    Thread safety: none; owned by one thread. Times must not go back.
*/
class TokenBucket {
public:
    /** @param occupiedFor  how long a loan counts as possibly unspent */
    TokenBucket(Milliseconds now, Milliseconds occupiedFor);

    /** Changes rate and burst from now on. */
    void setLimit(Milliseconds now, const ShareLimit& limit);

    const ShareLimit& getLimit() const { return this->limit; }

    /** Whole tokens that can be charged or lent now; negative in debt. */
    std::int64_t getTokens(Milliseconds now);

    //==================================================================================================================
    /** Takes tokens for a request of this VM. Precondition: 0 <= tokens <= getTokens(now). */
    void charge(Milliseconds now, std::int64_t tokens);

    /** Takes tokens for another VM. Precondition: 0 <= tokens <= getTokens(now). */
    void lend(Milliseconds now, std::int64_t tokens);

    /** Puts in tokens that another owner lent to this VM and that are still valid; returns how many found room. */
    std::int64_t deposit(Milliseconds now, std::int64_t tokens);

    /** Charges what a request used beyond its reservation, into debt if need be. */
    void chargeBeyondReservation(Milliseconds now, std::int64_t tokens);

    /** Takes back what a charge of this bucket did not use; returns how many tokens were accepted. */
    std::int64_t refund(Milliseconds now, Milliseconds chargedAt, std::int64_t tokens);

    /** Takes back what a borrower did not use; returns how many tokens were accepted. */
    std::int64_t takeBack(Milliseconds now, Milliseconds lentAt, std::int64_t tokens);

    //==================================================================================================================
    /** About how many bytes it takes. */
    std::size_t getBytes() const;

private:
    /** A stretch of time, up to the start of the next, with the lowest headroom in it. */
    struct Stretch {
        Milliseconds start;
        std::int64_t headroom = 0;
    };

    struct Loan {
        Milliseconds lentAt;
        std::int64_t amount = 0;
    };

    void advance(Milliseconds now);
    void refill(Milliseconds until);
    void noteHeadroom();
    void beginStretch(Milliseconds now, std::int64_t gained);
    void mergeOldStretches();
    Milliseconds lapseOf(Milliseconds lentAt) const;
    std::int64_t getHeadroom() const;
    std::int64_t getCapacity() const;

    // Amounts are thousandths of a token, so that a refill over whole milliseconds is exact.
    ShareLimit limit;
    Milliseconds occupiedFor;
    Milliseconds createdAt;
    Milliseconds refilledAt;
    Milliseconds lastBegun { -1 };
    std::int64_t content = 0;
    std::int64_t lent = 0;
    std::deque<Loan> loans;
    std::vector<Stretch> stretches;
};

} // namespace papayashelf
