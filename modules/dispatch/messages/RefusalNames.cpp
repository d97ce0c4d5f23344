#include "dispatch/messages/RefusalNames.h"

namespace papayashelf {

std::string_view toString(RefusalCode code)
{
    switch (code) {
    case RefusalCode::NotAuthenticated:
        return "not_authenticated";
    case RefusalCode::NoSuchRoute:
        return "no_such_route";
    case RefusalCode::NoSuchModel:
        return "no_such_model";
    case RefusalCode::OutsideResidency:
        return "outside_residency";
    case RefusalCode::OverShare:
        return "over_share";
    case RefusalCode::TooLargeForShare:
        return "too_large_for_share";
    case RefusalCode::Overloaded:
        return "overloaded";
    case RefusalCode::NoUpstream:
        return "no_upstream";
    case RefusalCode::UpstreamFailed:
        return "upstream_failed";
    case RefusalCode::DeadlinePassed:
        return "deadline_passed";
    case RefusalCode::Leaving:
        return "leaving";
    case RefusalCode::NotReady:
        return "not_ready";
    case RefusalCode::LoopDetected:
        return "loop_detected";
    case RefusalCode::OutcomeUnknown:
        return "outcome_unknown";
    case RefusalCode::ClaimUnavailable:
        return "claim_unavailable";
    case RefusalCode::StoppedMidway:
        return "stopped_midway";
    }
    return "unknown";
}

std::string_view toString(Ran ran)
{
    return ran == Ran::No ? "no" : "unknown";
}

} // namespace papayashelf
