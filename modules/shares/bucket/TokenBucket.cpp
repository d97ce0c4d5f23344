#include "shares/bucket/TokenBucket.h"

#include <algorithm>
#include <cassert>

namespace papayashelf {

namespace {

constexpr std::int64_t unitsPerToken = 1000;
constexpr std::size_t maximumHeadroomIntervals = 256;
constexpr std::int64_t headroomGainDivisor = 64;
constexpr Milliseconds coarseIntervalLength { 250 };

} // namespace

ShareLimit elementwiseMinimum(const ShareLimit& left, const ShareLimit& right)
{
    return { std::min(left.tokensPerSecond, right.tokensPerSecond), std::min(left.burstTokens, right.burstTokens) };
}

TokenBucket::TokenBucket(Milliseconds now, Milliseconds loanLifetime)
    : loanLifetime(loanLifetime)
    , createdAt(now)
    , refilledAt(now)
    , headroomIntervals { { now, 0 } }
{
}

void TokenBucket::setLimit(Milliseconds now, const ShareLimit& next)
{
    this->advance(now);
    this->limit = next;
    this->content = std::min(this->content, std::max<std::int64_t>(0, this->getCapacity() - this->lent));
    this->updateLowestHeadroom();
}

std::int64_t TokenBucket::getTokens(Milliseconds now)
{
    this->advance(now);
    return this->content >= 0 ? this->content / unitsPerToken : this->content / unitsPerToken - 1;
}

void TokenBucket::charge(Milliseconds now, std::int64_t tokens)
{
    this->advance(now);
    assert(tokens >= 0 && tokens * unitsPerToken <= std::max<std::int64_t>(this->content, 0));
    this->beginHeadroomInterval(now, tokens * unitsPerToken);
    this->content -= tokens * unitsPerToken;
    this->updateLowestHeadroom();
}

void TokenBucket::lend(Milliseconds now, std::int64_t tokens)
{
    this->advance(now);
    assert(tokens >= 0 && tokens * unitsPerToken <= std::max<std::int64_t>(this->content, 0));
    // Lending moves tokens from content to lent, so the headroom does not change until the loan expires.
    this->content -= tokens * unitsPerToken;
    this->lent += tokens * unitsPerToken;
    if (!this->loans.empty() && this->loans.back().lentAt == now)
        this->loans.back().amount += tokens * unitsPerToken;
    else
        this->loans.push_back({ now, tokens * unitsPerToken });
}

std::int64_t TokenBucket::deposit(Milliseconds now, std::int64_t tokens)
{
    this->advance(now);
    const std::int64_t freeUnits = std::max<std::int64_t>(0, this->getHeadroom()) / unitsPerToken;
    const std::int64_t accepted = std::clamp<std::int64_t>(tokens, 0, freeUnits);
    this->content += accepted * unitsPerToken;
    this->updateLowestHeadroom();
    return accepted;
}

void TokenBucket::chargeBeyondReservation(Milliseconds now, std::int64_t tokens)
{
    this->advance(now);
    this->content -= tokens * unitsPerToken;
}

std::int64_t TokenBucket::refund(Milliseconds now, Milliseconds chargedAt, std::int64_t tokens)
{
    if (chargedAt <= this->createdAt || chargedAt > now)
        return 0;
    this->advance(now);
    auto first = std::upper_bound(this->headroomIntervals.begin(), this->headroomIntervals.end(), chargedAt,
        [](Milliseconds time, const HeadroomInterval& interval) { return time < interval.start; });
    if (first != this->headroomIntervals.begin())
        --first;
    std::int64_t units = tokens * unitsPerToken;
    for (auto interval = first; interval != this->headroomIntervals.end(); ++interval)
        units = std::min(units, interval->headroom);
    const std::int64_t accepted = std::max<std::int64_t>(0, units) / unitsPerToken;
    for (auto interval = first; interval != this->headroomIntervals.end(); ++interval)
        interval->headroom -= accepted * unitsPerToken;
    this->content += accepted * unitsPerToken;
    return accepted;
}

std::int64_t TokenBucket::takeBack(Milliseconds now, Milliseconds lentAt, std::int64_t tokens)
{
    if (lentAt <= this->createdAt || lentAt > now || tokens <= 0)
        return 0;
    this->advance(now);
    // Returning an unexpired loan moves tokens from lent to content, which does not change the headroom. For an expired
    // loan, only the headroom since its expiry limits the refund: before that, content + lent would have been the same
    // with a smaller loan.
    std::int64_t accepted = 0;
    const auto loan = std::lower_bound(this->loans.begin(), this->loans.end(), lentAt,
        [](const Loan& candidate, Milliseconds time) { return candidate.lentAt < time; });
    if (loan != this->loans.end() && loan->lentAt == lentAt) {
        accepted = std::min(tokens, loan->amount / unitsPerToken);
        loan->amount -= accepted * unitsPerToken;
        this->lent -= accepted * unitsPerToken;
        this->content += accepted * unitsPerToken;
        return accepted;
    }
    return this->refund(now, this->computeLoanExpiry(lentAt), tokens);
}

std::size_t TokenBucket::getBytes() const
{
    return sizeof(TokenBucket) + this->headroomIntervals.capacity() * sizeof(HeadroomInterval)
        + this->loans.size() * sizeof(Loan);
}

void TokenBucket::advance(Milliseconds now)
{
    now = std::max(now, this->refilledAt);
    while (!this->loans.empty() && this->computeLoanExpiry(this->loans.front().lentAt) <= now) {
        const Milliseconds expiry = this->computeLoanExpiry(this->loans.front().lentAt);
        const std::int64_t amount = this->loans.front().amount;
        this->refill(expiry);
        this->beginHeadroomInterval(expiry, amount);
        this->lent -= amount;
        this->loans.pop_front();
    }
    this->refill(now);
}

void TokenBucket::refill(Milliseconds until)
{
    if (until <= this->refilledAt)
        return;
    const std::int64_t freeUnits = std::max<std::int64_t>(0, this->getHeadroom());
    const std::int64_t elapsed = (until - this->refilledAt).count();
    const std::int64_t rate = this->limit.tokensPerSecond;
    // Dividing instead of multiplying avoids an overflow of elapsed * rate after a long pause.
    const bool isFilled = rate > 0 && elapsed > freeUnits / rate;
    this->content += isFilled ? freeUnits : elapsed * rate;
    this->refilledAt = until;
    this->updateLowestHeadroom();
}

void TokenBucket::updateLowestHeadroom()
{
    this->headroomIntervals.back().headroom = std::min(this->headroomIntervals.back().headroom, this->getHeadroom());
}

void TokenBucket::beginHeadroomInterval(Milliseconds now, std::int64_t headroomIncrease)
{
    // Only the first change in a millisecond may begin an interval, so that all charges of that millisecond share it.
    const bool isFirst = now > this->lastIntervalCheck && now > this->headroomIntervals.back().start;
    this->lastIntervalCheck = std::max(now, this->lastIntervalCheck);
    if (!isFirst)
        return;
    const std::int64_t headroom = this->getHeadroom() + headroomIncrease;
    const std::int64_t gain = headroom - this->headroomIntervals.back().headroom;
    const bool isSignificant = gain > this->getCapacity() / headroomGainDivisor
        || (gain > 0 && now - this->headroomIntervals.back().start >= coarseIntervalLength);
    if (!isSignificant)
        return;
    if (this->headroomIntervals.size() >= maximumHeadroomIntervals)
        this->mergeOldHeadroomIntervals();
    this->headroomIntervals.push_back({ now, headroom });
}

void TokenBucket::mergeOldHeadroomIntervals()
{
    const std::size_t merged = maximumHeadroomIntervals / 2;
    std::vector<HeadroomInterval> kept;
    kept.reserve(maximumHeadroomIntervals);
    for (std::size_t index = 0; index < merged; index += 2) {
        const HeadroomInterval& first = this->headroomIntervals[index];
        kept.push_back({ first.start, std::min(first.headroom, this->headroomIntervals[index + 1].headroom) });
    }
    kept.insert(kept.end(), this->headroomIntervals.begin() + static_cast<std::ptrdiff_t>(merged),
        this->headroomIntervals.end());
    this->headroomIntervals = std::move(kept);
}

Milliseconds TokenBucket::computeLoanExpiry(Milliseconds lentAt) const
{
    return lentAt + this->loanLifetime + Milliseconds(1);
}

std::int64_t TokenBucket::getHeadroom() const
{
    return this->getCapacity() - this->content - this->lent;
}

std::int64_t TokenBucket::getCapacity() const
{
    return this->limit.burstTokens * unitsPerToken;
}

} // namespace papayashelf
