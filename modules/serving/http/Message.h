#pragma once

#include "entrance/request/ForwardedHead.h"
#include "entrance/request/HeaderFields.h"
#include "entrance/server/Signal.h"
#include "serving/http/MemoryBudget.h"
#include <string>
#include <string_view>
#include <vector>

namespace papayashelf {

/** Header fields in the order of the message. */
using HeaderFields = std::vector<HeaderField>;

/** Returns the header fields of a Beast message that may be forwarded: all but hop-by-hop fields and the length. */
template <typename Message> HeaderFields collectForwardableHeaders(const Message& message)
{
    HeaderFields all;
    for (const auto& field : message)
        all.emplace_back(std::string(field.name_string()), std::string(field.value()));
    return withoutHopByHop(all);
}

/** A completely received request. */
struct IncomingRequest {
    std::string method;
    std::string target; /**< Path and query, unchanged. */
    HeaderFields headers; /**< Without hop-by-hop fields and length. */
    std::string body;
    MemoryBudget::Reservation bodyMemory;
    bool keepAlive = true;
    TimePoint arrivedAt; /**< Time when reading of the request began. */

    /** Returns the target without its query. */
    std::string_view getPath() const { return std::string_view(this->target).substr(0, this->target.find('?')); }
};

/** Status line and header fields of an answer, without hop-by-hop fields and length. */
struct ResponseHead {
    int status = 0;
    std::string reason;
    HeaderFields headers;
};

} // namespace papayashelf
