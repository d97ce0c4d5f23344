#include "diagnosis/story/RequestTrace.h"

#include <algorithm>
#include <array>
#include <boost/json/parse.hpp>
#include <boost/json/value_to.hpp>
#include <cassert>
#include <utility>

namespace papayashelf {

namespace json = boost::json;

namespace {

constexpr std::int64_t backgroundBefore = 15'000; /**< Milliseconds; a bound on a stale view is a third of it. */
constexpr std::int64_t backgroundAfter = 5'000; /**< Milliseconds; a crashed upstream has left the list by then. */

constexpr std::array<std::string_view, 3> contactEvents { "store_lost", "store_regained", "started" };

std::string textOf(const json::object& object, std::string_view name)
{
    const json::value* value = object.if_contains(name);
    return value && value->is_string() ? json::value_to<std::string>(*value) : std::string();
}

bool isEnd(const LoggedDecision& step)
{
    return step.event == "request_answered" || step.event == "request_refused" || step.event == "request_failed"
        || step.event == "request_left";
}

bool isFailure(const LoggedDecision& step)
{
    return step.event == "attempt_failed" || step.event == "relay_failed";
}

void sortByTime(std::vector<LoggedDecision>& decisions)
{
    std::stable_sort(decisions.begin(), decisions.end(), [](const LoggedDecision& left, const LoggedDecision& right) {
        return std::pair(left.timeMilliseconds, isEnd(left)) < std::pair(right.timeMilliseconds, isEnd(right));
    });
}

} // namespace

std::optional<LoggedDecision> readDecision(std::string_view line)
{
    // Whatever collects the logs may put words of its own before the object.
    const std::size_t begin = line.find('{');
    if (begin == std::string_view::npos)
        return std::nullopt;
    boost::system::error_code failure;
    const std::string_view text = line.substr(begin);
    const json::value value = json::parse(json::string_view(text.data(), text.size()), failure);
    if (failure || !value.is_object())
        return std::nullopt;
    const json::object& object = value.as_object();
    const json::value* time = object.if_contains("time_ms");
    LoggedDecision decision;
    decision.event = textOf(object, "event");
    if (!time || !time->is_number() || decision.event.empty())
        return std::nullopt;
    decision.timeMilliseconds = time->to_number<std::int64_t>();
    decision.vm = textOf(object, "vm");
    decision.request = textOf(object, "request");
    decision.cause = textOf(object, "cause");
    decision.upstream = textOf(object, decision.event == "attempt_failed" ? "upstream" : "last_upstream");
    if (decision.request.empty() && decision.upstream.empty())
        decision.upstream = textOf(object, "key");
    decision.line = text;
    return decision;
}

RequestTrace::RequestTrace(std::string id)
    : request(std::move(id))
{
    assert(!this->request.empty());
}

void RequestTrace::add(std::string_view line)
{
    const std::optional<LoggedDecision> decision = readDecision(line);
    if (!decision)
        return;
    if (decision->request == this->request)
        this->steps.push_back(*decision);
    else if (decision->request.empty())
        this->changes.push_back(*decision);
}

std::vector<LoggedDecision> RequestTrace::getSteps() const
{
    std::vector<LoggedDecision> sorted = this->steps;
    sortByTime(sorted);
    return sorted;
}

std::optional<LoggedDecision> RequestTrace::findDecisiveStep() const
{
    const std::vector<LoggedDecision> sorted = this->getSteps();
    const auto failure = std::find_if(sorted.begin(), sorted.end(), isFailure);
    if (failure != sorted.end())
        return *failure;
    const auto end = std::find_if(sorted.begin(), sorted.end(), isEnd);
    return end == sorted.end() ? std::nullopt : std::optional(*end);
}

std::vector<LoggedDecision> RequestTrace::findRelatedChanges() const
{
    const std::optional<LoggedDecision> decisive = this->findDecisiveStep();
    std::vector<LoggedDecision> found;
    if (!decisive)
        return found;
    for (const LoggedDecision& change : this->changes) {
        const std::int64_t later = change.timeMilliseconds - decisive->timeMilliseconds;
        if (later < -backgroundBefore || later > backgroundAfter || change.vm != decisive->vm)
            continue;
        const bool isContact
            = std::find(contactEvents.begin(), contactEvents.end(), change.event) != contactEvents.end();
        const bool isOfUpstream = !decisive->upstream.empty() && change.upstream.ends_with("/" + decisive->upstream);
        if ((isContact && !isFailure(*decisive)) || isOfUpstream)
            found.push_back(change);
    }
    sortByTime(found);
    return found;
}

} // namespace papayashelf
