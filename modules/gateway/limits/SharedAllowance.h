#pragma once

#include "foundation/time/Clock.h"
#include <cstddef>

namespace papayashelf {

/** A limit over several VMs together. */
struct SharedLimit {
    double unitsPerSecond = 0; /**< 0 for no limit. */
    double burstUnits = 0;
    double slackUnits = 0; /**< By which all VMs together may pass the burst, so that uneven parts refuse less. */

    bool operator==(const SharedLimit&) const = default;
};

/** What this VM knows of what is asked at the other VMs. */
struct RemoteDemand {
    double unitsPerSecond = 0; /**< Asked for at the other VMs, as they last told. */
    std::size_t vms = 1; /**< All VMs, this one included. */

    bool operator==(const RemoteDemand&) const = default;
};

/**
    This VM's part of a limit that several VMs share: a workspace's rate, or what a region's engines can read.

    Each VM spends the limit in proportion to what callers ask of it, so that all parts together are the limit whatever
    the callers' places. A VM that hears nothing goes on with the last it heard.

    Load patterns: one workspace asks for many times its limit while its callers move between regions; prompts
    come faster than a region's engines read them.
    Thread safety: none; owned by one thread.
*/
class SharedAllowance {
public:
    /** Sets the limit; a change keeps the level, up to the new burst. */
    void setLimit(const SharedLimit& newLimit) { this->limit = newLimit; }

    void setRemoteDemand(const RemoteDemand& demand) { this->remoteDemand = demand; }

    /**
        Counts a request's units as asked for and takes them if this VM's part allows.

        One request may take the level below 0, so that a small part still lets large requests in; the debt is paid
        before the next one.
    */
    bool tryTake(Milliseconds now, double units);

    /** Counts units as asked for, without taking them. */
    void noteDemand(Milliseconds now, double units);

    /** True if this VM's part has more left than a part of its depth, from -1 to 1. Nothing is counted. */
    bool hasLevelAbove(Milliseconds now, double shareOfDepth);

    /** Takes units that were let in. */
    void take(double units) { this->level -= units; }

    /** When a request may be taken again: 0 if now. */
    Milliseconds getWait(Milliseconds now);

    /** Units a second that callers ask for here. */
    double getDemand(Milliseconds now) const;

    /** What callers ask for at all VMs, as a part of the limit; 0 without a limit. */
    double getPressure(Milliseconds now) const;

    /** This VM's part of the rate, in units a second. */
    double getRate(Milliseconds now) const;

private:
    void refill(Milliseconds now);
    double getDepth(double rate) const;

    SharedLimit limit;
    RemoteDemand remoteDemand;
    double level = 0;
    bool hasStarted = false;
    Milliseconds refilledAt;
    double demand = 0; /**< Units a second, weighted less the older they are. */
    Milliseconds demandUpdatedAt;
};

} // namespace papayashelf
