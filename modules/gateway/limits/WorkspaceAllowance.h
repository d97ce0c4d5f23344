#pragma once

#include "foundation/time/Clock.h"
#include <cstddef>

namespace papayashelf {

/** A workspace's limit over all VMs. */
struct WorkspaceLimit {
    double unitsPerSecond = 0; /**< 0 for no limit. */
    double burstUnits = 0;
    double slackUnits = 0; /**< By which all VMs together may pass the burst, so that uneven parts refuse less. */

    bool operator==(const WorkspaceLimit&) const = default;
};

/** What this VM knows of the workspace's callers at the other VMs. */
struct DemandElsewhere {
    double unitsPerSecond = 0; /**< Asked for at the other VMs, as they last told. */
    std::size_t vms = 1; /**< All VMs, this one included. */

    bool operator==(const DemandElsewhere&) const = default;
};

/**
    This VM's part of one workspace's limit.

    Each VM spends the limit in proportion to what callers ask of it, so that all parts together are the limit whatever
    the callers' places. A VM that hears nothing goes on with the last it heard.

    Load pattern: one workspace asks for many times its limit while its callers move between regions.
    Thread safety: none; owned by one thread.
*/
class WorkspaceAllowance {
public:
    /** Sets the limit; a change keeps the level, up to the new burst. */
    void setLimit(const WorkspaceLimit& newLimit) { this->limit = newLimit; }

    void setElsewhere(const DemandElsewhere& demand) { this->elsewhere = demand; }

    /**
        Counts a request's units as asked for and takes them if this VM's part allows.

        One request may take the level below 0, so that a workspace with a small part can still send large requests; the
        debt is paid before the next one.
    */
    bool tryTake(Milliseconds now, double units);

    /** When a request may be taken again: 0 if now. */
    Milliseconds getWait(Milliseconds now);

    /** Units a second that callers ask for here. */
    double getDemand(Milliseconds now) const;

    /** This VM's part of the rate, in units a second. */
    double getRate(Milliseconds now) const;

private:
    void refill(Milliseconds now);
    void noteDemand(Milliseconds now, double units);
    double getDepth(double rate) const;

    WorkspaceLimit limit;
    DemandElsewhere elsewhere;
    double level = 0;
    bool hasStarted = false;
    Milliseconds refilledAt;
    double demand = 0; /**< Units a second, weighted less the older they are. */
    Milliseconds demandAt;
};

} // namespace papayashelf
