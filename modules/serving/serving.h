#pragma once

/**
    serving carries requests between callers, upstreams and other VMs, as the decisions of gateway say, in one process
    on one thread.

    The platform's spelling of headers comes in as HeaderNames; its store, its list of upstreams and its questions are
    met by an adapter outside. Depends on gateway, on entrance for connections, and on metrics.
*/

#include "serving/caller/CallerSession.h"
#include "serving/http/HeaderNames.h"
#include "serving/process/GatewayProcess.h"
#include "serving/request/RequestServer.h"
