#include "foundation/outcomes/Error.h"

namespace papayashelf {

std::string_view toString(ErrorCode code)
{
    switch (code) {
    case ErrorCode::InvalidArgument:
        return "invalid_argument";
    case ErrorCode::NotFound:
        return "not_found";
    case ErrorCode::Conflict:
        return "conflict";
    case ErrorCode::Unavailable:
        return "unavailable";
    case ErrorCode::OutcomeUnknown:
        return "outcome_unknown";
    case ErrorCode::UnknownSchemaVersion:
        return "unknown_schema_version";
    case ErrorCode::Damaged:
        return "damaged";
    case ErrorCode::TooLarge:
        return "too_large";
    case ErrorCode::TimedOut:
        return "timed_out";
    case ErrorCode::Closed:
        return "closed";
    }
    return "unknown";
}

} // namespace papayashelf
