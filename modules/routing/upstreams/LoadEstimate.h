#pragma once

#include "foundation/time/Clock.h"
#include <algorithm>
#include <cstdint>

namespace papayashelf {

/**
    Estimates the number of requests at an upstream from its delayed load reports and from the requests that this VM
    has started and ended since the last report.

    Thread safety: none; owned by one thread.
*/
class LoadEstimate {
public:
    /** Counts a request that this VM started. */
    void noteStarted() { ++this->ownRequests; }
    /** Counts a request of this VM that ended. */
    void noteEnded() { this->ownRequests = std::max<std::int64_t>(0, this->ownRequests - 1); }

    /** Stores a load report, which counts the requests of all VMs. */
    void noteReport(Milliseconds now, std::int64_t running, std::int64_t waiting)
    {
        this->reportedRequests = std::max<std::int64_t>(0, running + waiting);
        this->reportedWaiting = std::max<std::int64_t>(0, waiting);
        this->ownRequestsAtReport = this->ownRequests;
        this->reportedAt = now;
        this->hasReport = true;
    }

    /** Returns the estimated number of requests; without a fresh report, only those of this VM. */
    std::int64_t total(Milliseconds now, Milliseconds lifetime) const
    {
        if (!this->isFresh(now, lifetime))
            return this->ownRequests;
        return std::max(this->ownRequests, this->reportedRequests + this->ownRequests - this->ownRequestsAtReport);
    }

    /** Returns whether a report exists that is not older than the lifetime. */
    bool isFresh(Milliseconds now, Milliseconds lifetime) const
    {
        return this->hasReport && now - this->reportedAt <= lifetime;
    }

    /** Returns the number of running requests that this VM started. */
    std::int64_t getOwnRequests() const { return this->ownRequests; }
    /** Returns the number of waiting requests in the last report. */
    std::int64_t getReportedWaiting() const { return this->reportedWaiting; }
    /** Returns whether any report has arrived. */
    bool hasBeenReported() const { return this->hasReport; }
    /** Returns the time of the last report. */
    Milliseconds getReportedAt() const { return this->reportedAt; }

private:
    std::int64_t ownRequests = 0;
    std::int64_t ownRequestsAtReport = 0;
    std::int64_t reportedRequests = 0;
    std::int64_t reportedWaiting = 0;
    Milliseconds reportedAt;
    bool hasReport = false;
};

} // namespace papayashelf
