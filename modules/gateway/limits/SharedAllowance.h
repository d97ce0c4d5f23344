#pragma once

#include "foundation/time/Clock.h"
#include <cstddef>

namespace papayashelf {

/** A limit that several VMs share. */
struct SharedLimit {
    double unitsPerSecond = 0; /**< Rate; 0 for no limit. */
    double burstUnits = 0;
    /** Units by which all VMs together may exceed the burst, which avoids refusals when shares are uneven. */
    double slackUnits = 0;

    bool operator==(const SharedLimit&) const = default;
};

/** The demand at the other VMs, as far as this VM knows. */
struct RemoteDemand {
    double unitsPerSecond = 0; /**< Demand that the other VMs last reported. */
    std::size_t vms = 1; /**< Number of VMs, including this one. */

    bool operator==(const RemoteDemand&) const = default;
};

/**
    This VM's share of a limit that several VMs enforce together: the rate of a workspace, or the prefill capacity of a
    region's engines.

    Each VM's share is proportional to the demand of its callers, so that all shares add up to the limit wherever the
    callers connect. A VM that receives no reports continues with the last ones.

    Load patterns: one workspace requests many times its limit while its callers move between regions; prompts arrive
    faster than a region's engines can prefill them.
    Thread safety: none; owned by one thread.
*/
class SharedAllowance {
public:
    /** Sets the limit. A change keeps the current level, capped at the new burst. */
    void setLimit(const SharedLimit& newLimit) { this->limit = newLimit; }

    /** Sets the demand at the other VMs, which determines this VM's share. */
    void setRemoteDemand(const RemoteDemand& demand) { this->remoteDemand = demand; }

    /**
        Counts a request's units as demand and takes them if this VM's share allows it. Returns true if they were taken.

        One request may take the level below 0, so that a small share still admits large requests. The next request has
        to wait until the level is above 0 again.
    */
    bool tryTake(Milliseconds now, double units);

    /** Counts units as demand without taking them. */
    void noteDemand(Milliseconds now, double units);

    /** Returns true if the level is above a share of the bucket depth, from -1 to 1. Takes and counts nothing. */
    bool hasLevelAbove(Milliseconds now, double shareOfDepth);

    /** Takes the units of an admitted request. */
    void take(double units) { this->level -= units; }

    /** Returns the time until a request may be admitted again; 0 if it may be now. */
    Milliseconds getWait(Milliseconds now);

    /** Returns true if there is a limit. */
    bool hasLimit() const { return this->limit.unitsPerSecond > 0; }

    /** Returns the units per second that callers request at this VM. */
    double getDemand(Milliseconds now) const;

    /** Returns the demand at all VMs as a fraction of the limit; 0 without a limit. */
    double getPressure(Milliseconds now) const;

    /** Returns this VM's share of the rate, in units per second. */
    double getRate(Milliseconds now) const;

private:
    void refill(Milliseconds now);
    double getDepth(double rate) const;

    SharedLimit limit;
    RemoteDemand remoteDemand;
    double level = 0;
    bool hasStarted = false;
    Milliseconds refilledAt;
    double demand = 0; /**< Exponentially decaying average, in units per second. */
    Milliseconds demandUpdatedAt;
};

} // namespace papayashelf
