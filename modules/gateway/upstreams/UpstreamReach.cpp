#include "gateway/upstreams/UpstreamReach.h"

#include <algorithm>

namespace papayashelf {

void UpstreamReach::noteContact(Milliseconds now)
{
    this->lastContactAt = now;
    this->waitingSince.reset();
}

void UpstreamReach::noteSent(Milliseconds now)
{
    if (!this->waitingSince)
        this->waitingSince = now;
}

void UpstreamReach::noteBytes(Milliseconds now)
{
    // Open connections may live on while no new one comes about, so bytes do not clear what could not be reached.
    this->noteContact(now);
}

void UpstreamReach::noteConnected(Milliseconds now)
{
    this->noteContact(now);
    this->connectedAt = now;
    this->unreachable.clear();
}

void UpstreamReach::noteUnreachable(const UpstreamId& upstream)
{
    this->unreachable.insert(upstream);
}

bool UpstreamReach::isCheckDue(Milliseconds now) const
{
    if (now - this->checkedAt < checkInterval)
        return false;
    return this->lost || this->unreachable.size() >= suspectedUpstreams
        || (this->waitingSince && now - *this->waitingSince >= suspectedSilence);
}

bool UpstreamReach::noteCheck(Milliseconds now, std::size_t tried, std::size_t reached)
{
    if (reached > 0)
        this->noteConnected(now);
    const bool wasLost = this->lost;
    if (!wasLost) {
        const bool hasConnectedMeanwhile = this->connectedAt > this->checkedAt;
        this->lost = reached == 0 && !hasConnectedMeanwhile;
    } else {
        // Right after a link heals, packets may still be lost; a single connection would make the state alternate.
        const bool isProven = reached >= std::min<std::size_t>(tried, 2) || (reached > 0 && this->hasReachedOne);
        this->lost = !isProven;
        this->regainedAt = isProven ? now : this->regainedAt;
    }
    this->hasReachedOne = this->lost && reached > 0;
    return this->lost != wasLost;
}

} // namespace papayashelf
