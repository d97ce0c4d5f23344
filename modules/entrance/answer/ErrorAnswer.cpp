#include "entrance/answer/ErrorAnswer.h"

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

namespace papayashelf {

namespace {

struct Description {
    int status = 500;
    std::string_view code;
    std::string_view message;
};

Description describe(RefusalCode code)
{
    switch (code) {
    case RefusalCode::NotAuthenticated:
        return { 401, "not_authenticated", "No key came with the request, or it is not known or was withdrawn." };
    case RefusalCode::NoSuchRoute:
        return { 404, "no_such_route", "No route matches the path." };
    case RefusalCode::NoSuchModel:
        return { 404, "no_such_model", "No service has the model." };
    case RefusalCode::OutsideResidency:
        return { 421, "outside_residency", "This region may not process the workspace's data; use a VM of another." };
    case RefusalCode::OverShare:
        return { 429, "over_share", "The workspace has used up its rate and burst." };
    case RefusalCode::TooLargeForShare:
        return { 413, "too_large_for_share", "The request is larger than the workspace's burst." };
    case RefusalCode::Overloaded:
        return { 503, "overloaded", "The gateway cannot serve the request in time." };
    case RefusalCode::NoUpstream:
        return { 503, "no_upstream", "No upstream that may take the request is there." };
    case RefusalCode::UpstreamFailed:
        return { 502, "upstream_failed", "The request was tried and failed." };
    case RefusalCode::DeadlinePassed:
        return { 504, "deadline_passed", "The request's time ran out." };
    case RefusalCode::Leaving:
        return { 503, "leaving", "This VM is stopping; use another." };
    case RefusalCode::NotReady:
        return { 503, "not_ready", "This VM holds no whole configuration yet; use another." };
    case RefusalCode::LoopDetected:
        return { 508, "loop_detected", "The request has already passed another VM." };
    case RefusalCode::OutcomeUnknown:
        return { 424, "outcome_unknown", "The request may have been run and is not run again." };
    case RefusalCode::ClaimUnavailable:
        return { 503, "claim_unavailable", "The request may run only once and could not be claimed." };
    case RefusalCode::StoppedMidway:
        return { 403, "stopped_midway", "The key was withdrawn while the request ran." };
    }
    return { 500, "unknown", "Unknown." };
}

Description describe(EntranceFault fault)
{
    switch (fault) {
    case EntranceFault::MalformedRequest:
        return { 400, "malformed_request", "The request is not valid HTTP/1.1." };
    case EntranceFault::MalformedPath:
        return { 400, "malformed_path", "The path must be absolute, without dot segments or encoded slashes." };
    case EntranceFault::KeyInRequest:
        return { 400, "key_in_request", "The key may stand in the Authorization field only." };
    case EntranceFault::InvalidChatRequest:
        return { 400, "invalid_chat_request", "The body is not a valid chat request." };
    case EntranceFault::HeaderTooLarge:
        return { 431, "header_too_large", "The header is too large." };
    case EntranceFault::BodyTooLarge:
        return { 413, "body_too_large", "The body is too large." };
    case EntranceFault::HeadTimeout:
        return { 408, "head_timeout", "The header took too long to arrive." };
    case EntranceFault::BodyTimeout:
        return { 408, "body_timeout", "The body took too long to arrive." };
    case EntranceFault::UnsupportedVersion:
        return { 505, "unsupported_version", "Use HTTP/1.1." };
    case EntranceFault::UnsupportedExpectation:
        return { 417, "unsupported_expectation", "The only expectation served is 100-continue." };
    case EntranceFault::MethodNotAllowed:
        return { 405, "method_not_allowed", "The method is not served here." };
    case EntranceFault::TooManyConnections:
        return { 503, "too_many_connections", "This VM has as many connections as it may; use another." };
    case EntranceFault::RingFull:
        return { 503, "overloaded", "The gateway cannot serve the request in time." };
    }
    return { 500, "unknown", "Unknown." };
}

ErrorAnswer makeErrorAnswer(const Description& description, std::string_view detail)
{
    ErrorAnswer answer;
    answer.status = description.status;
    answer.code = description.code;
    answer.message = detail.empty() ? description.message : detail;
    return answer;
}

} // namespace

std::string_view toString(RefusalCode code)
{
    return describe(code).code;
}

std::string_view toString(Ran ran)
{
    return ran == Ran::No ? "no" : "unknown";
}

ErrorAnswer toErrorAnswer(const RefuseRequest& refusal)
{
    ErrorAnswer answer = makeErrorAnswer(describe(refusal.code), refusal.detail);
    answer.ran = refusal.ran;
    answer.retryAfter = refusal.retryAfter;
    return answer;
}

ErrorAnswer toErrorAnswer(EntranceFault fault, std::string_view detail)
{
    constexpr Milliseconds overloadWait { 1'000 };
    ErrorAnswer answer = makeErrorAnswer(describe(fault), detail);
    if (answer.status == 503)
        answer.retryAfter = overloadWait;
    return answer;
}

std::string errorBody(const ErrorAnswer& error, RequestId request)
{
    boost::json::object fields;
    fields["code"] = error.code;
    fields["message"] = error.message;
    fields["ran"] = toString(error.ran);
    fields["request"] = std::to_string(request);
    if (error.retryAfter)
        fields["retry_after_ms"] = error.retryAfter->count();
    boost::json::object body;
    body["error"] = std::move(fields);
    return boost::json::serialize(body);
}

std::int64_t retryAfterSeconds(Milliseconds wait)
{
    constexpr std::int64_t millisecondsPerSecond = 1000;
    return (wait.count() + millisecondsPerSecond - 1) / millisecondsPerSecond;
}

} // namespace papayashelf
