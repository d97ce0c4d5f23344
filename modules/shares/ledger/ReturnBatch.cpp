#include "shares/ledger/ReturnBatch.h"

#include <algorithm>

namespace papayashelf {

void ReturnBatch::add(Milliseconds now, const VmId& lender, const ShareReturn& returned)
{
    if (returned.tokens == 0)
        return;
    this->dueTime = std::min(this->dueTime, now + this->period);
    std::vector<ShareReturn>& lenderReturns = this->returns[lender];
    for (ShareReturn& listed : lenderReturns) {
        if (listed.workspace == returned.workspace && listed.grantedAt == returned.grantedAt
            && listed.epoch == returned.epoch && (listed.tokens > 0) == (returned.tokens > 0)) {
            listed.tokens += returned.tokens;
            return;
        }
    }
    lenderReturns.push_back(returned);
}

std::vector<Addressed<ShareMessage>> ReturnBatch::flush()
{
    std::vector<Addressed<ShareMessage>> messages;
    for (auto& [lender, lenderReturns] : this->returns)
        messages.push_back(
            { lender, ShareReturns { this->incarnation, ++this->lastSequence, std::move(lenderReturns) } });
    this->returns.clear();
    this->dueTime = Milliseconds::never();
    return messages;
}

} // namespace papayashelf
