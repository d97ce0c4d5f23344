#pragma once

#include "dispatch/messages/RequestMessages.h"
#include "entrance/relay/RelayExchange.h"
#include <chrono>
#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

namespace papayashelf {

/** Interval at which the silence of a source is reported again while it lasts. */
constexpr std::chrono::milliseconds silenceReportInterval { 200 };

/** What came of opening a source: Completed with a head, or why there is none. */
struct SourceHead {
    AttemptResult result = AttemptResult::NotSent;
    bool mayHaveRun = false; /**< Despite RejectedBusy: that may be the late answer to an earlier request. */
    int status = 0;
    std::vector<HeaderField> headers; /**< Without hop-by-hop fields and length. */
    std::optional<std::uint64_t> length;

    bool operator==(const SourceHead&) const = default;
};

/** One step of reading a source's body. */
struct SourcePiece {
    AttemptResult result = AttemptResult::Completed; /**< Anything else: the body ended early. */
    bool isEnd = false; /**< The body is whole; bytes may still hold its last part. */
    std::string_view bytes; /**< Valid until the next read. */
};

/** The attempt's own limits. */
struct AttemptLimits {
    Milliseconds firstByte;
    Milliseconds betweenBytes;
    Milliseconds remaining;

    bool operator==(const AttemptLimits&) const = default;
};

} // namespace papayashelf
