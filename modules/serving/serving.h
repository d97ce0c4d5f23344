#pragma once

/**
    serving forwards requests between callers, upstreams and other VMs, as decided by gateway, in one process on one
    thread.

    The names of the platform's headers are passed in as HeaderNames. An adapter outside this module connects the
    platform's store and list of upstreams and answers the platform's readiness checks. Depends on gateway, on entrance
    for connections, and on metrics.
*/

#include "serving/caller/CallerSession.h"
#include "serving/http/HeaderNames.h"
#include "serving/process/GatewayProcess.h"
#include "serving/request/RequestServer.h"
