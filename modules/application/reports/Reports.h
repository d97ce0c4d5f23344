#pragma once

#include "metrics/metrics.h"
#include "node/node.h"
#include "timeline/timeline.h"
#include <string>

namespace papayashelf {

/** The JSON answers of the administration API and of the entries list. Thread safety: any thread. */

/** This VM, its revision, its shares and its counters. */
std::string writeStatus(const NodeSnapshot& snapshot);

/** The VMs as this one sees them. */
std::string writeMembers(const NodeSnapshot& snapshot);

/** The upstreams that this VM uses. */
std::string writeUpstreams(const NodeSnapshot& snapshot);

/** Each workspace's voted limits and the VMs that own its tokens. */
std::string writeShares(const NodeSnapshot& snapshot);

/** Counts and quantiles by workspace. */
std::string writeMetrics(const NodeSnapshot& snapshot, const FiguresByWorkspace& figures);

/**
    Which regions hold a withdrawal. A region of the configuration that has no reachable VM counts as not reached: it
    may still accept the key.
*/
std::string writeReach(const std::vector<RegionCoverage>& reach, const NodeSnapshot& snapshot);

/** Events, each with the wall-clock time at which its VM's clock showed it. */
std::string writeTimeline(const std::vector<TimelineEvent>& events, Milliseconds wallClockAtZero);

/** Which VMs a caller should use, best first, with how long the answer holds. */
std::string writeEntries(const std::vector<Entry>& entries, const NodeSnapshot& snapshot, Milliseconds validity);

/** The models that any workspace could ask for, as clients of model engines expect the list. */
std::string writeModels(const Governance& governance);

} // namespace papayashelf
