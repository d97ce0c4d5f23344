#pragma once

#include "foundation/time/Clock.h"

namespace papayashelf {

/**
    Decides when long prompts stop yielding prefill capacity to shorter ones of the same service and priority: once they
    are placed clearly less often than all of them.

    Load pattern: prompts of very different lengths arrive faster than the engines can prefill them, for long enough
   that yielding would turn into starvation of the longest ones.

    Times must not decrease from one call to the next. Thread safety: none; owned by one thread.
*/
class PromptSizeFairness {
public:
    /** Counts a request that asks for a place. @param tokens  prompt tokens that have to be read; 0 or more */
    void noteOffered(Milliseconds now, double tokens);

    /** Counts a request that was placed. @param tokens  the same number as for noteOffered() */
    void notePlaced(Milliseconds now, double tokens);

    /** Returns true if a request should yield to shorter prompts. */
    bool shouldYield(Milliseconds now, double tokens);

private:
    struct Counts {
        double offered = 0;
        double placed = 0;
    };

    void decay(Milliseconds now);
    bool isLong(double tokens) const;

    Counts all;
    Counts longOnes;
    double offeredTokens = 0;
    Milliseconds decayedAt;
};

} // namespace papayashelf
