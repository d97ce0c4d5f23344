#pragma once

#include "platform/http/HttpConnection.h"

namespace papayashelf {

/**
    Makes one HTTP call on a connection of its own and waits for the answer; for the command line.

    @param timeout  longest wait for the whole answer
    Thread safety: any thread.
*/
HttpResult blockingHttpCall(const Endpoint& service, const HttpCall& call, Milliseconds timeout);

} // namespace papayashelf
