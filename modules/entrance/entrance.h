#pragma once

/**
    entrance holds all HTTP of the gateway: the listener for callers, the reading and checking of their requests, the
    exchange with upstreams, and the writing of answers. It takes no decision: it reports what happened to the
    decision thread and does what that thread directs.

    It depends on foundation, model, the messages of dispatch, Boost (Asio, Beast, JSON) and OpenSSL.
*/

#include "entrance/relay/RelayExchange.h"
#include "entrance/relay/RelayTransport.h"
#include "entrance/server/EntranceServer.h"
#include "entrance/server/EntranceSettings.h"
