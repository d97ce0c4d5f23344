#pragma once

#include "foundation/identity/Identifier.h"
#include "foundation/time/Clock.h"
#include "membership/MembershipSettings.h"
#include <map>
#include <optional>
#include <vector>

namespace papayashelf {

/** How a link to a neighbour stands. */
enum class LinkState {
    Heard, /**< Heard lately, by this VM or by another neighbour of the same VM. */
    Quiet, /**< Quiet for long enough to ask others about it. */
    Suspect, /**< Neither heard nor vouched for. */
    Lost, /**< Suspect for so long that it is to be declared Gone. */
};

/**
    Watches the links to a VM's neighbours: when each was heard, who vouched for it, and who else misses it.

    Thread safety: none; owned by one thread.
*/
class LinkMonitor {
public:
    explicit LinkMonitor(const MembershipSettings& settings);

    /** Replaces the neighbours; new ones count as heard now, so that they get the full time to be heard. */
    void setNeighbours(Milliseconds now, const std::vector<VmId>& neighbours);

    /** A heartbeat of the neighbour's present life came in. VMs that are no neighbours are ignored here and below. */
    void noteHeard(Milliseconds now, const VmId& vm);

    /** Another VM said that it hears the neighbour. */
    void noteVouch(Milliseconds now, const VmId& vm);

    /** Another VM misses the neighbour as well. */
    void noteMissedBy(Milliseconds now, const VmId& vm, const VmId& observer);

    /** Counts every neighbour as heard now; for after a pause of this VM itself. */
    void restart(Milliseconds now);

    /** Moves the link on to the state that its silence stands for, and returns it. */
    LinkState assess(Milliseconds now, const VmId& vm);

    /** Whether this VM itself heard the neighbour so lately that it can vouch for it. */
    bool isHeard(Milliseconds now, const VmId& vm) const;

    /** Whether this VM itself hears any neighbour; if not, this VM may be the one that is cut off. */
    bool isAnyHeard(Milliseconds now) const;

    /** Whether another VM reported lately that it misses the neighbour. */
    bool isMissedByOthers(Milliseconds now, const VmId& vm) const;

private:
    struct Link {
        Milliseconds heardAt;
        Milliseconds vouchedAt;
        std::optional<Milliseconds> suspectSince;
        std::map<VmId, Milliseconds> missedBy;
    };

    MembershipSettings settings;
    std::map<VmId, Link> links;
};

} // namespace papayashelf
