#pragma once

#include "entrance/relay/RelayExchange.h"
#include <cstdint>
#include <optional>
#include <vector>

namespace papayashelf {

/** What begins an answer. */
struct AnswerHead {
    int status = 200;
    std::vector<HeaderField> headers; /**< Without hop-by-hop fields and length. */
    std::optional<std::uint64_t> length; /**< Of the body, where it is known. */
    bool isEventStream = false; /**< Server-sent events, into which heartbeats and errors can be put. */

    bool operator==(const AnswerHead&) const = default;
};

} // namespace papayashelf
