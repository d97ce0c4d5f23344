#pragma once

#include "foundation/time/Clock.h"

namespace papayashelf {

/** How membership is timed; the same at every VM. */
struct MembershipSettings {
    Milliseconds heartbeatPeriod { 1000 }; /**< Between two heartbeats to one neighbour. */
    Milliseconds queryAfter { 2000 }; /**< Silence after which a neighbour's other neighbours are asked about it. */
    Milliseconds suspectAfter { 3000 }; /**< Silence, their answers included, after which it is Suspect. */
    Milliseconds goneAfter { 5000 }; /**< From Suspect to Gone, unless it is heard of. */
    Milliseconds refutationPeriod {
        2000
    }; /**< How long a VM said to be Gone has to deny it; the last part of goneAfter. */
    Milliseconds spreadDelay { 20 }; /**< How long news waits for more news to travel with. */
    Milliseconds probePeriod { 5000 }; /**< Between two probes of listed VMs that are not known to be there. */
    Milliseconds tableInterval { 5000 }; /**< Least time between two whole tables to the same VM. */
    Milliseconds forgetAfter { 600000 }; /**< How long a Gone VM that is not listed is remembered. */

    bool operator==(const MembershipSettings&) const = default;
};

} // namespace papayashelf
