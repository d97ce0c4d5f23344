#pragma once

/**
    The membership module determines which VMs of the system are running. It arranges the VMs in rings of
    neighbours, monitors the neighbours by heartbeats, spreads changes from neighbour to neighbour, and selects the
    VMs that watch the store.

    It performs no I/O: the time and the random seed are passed in. It depends on foundation, model and platform.
*/

#include "membership/Membership.h"
#include "membership/messages/MembershipMessages.h"
#include "membership/overlay/NeighbourRings.h"
#include "membership/overlay/StoreWatchers.h"
#include "membership/table/MemberTable.h"
