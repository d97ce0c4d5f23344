#include "diagnosis/trace/RequestTrace.h"

#include <algorithm>
#include <array>
#include <boost/json/parse.hpp>
#include <boost/json/value_to.hpp>
#include <cassert>
#include <utility>

namespace papayashelf {

namespace json = boost::json;

namespace {

/** Milliseconds; three times the bound on the age of a VM's view. */
constexpr std::int64_t relatedChangesBefore = 15'000;
constexpr std::int64_t relatedChangesAfter = 5'000; /**< Milliseconds; a crashed upstream is off the list by then. */

constexpr std::array<std::string_view, 3> storeContactEvents { "store_lost", "store_regained", "started" };

std::string getText(const json::object& object, std::string_view name)
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

std::optional<LoggedDecision> parseDecision(std::string_view line)
{
    // A log collector may prefix the JSON object with fields of its own.
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
    decision.event = getText(object, "event");
    if (!time || !time->is_number() || decision.event.empty())
        return std::nullopt;
    decision.timeMilliseconds = time->to_number<std::int64_t>();
    decision.vm = getText(object, "vm");
    decision.request = getText(object, "request");
    decision.cause = getText(object, "cause");
    decision.upstream = getText(object, decision.event == "attempt_failed" ? "upstream" : "last_upstream");
    if (decision.request.empty() && decision.upstream.empty())
        decision.upstream = getText(object, "key");
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
    const std::optional<LoggedDecision> decision = parseDecision(line);
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
    std::vector<LoggedDecision> related;
    if (!decisive)
        return related;
    for (const LoggedDecision& change : this->changes) {
        const std::int64_t offset = change.timeMilliseconds - decisive->timeMilliseconds;
        if (offset < -relatedChangesBefore || offset > relatedChangesAfter || change.vm != decisive->vm)
            continue;
        const bool isStoreContact
            = std::find(storeContactEvents.begin(), storeContactEvents.end(), change.event) != storeContactEvents.end();
        const bool isAboutUpstream = !decisive->upstream.empty() && change.upstream.ends_with("/" + decisive->upstream);
        if ((isStoreContact && !isFailure(*decisive)) || isAboutUpstream)
            related.push_back(change);
    }
    sortByTime(related);
    return related;
}

} // namespace papayashelf
