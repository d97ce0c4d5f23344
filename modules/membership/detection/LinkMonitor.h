#pragma once

#include "foundation/identity/Identifier.h"
#include "foundation/time/Clock.h"
#include "membership/MembershipSettings.h"
#include <map>
#include <optional>
#include <vector>

namespace papayashelf {

/** The state of the link to a neighbour. */
enum class LinkState {
    Reachable, /**< This VM received a heartbeat within queryAfter. */
    Silent, /**< No heartbeat for queryAfter, but a heartbeat or a confirmation within suspectAfter. */
    Suspect, /**< Neither a heartbeat nor a confirmation for suspectAfter. */
    Failed, /**< Suspect for long enough to be declared Gone. */
};

/**
    Monitors the links to a VM's neighbours by their heartbeats and by the reports of other VMs about them.

    Calls for VMs that are no neighbours have no effect.

    Thread safety: none; owned by one thread.
*/
class LinkMonitor {
public:
    /** Creates a monitor without neighbours. */
    explicit LinkMonitor(const MembershipSettings& settings);

    /** Replaces the neighbours. The silence of new ones is measured from now. */
    void setNeighbours(Milliseconds now, const std::vector<VmId>& neighbours);

    /** Records a heartbeat of the neighbour's current incarnation. */
    void recordHeartbeat(Milliseconds now, const VmId& vm);

    /** Records evidence other than a heartbeat that the neighbour is running, such as another VM's answer. */
    void recordConfirmation(Milliseconds now, const VmId& vm);

    /** Records that the observer receives no heartbeats from the neighbour either. */
    void recordSilenceReport(Milliseconds now, const VmId& vm, const VmId& observer);

    /** Restarts the measurement of silence for every neighbour, as needed after a pause of this VM itself. */
    void resetSilence(Milliseconds now);

    /** Updates the state of the link from its silence and returns it; Reachable for VMs that are no neighbours. */
    LinkState assess(Milliseconds now, const VmId& vm);

    /** Returns whether this VM received a heartbeat within queryAfter and can confirm the neighbour to others. */
    bool hasRecentHeartbeat(Milliseconds now, const VmId& vm) const;

    /** Returns whether any neighbour sent a heartbeat within suspectAfter; if none did, this VM may be isolated. */
    bool hasAnyRecentHeartbeat(Milliseconds now) const;

    /** Returns whether another VM reported the neighbour silent within suspectAfter. */
    bool isReportedSilent(Milliseconds now, const VmId& vm) const;

private:
    struct Link {
        Milliseconds lastHeartbeatAt;
        Milliseconds confirmedAt;
        std::optional<Milliseconds> suspectSince;
        std::map<VmId, Milliseconds> silenceReports;
    };

    MembershipSettings settings;
    std::map<VmId, Link> links;
};

} // namespace papayashelf
