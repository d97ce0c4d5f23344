#pragma once

/**
    routing chooses the region and the upstream for each attempt of a request: residency first, then the region by
    load and link, then the upstream by health, load and cached prefixes.

    Pure decisions: events in, choices out, time and random generator passed in; no I/O and no threads.
    It depends on foundation, model, and the messages of platform and membership.
*/

#include "routing/choice/Router.h"
#include "routing/choice/RoutingQuery.h"
#include "routing/messages/RoutingMessages.h"
#include "routing/settings/RoutingSettings.h"
