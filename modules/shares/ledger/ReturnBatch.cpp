#include "shares/ledger/ReturnBatch.h"

#include <algorithm>

namespace papayashelf {

void ReturnBatch::add(Milliseconds now, const VmId& lender, const ShareReturn& returned)
{
    if (returned.tokens == 0)
        return;
    this->dueAt = std::min(this->dueAt, now + this->period);
    std::vector<ShareReturn>& list = this->returns[lender];
    for (ShareReturn& listed : list) {
        if (listed.workspace == returned.workspace && listed.grantedAt == returned.grantedAt
            && listed.epoch == returned.epoch && (listed.tokens > 0) == (returned.tokens > 0)) {
            listed.tokens += returned.tokens;
            return;
        }
    }
    list.push_back(returned);
}

std::vector<Addressed<ShareMessage>> ReturnBatch::flush()
{
    std::vector<Addressed<ShareMessage>> messages;
    for (auto& [lender, list] : this->returns)
        messages.push_back({ lender, ShareReturns { this->incarnation, ++this->sent, std::move(list) } });
    this->returns.clear();
    this->dueAt = Milliseconds::never();
    return messages;
}

} // namespace papayashelf
