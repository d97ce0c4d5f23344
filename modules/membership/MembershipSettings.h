#pragma once

#include "foundation/time/Clock.h"

namespace papayashelf {

/** The timing of membership; every VM must use the same values. */
struct MembershipSettings {
    Milliseconds heartbeatPeriod { 1000 }; /**< Interval between heartbeats to a neighbour. */
    Milliseconds queryAfter { 2000 }; /**< Silence after which its other neighbours are queried. */
    Milliseconds suspectAfter { 3000 }; /**< Time without a heartbeat or a confirmation until Suspect. */
    Milliseconds goneAfter { 5000 }; /**< Time from Suspect to Gone without a sign of life. */
    Milliseconds refutationPeriod { 2000 }; /**< The last part of goneAfter, in which a VM can refute a Gone report. */
    Milliseconds disseminationDelay { 20 }; /**< Time that news waits to be sent in one batch. */
    Milliseconds probePeriod { 5000 }; /**< Interval between probes of expected VMs that are absent or Gone. */
    Milliseconds minimumTableInterval { 5000 }; /**< Minimum time between whole tables sent to one VM. */
    Milliseconds goneRetention { 600000 }; /**< Time that a Gone VM outside the VM list is kept. */

    bool operator==(const MembershipSettings&) const = default;
};

} // namespace papayashelf
