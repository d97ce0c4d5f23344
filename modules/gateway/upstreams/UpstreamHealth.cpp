#include "gateway/upstreams/UpstreamHealth.h"

#include <algorithm>
#include <cmath>

namespace papayashelf {

namespace {

constexpr double decaySeconds = 3; /**< Weight of an answer falls to 1/e; a few times the spacing of answers. */
constexpr double suspectFailureShare = 0.5; /**< Share of bad answers; plain services fail some requests when sound. */
constexpr double minimumFailures = 1.5; /**< Weighted; a single failure says little. */
constexpr Milliseconds initialRetryDelay { 1000 }; /**< Without requests after a failed connection. */
constexpr Milliseconds maximumRetryDelay { 4000 }; /**< By then the list says whether the upstream is gone. */
constexpr int maximumDoublings = 2;
constexpr Milliseconds trialSpacing { 500 }; /**< Between trial requests to a suspect upstream. */

} // namespace

double UpstreamHealth::computeDecayFactor(Milliseconds now) const
{
    return std::exp(-std::max(0.0, (now - this->decayedAt).seconds()) / decaySeconds);
}

void UpstreamHealth::addObservation(Milliseconds now, HealthObservation observation)
{
    const double factor = this->computeDecayFactor(now);
    this->successes *= factor;
    this->failures *= factor;
    this->decayedAt = now;
    if (observation == HealthObservation::Success) {
        this->successes += 1;
        this->unreachableUntil = now;
        this->failedConnections = 0;
        return;
    }
    this->failures += 1;
    // Several requests may fail before the first failure is known; only one after a pause makes the pause longer.
    if (observation == HealthObservation::Unreachable && now >= this->unreachableUntil)
        this->unreachableUntil
            = now + std::min(initialRetryDelay * (std::int64_t { 1 } << this->failedConnections++), maximumRetryDelay);
    this->failedConnections = std::min(this->failedConnections, maximumDoublings);
}

bool UpstreamHealth::isSuspect(Milliseconds now) const
{
    if (now < this->unreachableUntil)
        return true;
    const double recentFailures = this->failures * this->computeDecayFactor(now);
    return recentFailures >= minimumFailures
        && this->failures >= suspectFailureShare * (this->successes + this->failures);
}

void UpstreamHealth::noteTrial(Milliseconds now)
{
    this->nextTrial = now + trialSpacing;
}

} // namespace papayashelf
