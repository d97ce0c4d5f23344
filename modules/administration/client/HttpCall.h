#pragma once

#include "foundation/identity/Identifier.h"
#include "foundation/outcomes/Outcome.h"
#include "foundation/time/Clock.h"
#include <string>

namespace papayashelf {

/** A whole answer to the command line. */
struct HttpReply {
    int status = 0;
    std::string body;

    bool operator==(const HttpReply&) const = default;
};

/** What the command line asks. */
struct HttpCall {
    std::string method = "GET";
    std::string target;
    std::string bearerKey; /**< Empty sends none. */
    std::string body;
};

/**
    Makes one HTTP call and waits for the whole answer; for the command line.

    @param timeout  longest time in all
    Errors: InvalidArgument for an address that is no IP number; Unavailable when no whole answer came.
*/
Outcome<HttpReply> callHttp(const Endpoint& endpoint, const HttpCall& call, Milliseconds timeout);

} // namespace papayashelf
