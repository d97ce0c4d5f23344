#include "shares/bucket/TokenBucket.h"

#include <algorithm>
#include <cassert>

namespace papayashelf {

namespace {

constexpr std::int64_t unitsPerToken = 1000;
constexpr std::size_t maximumStretches = 256;
constexpr std::int64_t headroomSteps = 64;
constexpr Milliseconds coarseStretch { 250 };

} // namespace

ShareLimit lowerOf(const ShareLimit& left, const ShareLimit& right)
{
    return { std::min(left.tokensPerSecond, right.tokensPerSecond), std::min(left.burstTokens, right.burstTokens) };
}

TokenBucket::TokenBucket(Milliseconds now, Milliseconds occupiedFor)
    : occupiedFor(occupiedFor)
    , createdAt(now)
    , refilledAt(now)
    , stretches { { now, 0 } }
{
}

void TokenBucket::setLimit(Milliseconds now, const ShareLimit& next)
{
    this->advance(now);
    this->limit = next;
    this->content = std::min(this->content, std::max<std::int64_t>(0, this->getCapacity() - this->lent));
    this->noteHeadroom();
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
    this->beginStretch(now, tokens * unitsPerToken);
    this->content -= tokens * unitsPerToken;
    this->noteHeadroom();
}

void TokenBucket::lend(Milliseconds now, std::int64_t tokens)
{
    this->advance(now);
    assert(tokens >= 0 && tokens * unitsPerToken <= std::max<std::int64_t>(this->content, 0));
    // Headroom stays as it is until the loan lapses.
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
    const std::int64_t room = std::max<std::int64_t>(0, this->getHeadroom()) / unitsPerToken;
    const std::int64_t accepted = std::clamp<std::int64_t>(tokens, 0, room);
    this->content += accepted * unitsPerToken;
    this->noteHeadroom();
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
    auto first = std::upper_bound(this->stretches.begin(), this->stretches.end(), chargedAt,
        [](Milliseconds time, const Stretch& stretch) { return time < stretch.start; });
    if (first != this->stretches.begin())
        --first;
    std::int64_t units = tokens * unitsPerToken;
    for (auto stretch = first; stretch != this->stretches.end(); ++stretch)
        units = std::min(units, stretch->headroom);
    const std::int64_t accepted = std::max<std::int64_t>(0, units) / unitsPerToken;
    for (auto stretch = first; stretch != this->stretches.end(); ++stretch)
        stretch->headroom -= accepted * unitsPerToken;
    this->content += accepted * unitsPerToken;
    return accepted;
}

std::int64_t TokenBucket::takeBack(Milliseconds now, Milliseconds lentAt, std::int64_t tokens)
{
    if (lentAt <= this->createdAt || lentAt > now || tokens <= 0)
        return 0;
    this->advance(now);
    // While the loan still occupies its place, giving it back leaves the headroom as it is. Once it has lapsed, only
    // the time since then counts, as a smaller loan would have occupied a smaller place before.
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
    return this->refund(now, this->lapseOf(lentAt), tokens);
}

std::size_t TokenBucket::getBytes() const
{
    return sizeof(TokenBucket) + this->stretches.capacity() * sizeof(Stretch) + this->loans.size() * sizeof(Loan);
}

void TokenBucket::advance(Milliseconds now)
{
    now = std::max(now, this->refilledAt);
    while (!this->loans.empty() && this->lapseOf(this->loans.front().lentAt) <= now) {
        const Milliseconds lapse = this->lapseOf(this->loans.front().lentAt);
        const std::int64_t amount = this->loans.front().amount;
        this->refill(lapse);
        this->beginStretch(lapse, amount);
        this->lent -= amount;
        this->loans.pop_front();
    }
    this->refill(now);
}

void TokenBucket::refill(Milliseconds until)
{
    if (until <= this->refilledAt)
        return;
    const std::int64_t room = std::max<std::int64_t>(0, this->getHeadroom());
    const std::int64_t elapsed = (until - this->refilledAt).count();
    const std::int64_t rate = this->limit.tokensPerSecond;
    // The comparison by division keeps a long pause from overflowing the product.
    const bool fills = rate > 0 && elapsed > room / rate;
    this->content += fills ? room : elapsed * rate;
    this->refilledAt = until;
    this->noteHeadroom();
}

void TokenBucket::noteHeadroom()
{
    this->stretches.back().headroom = std::min(this->stretches.back().headroom, this->getHeadroom());
}

void TokenBucket::beginStretch(Milliseconds now, std::int64_t gained)
{
    // Only the first change of a millisecond may begin a stretch: all of its charges are then in the same one.
    const bool isFirst = now > this->lastBegun && now > this->stretches.back().start;
    this->lastBegun = std::max(now, this->lastBegun);
    if (!isFirst)
        return;
    const std::int64_t headroom = this->getHeadroom() + gained;
    const std::int64_t gain = headroom - this->stretches.back().headroom;
    const bool isWorthIt = gain > this->getCapacity() / headroomSteps
        || (gain > 0 && now - this->stretches.back().start >= coarseStretch);
    if (!isWorthIt)
        return;
    if (this->stretches.size() >= maximumStretches)
        this->mergeOldStretches();
    this->stretches.push_back({ now, headroom });
}

void TokenBucket::mergeOldStretches()
{
    const std::size_t merged = maximumStretches / 2;
    std::vector<Stretch> kept;
    kept.reserve(maximumStretches);
    for (std::size_t index = 0; index < merged; index += 2) {
        const Stretch& first = this->stretches[index];
        kept.push_back({ first.start, std::min(first.headroom, this->stretches[index + 1].headroom) });
    }
    kept.insert(kept.end(), this->stretches.begin() + static_cast<std::ptrdiff_t>(merged), this->stretches.end());
    this->stretches = std::move(kept);
}

Milliseconds TokenBucket::lapseOf(Milliseconds lentAt) const
{
    return lentAt + this->occupiedFor + Milliseconds(1);
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
