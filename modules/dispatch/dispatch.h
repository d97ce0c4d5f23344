#pragma once

/**
    dispatch carries each admitted request to exactly one final answer: fair queues, attempts, retries within a
    budget, resumed streams, at-most-once by claims, deadlines, and an orderly stop.

    Pure decisions: events in, directives out, time and seed passed in; no I/O and no threads.
    It depends on foundation, model, routing, and the messages of platform.
*/

#include "dispatch/claims/ClaimTracker.h"
#include "dispatch/dispatcher/DispatchMessages.h"
#include "dispatch/dispatcher/Dispatcher.h"
#include "dispatch/messages/RequestMessages.h"
#include "dispatch/settings/DispatchSettings.h"
