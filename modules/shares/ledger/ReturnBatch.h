#pragma once

#include "foundation/identity/Addressed.h"
#include "shares/messages/ShareMessages.h"
#include <map>
#include <vector>

namespace papayashelf {

/** Collects tokens that go back to their lenders, and sends them together. Thread safety: none; one thread. */
class ReturnBatch {
public:
    ReturnBatch(Incarnation self, Milliseconds period)
        : incarnation(self)
        , period(period)
    {
    }

    /** Adds tokens for a lender; a negative number charges what was used beyond the loan. */
    void add(Milliseconds now, const VmId& lender, const ShareReturn& returned);

    /** When flush is to be called; never() while there is nothing to return. */
    Milliseconds getDueTime() const { return this->dueAt; }

    /** Takes one message for each lender. */
    std::vector<Addressed<ShareMessage>> flush();

private:
    Incarnation incarnation = 0;
    Milliseconds period;
    Milliseconds dueAt = Milliseconds::never();
    std::map<VmId, std::vector<ShareReturn>> returns;
    std::uint64_t sent = 0;
};

} // namespace papayashelf
