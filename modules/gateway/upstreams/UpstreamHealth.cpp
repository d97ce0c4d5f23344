#include "gateway/upstreams/UpstreamHealth.h"

#include <algorithm>
#include <cmath>

namespace papayashelf {

namespace {

/** Time in which a result's weight decays to 1/e; a few times the interval between responses. */
constexpr double decaySeconds = 3;
/** Failure ratio of a suspect upstream; healthy plain services fail some requests too. */
constexpr double suspectFailureShare = 0.5;
constexpr double minimumFailures = 1.5; /**< Decayed count; a single failure is not significant. */
constexpr Milliseconds initialRetryDelay { 1000 }; /**< Time without requests after a failed connection. */
/** After this time, the platform's list shows whether the upstream is gone. */
constexpr Milliseconds maximumRetryDelay { 4000 };
constexpr int maximumDoublings = 2;
constexpr Milliseconds trialSpacing { 500 }; /**< Minimum time between trial requests to a suspect upstream. */

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
    // Concurrent requests may fail before the first failure is known; only a failure after the delay increases it.
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
