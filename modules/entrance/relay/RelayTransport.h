#pragma once

#include "entrance/relay/RelayExchange.h"
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace papayashelf {

/** The head of a request as it may leave this VM: the caller's key and hop-by-hop fields are gone from it. */
struct RequestHead {
    std::string method; /**< Upper case. */
    std::string target; /**< Path and query. */
    std::vector<HeaderField> headers;

    bool operator==(const RequestHead&) const = default;
};

/** A request on its way from one VM to another. */
struct RelayedRequest {
    RequestArrival arrival; /**< The receiving VM gives it a number of its own; key is empty, relayedFor is set. */
    RequestHead head;
    std::shared_ptr<const std::string> body;
    std::int64_t resumeFromToken = 0; /**< Tokens that the caller already has. */
};

/**
    Starts carrying a request to the VM that the directive names.

    The transport writes the answer into the exchange and stops when that is cancelled. It ends the answer by itself
    when the first-byte or between-bytes limit passes (Silent), the VM cannot be reached (NotSent), or the link breaks
    (NoAnswer before a head, Cut after it). Called on an I/O thread; must not block.
*/
using RelayTransport
    = std::function<void(const StartRelay& directive, RelayedRequest request, std::shared_ptr<RelayExchange> answer)>;

} // namespace papayashelf
