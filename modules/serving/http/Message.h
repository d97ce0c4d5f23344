#pragma once

#include "entrance/request/ForwardedHead.h"
#include "entrance/request/HeaderFields.h"
#include "entrance/server/Signal.h"
#include <string>
#include <string_view>
#include <vector>

namespace papayashelf {

/** Header fields in the order in which they came. */
using HeaderFields = std::vector<HeaderField>;

/** The fields of a Beast message that may be passed on: without hop-by-hop fields and length. */
template <typename Message> HeaderFields takePassableHeaders(const Message& message)
{
    HeaderFields all;
    for (const auto& field : message)
        all.emplace_back(std::string(field.name_string()), std::string(field.value()));
    return withoutHopByHop(all);
}

/** A whole request as it came in. */
struct IncomingRequest {
    std::string method;
    std::string target; /**< Path and query, unchanged. */
    HeaderFields headers; /**< Without hop-by-hop fields and length. */
    std::string body;
    bool keepAlive = true;
    TimePoint arrivedAt; /**< When its first byte was read. */

    std::string_view getPath() const { return std::string_view(this->target).substr(0, this->target.find('?')); }
};

/** The head of an answer, without hop-by-hop fields and length. */
struct ResponseHead {
    int status = 0;
    std::string reason;
    HeaderFields headers;
};

} // namespace papayashelf
