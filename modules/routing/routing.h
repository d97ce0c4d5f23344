#pragma once

/**
    The routing module chooses the region and the upstream for each attempt of a request. It applies data residency
    first, then picks the region by load and link, then the upstream by health, load and cached prefixes.

    The module does no I/O and starts no threads: events go in, choices come out, and the caller passes the time and
    the random generator. It depends on foundation, model, and the messages of platform and membership.
*/

#include "routing/choice/Router.h"
#include "routing/choice/RoutingQuery.h"
#include "routing/messages/RoutingMessages.h"
#include "routing/settings/RoutingSettings.h"
