#pragma once

/**
    membership decides which VMs of the system are there: it orders them into rings of neighbours, watches the
    neighbours by heartbeat, spreads what changes, and picks the VMs that watch the store.

    Decisions only: time and random seed are passed in. It depends on foundation, model and platform.
*/

#include "membership/Membership.h"
#include "membership/messages/MembershipMessages.h"
#include "membership/overlay/NeighbourRings.h"
#include "membership/overlay/StoreWatchers.h"
#include "membership/table/MemberTable.h"
