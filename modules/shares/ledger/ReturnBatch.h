#pragma once

#include "foundation/identity/Addressed.h"
#include "shares/messages/ShareMessages.h"
#include <map>
#include <vector>

namespace papayashelf {

/** Collects unused tokens and returns them in one message per lender. Thread safety: none; owned by one thread. */
class ReturnBatch {
public:
    /** @param period  how long the first return may wait before the batch is due */
    ReturnBatch(Incarnation self, Milliseconds period)
        : incarnation(self)
        , period(period)
    {
    }

    /** Adds tokens for a lender; a negative number charges tokens used beyond the loan. Zero is ignored. */
    void add(Milliseconds now, const VmId& lender, const ShareReturn& returned);

    /** Returns when flush must be called; never() if the batch is empty. */
    Milliseconds getDueTime() const { return this->dueTime; }

    /** Empties the batch and returns one message for each lender. */
    std::vector<Addressed<ShareMessage>> flush();

private:
    Incarnation incarnation = 0;
    Milliseconds period;
    Milliseconds dueTime = Milliseconds::never();
    std::map<VmId, std::vector<ShareReturn>> returns;
    std::uint64_t lastSequence = 0;
};

} // namespace papayashelf
