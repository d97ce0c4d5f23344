#include "routing/upstreams/CircuitBreaker.h"

#include <algorithm>

namespace papayashelf {

bool CircuitBreaker::isOpen(Milliseconds now) const
{
    if (this->state == State::Trial)
        return true;
    return this->state == State::Ejected && now < this->ejectedUntil;
}

void CircuitBreaker::noteStarted(Milliseconds now)
{
    if (this->state == State::Ejected && now >= this->ejectedUntil)
        this->state = State::Trial;
}

bool CircuitBreaker::noteAnswered()
{
    this->consecutiveFailures = 0;
    // Outside a trial, the answer belongs to a request that started before the ejection, and does not end it.
    if (this->state != State::Trial) {
        if (this->state == State::Closed)
            this->ejections = 0;
        return false;
    }
    this->state = State::Closed;
    return true;
}

void CircuitBreaker::noteInconclusive()
{
    if (this->state == State::Trial)
        this->state = State::Ejected;
}

void CircuitBreaker::noteFailed(
    Milliseconds now, const RoutingSettings& settings, bool mayEject, std::mt19937_64& generator)
{
    ++this->consecutiveFailures;
    this->lastFailureAt = now;
    if (this->state == State::Trial) {
        this->eject(now, settings, generator);
        return;
    }
    if (this->state == State::Closed && mayEject && this->consecutiveFailures >= settings.failuresToEject)
        this->eject(now, settings, generator);
}

int CircuitBreaker::getRecentFailures(Milliseconds now) const
{
    constexpr Milliseconds recentFailureWindow { 5000 };
    return now - this->lastFailureAt < recentFailureWindow ? this->consecutiveFailures : 0;
}

void CircuitBreaker::eject(Milliseconds now, const RoutingSettings& settings, std::mt19937_64& generator)
{
    constexpr int maximumDoublings = 10;
    const std::int64_t backoffFactor = std::int64_t { 1 } << std::min(this->ejections, maximumDoublings);
    const Milliseconds duration
        = std::min(settings.firstEjectionDuration * backoffFactor, settings.maximumEjectionDuration);
    std::uniform_int_distribution<std::int64_t> jitter(duration.count() * 3 / 4, duration.count() * 5 / 4);
    this->ejectedUntil = now + Milliseconds(jitter(generator));
    this->state = State::Ejected;
    ++this->ejections;
}

} // namespace papayashelf
