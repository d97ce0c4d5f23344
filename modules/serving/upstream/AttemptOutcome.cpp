#include "serving/upstream/AttemptOutcome.h"

namespace papayashelf {

std::string_view toString(AttemptEnd end)
{
    switch (end) {
    case AttemptEnd::Complete:
        return "whole";
    case AttemptEnd::NotSent:
        return "not_sent";
    case AttemptEnd::NotRun:
        return "not_run";
    case AttemptEnd::Unanswered:
        return "unanswered";
    case AttemptEnd::Broken:
        return "broken";
    case AttemptEnd::CallerDisconnected:
        return "caller_gone";
    }
    return "unknown";
}

std::string_view toString(AnswerProgress progress)
{
    switch (progress) {
    case AnswerProgress::Nothing:
        return "nothing";
    case AnswerProgress::Head:
        return "head";
    case AnswerProgress::Events:
        return "events";
    }
    return "unknown";
}

std::string_view toString(AttemptEndedBy endedBy)
{
    switch (endedBy) {
    case AttemptEndedBy::Upstream:
        return "upstream";
    case AttemptEndedBy::Silence:
        return "silence";
    case AttemptEndedBy::Deadline:
        return "deadline";
    case AttemptEndedBy::Bound:
        return "bound";
    case AttemptEndedBy::Caller:
        return "caller";
    case AttemptEndedBy::Stop:
        return "stop";
    case AttemptEndedBy::OtherAttempt:
        return "other_attempt";
    case AttemptEndedBy::OtherVersion:
        return "other_version";
    }
    return "unknown";
}

} // namespace papayashelf
