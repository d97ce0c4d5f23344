#include "shares/ledger/ShareLender.h"

#include <algorithm>

namespace papayashelf {

ShareGrant ShareLender::lend(Milliseconds now, const ShareRequest& message, const OwnDemand& own)
{
    ShareGrant grant { message.call, message.workspace, 0, {}, now, this->ownership.getEpoch(), 0 };
    TokenBucket* bucket = this->ownership.find(message.workspace);
    if (!bucket)
        return grant;
    // The longer wait has priority. Otherwise two owners that each hold half of what they need could deadlock.
    const std::int64_t kept = own.waited >= message.waited ? own.tokens : 0;
    const std::int64_t available = std::max<std::int64_t>(0, bucket->getTokens(now) - kept);
    grant.tokens = std::clamp<std::int64_t>(message.tokens, 0, available);
    grant.tokens += chooseStock(*bucket, available - grant.tokens, message);
    bucket->lend(now, grant.tokens);
    grant.left = available - grant.tokens;
    const std::int64_t rate = bucket->getLimit().tokensPerSecond;
    if (grant.tokens < message.tokens && rate > 0)
        grant.waitHint = Milliseconds((message.tokens - grant.tokens) * 1000 / rate + 1);
    return grant;
}

std::set<WorkspaceId> ShareLender::takeBack(Milliseconds now, const VmId& borrower, const ShareReturns& message)
{
    std::set<WorkspaceId> changed;
    auto& lastNumber = this->lastReturnNumbers[borrower];
    const std::pair<Incarnation, std::uint64_t> number { message.incarnation, message.sequence };
    if (number <= lastNumber)
        return changed;
    lastNumber = number;
    for (const ShareReturn& returned : message.returns) {
        TokenBucket* bucket = this->ownership.findOwnedSince(returned.workspace, returned.epoch);
        if (!bucket)
            continue;
        if (returned.tokens < 0)
            bucket->chargeBeyondReservation(now, -returned.tokens);
        else
            bucket->takeBack(now, returned.grantedAt, returned.tokens);
        changed.insert(returned.workspace);
    }
    return changed;
}

std::int64_t ShareLender::chooseStock(const TokenBucket& bucket, std::int64_t available, const ShareRequest& message)
{
    // The lender's bucket must not become less full than the borrower's bucket.
    constexpr std::int64_t permille = 1000;
    const std::int64_t kept = bucket.getLimit().burstTokens * message.stockPermille / permille;
    return std::clamp<std::int64_t>(message.stockTokens, 0, std::max<std::int64_t>(0, available - kept));
}

} // namespace papayashelf
