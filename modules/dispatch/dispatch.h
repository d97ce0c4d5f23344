#pragma once

/**
    The dispatch module ensures that each admitted request ends with exactly one final answer. It provides fair queues,
    attempts, budgeted retries, resumption of streams, at-most-once execution through claims, deadlines and a graceful
    stop.

    The module only makes decisions: it takes events and returns directives. The caller passes in the time and the
    random seed. It performs no I/O and starts no threads. It depends on foundation, model, routing, and the messages
    of platform.
*/

#include "dispatch/claims/ClaimTracker.h"
#include "dispatch/dispatcher/DispatchMessages.h"
#include "dispatch/dispatcher/Dispatcher.h"
#include "dispatch/messages/RequestMessages.h"
#include "dispatch/settings/DispatchSettings.h"
