#pragma once

#include "foundation/time/Clock.h"
#include <algorithm>
#include <cstdint>

namespace papayashelf {

/**
    The number of requests at an upstream, from late reports and what this VM itself has sent there since.

    Thread safety: none; owned by one thread.
*/
class LoadEstimate {
public:
    void noteStarted() { ++this->own; }
    void noteEnded() { this->own = std::max<std::int64_t>(0, this->own - 1); }

    /** Takes a report of the requests of all VMs together. */
    void noteReport(Milliseconds now, std::int64_t running, std::int64_t waiting)
    {
        this->reported = std::max<std::int64_t>(0, running + waiting);
        this->reportedWaiting = std::max<std::int64_t>(0, waiting);
        this->ownAtReport = this->own;
        this->reportedAt = now;
        this->hasReport = true;
    }

    /** Requests there now; without a fresh report only this VM's own ones are known. */
    std::int64_t total(Milliseconds now, Milliseconds lifetime) const
    {
        if (!this->isFresh(now, lifetime))
            return this->own;
        return std::max(this->own, this->reported + this->own - this->ownAtReport);
    }

    bool isFresh(Milliseconds now, Milliseconds lifetime) const
    {
        return this->hasReport && now - this->reportedAt <= lifetime;
    }

    std::int64_t getOwn() const { return this->own; }
    std::int64_t getReportedWaiting() const { return this->reportedWaiting; }
    bool wasReported() const { return this->hasReport; }
    Milliseconds getReportedAt() const { return this->reportedAt; }

private:
    std::int64_t own = 0;
    std::int64_t ownAtReport = 0;
    std::int64_t reported = 0;
    std::int64_t reportedWaiting = 0;
    Milliseconds reportedAt;
    bool hasReport = false;
};

} // namespace papayashelf
