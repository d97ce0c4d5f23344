#pragma once

#include "dispatch/messages/RequestMessages.h"
#include <optional>
#include <string>
#include <string_view>

namespace papayashelf {

/** A request that the entrance turns away by itself, before any decision. None of them was run. */
enum class EntranceFault {
    MalformedRequest,
    MalformedPath,
    KeyInRequest, /**< The caller's key stands where it would reach the upstream. */
    InvalidChatRequest,
    HeaderTooLarge,
    BodyTooLarge,
    HeadTimeout,
    BodyTimeout,
    UnsupportedVersion,
    UnsupportedExpectation,
    MethodNotAllowed,
    TooManyConnections,
    RingFull,
};

/** An error as a caller sees it. */
struct ErrorAnswer {
    int status = 500;
    std::string code; /**< Stable, lower_snake_case. */
    std::string message;
    Ran ran = Ran::No;
    std::optional<Milliseconds> retryAfter;

    bool operator==(const ErrorAnswer&) const = default;
};

/** The stable code of a refusal. */
std::string_view toString(RefusalCode code);

/** "no" or "unknown". */
std::string_view toString(Ran ran);

ErrorAnswer toErrorAnswer(const RefuseRequest& refusal);
ErrorAnswer toErrorAnswer(EntranceFault fault, std::string_view detail = {});

/** The answer's body. @param request  0 if the request never got a number */
std::string errorBody(const ErrorAnswer& error, RequestId request);

/** Seconds for a retry-after field, rounded up. */
std::int64_t retryAfterSeconds(Milliseconds wait);

} // namespace papayashelf
