#include "gateway/limits/PromptSizeFairness.h"

#include <algorithm>
#include <cmath>

namespace papayashelf {

namespace {

constexpr double longPromptFactor = 2; /**< A prompt is long from this multiple of the mean length on. */
/** Minimum ratio between the placed shares of long and of all prompts. Long ones also fail more often once placed. */
constexpr double minimumRelativeShare = 0.5;
constexpr double averagingSeconds = 8;
constexpr double minimumSample = 2; /**< Long prompts within the averaging time; fewer say nothing about their share. */

} // namespace

void PromptSizeFairness::noteOffered(Milliseconds now, double tokens)
{
    this->decay(now);
    this->all.offered += 1;
    this->offeredTokens += tokens;
    if (this->isLong(tokens))
        this->longOnes.offered += 1;
}

void PromptSizeFairness::notePlaced(Milliseconds now, double tokens)
{
    this->decay(now);
    this->all.placed += 1;
    if (this->isLong(tokens))
        this->longOnes.placed += 1;
}

bool PromptSizeFairness::shouldYield(Milliseconds now, double tokens)
{
    this->decay(now);
    if (!this->isLong(tokens) || this->longOnes.offered < minimumSample)
        return true;
    return this->longOnes.placed * this->all.offered
        >= minimumRelativeShare * this->all.placed * this->longOnes.offered;
}

void PromptSizeFairness::decay(Milliseconds now)
{
    const double factor = std::exp(-std::max(0.0, (now - this->decayedAt).seconds()) / averagingSeconds);
    this->decayedAt = now;
    for (double* count : { &this->all.offered, &this->all.placed, &this->longOnes.offered, &this->longOnes.placed,
             &this->offeredTokens })
        *count *= factor;
}

bool PromptSizeFairness::isLong(double tokens) const
{
    return tokens * this->all.offered > longPromptFactor * this->offeredTokens;
}

} // namespace papayashelf
