#pragma once

#include <string>
#include <string_view>

namespace papayashelf {

/** What kind of thing went wrong, stable enough for programs to act on. */
enum class ErrorCode {
    InvalidArgument, /**< The input breaks a rule; trying again unchanged cannot help. */
    NotFound, /**< The named thing does not exist. */
    Conflict, /**< Somebody else's change came first. */
    Unavailable, /**< The other side was not reached: the call had no effect. */
    OutcomeUnknown, /**< The call may or may not have taken effect. */
    UnknownSchemaVersion, /**< Stored data written by a version this one does not know. */
    Damaged, /**< Stored or received data that contradicts itself. */
    TooLarge, /**< A stated limit on size was passed. */
    TimedOut, /**< A deadline passed before the call was made or answered. */
    Closed, /**< The object was shut down. */
};

/** The stable lower-case name of a code, as it appears in logs and answers. */
std::string_view toString(ErrorCode code);

/** A typed error: a code for programs and a sentence for people. */
struct Error {
    ErrorCode code = ErrorCode::InvalidArgument;
    std::string detail;

    bool operator==(const Error&) const = default;
};

} // namespace papayashelf
