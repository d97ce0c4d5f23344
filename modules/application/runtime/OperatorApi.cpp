#include "application/runtime/OperatorApi.h"

#include "application/reports/Reports.h"
#include "foundation/text/QueryParameter.h"
#include <boost/json.hpp>
#include <charconv>

namespace papayashelf {

namespace {

constexpr std::size_t digestCharacters = 64;

AdministrationAnswer fail(int status, std::string_view code, const std::string& message)
{
    const boost::json::object error { { "code", code }, { "message", message } };
    return { status, "application/json", boost::json::serialize(boost::json::object { { "error", error } }) };
}

AdministrationAnswer succeed(std::string body)
{
    return { 200, "application/json", std::move(body) };
}

/** Which events the caller has already; 0 when it does not say. */
std::uint64_t readAfter(const std::string& query)
{
    const std::string text = findParameter(query, "after");
    std::uint64_t value = 0;
    std::from_chars(text.data(), text.data() + text.size(), value);
    return value;
}

} // namespace

OperatorApi::OperatorApi(DecisionThread& thread, Milliseconds wallClock)
    : decisions(thread)
    , wallClockAtZero(wallClock)
{
}

AdministrationAnswer OperatorApi::answer(const AdministrationRequest& request)
{
    const std::shared_ptr<const NodeSnapshot> snapshot = this->decisions.getSnapshot();
    if (request.method == "POST" && request.path == "/v1/withdrawals")
        return this->withdraw(request);
    if (request.method != "GET")
        return fail(405, "method_not_allowed", "only GET, and POST on /v1/withdrawals");
    if (request.path == "/v1/status")
        return succeed(writeStatus(*snapshot));
    if (request.path == "/v1/members")
        return succeed(writeMembers(*snapshot));
    if (request.path == "/v1/upstreams")
        return succeed(writeUpstreams(*snapshot));
    if (request.path == "/v1/shares")
        return succeed(writeShares(*snapshot));
    if (request.path == "/v1/metrics")
        return this->answerMetrics(*snapshot);
    if (request.path == "/v1/withdrawals")
        return this->answerReach(request, *snapshot);
    if (request.path == "/v1/timeline")
        return this->answerTimeline(request);
    return fail(404, "not_found", "status, members, upstreams, shares, metrics, timeline, withdrawals");
}

AdministrationAnswer OperatorApi::answerTimeline(const AdministrationRequest& request)
{
    using Events = std::vector<TimelineEvent>;
    const std::uint64_t after = readAfter(request.query);
    const std::optional<Events> events
        = this->decisions.ask<Events>([after](const Node& node) { return node.getTimeline().getEventsAfter(after); });
    if (!events)
        return fail(503, "busy", "the decision thread did not answer in time");
    return succeed(writeTimeline(*events, this->wallClockAtZero));
}

AdministrationAnswer OperatorApi::answerMetrics(const NodeSnapshot& snapshot)
{
    const std::optional<FiguresByWorkspace> figures
        = this->decisions.ask<FiguresByWorkspace>([](const Node& node) { return node.getFigures(); });
    if (!figures)
        return fail(503, "busy", "the decision thread did not answer in time");
    return succeed(writeMetrics(snapshot, *figures));
}

AdministrationAnswer OperatorApi::answerReach(const AdministrationRequest& request, const NodeSnapshot& snapshot)
{
    const KeyDigest key(findParameter(request.query, "key_digest"));
    if (key.isEmpty())
        return fail(400, "invalid_argument", "give key_digest=");
    using Reach = std::vector<RegionCoverage>;
    const std::optional<Reach> reach
        = this->decisions.ask<Reach>([key](const Node& node) { return node.getWithdrawalReach(key); });
    if (!reach)
        return fail(503, "busy", "the decision thread did not answer in time");
    if (reach->empty())
        return fail(404, "not_found", "the key was not withdrawn at this VM");
    return succeed(writeReach(*reach, snapshot));
}

AdministrationAnswer OperatorApi::withdraw(const AdministrationRequest& request)
{
    boost::system::error_code failure;
    const boost::json::value body = boost::json::parse(request.body, failure);
    const boost::json::value* digest
        = !failure && body.is_object() ? body.as_object().if_contains("key_digest") : nullptr;
    if (!digest || !digest->is_string() || digest->as_string().size() != digestCharacters)
        return fail(400, "invalid_argument", R"(the body must be {"key_digest": 64 hexadecimal characters})");
    const bool isTaken = this->decisions.push(WithdrawalRequested { KeyDigest(std::string(digest->as_string())) });
    if (!isTaken)
        return fail(503, "busy", "too many events are waiting; the key was not withdrawn");
    return { 202, "application/json", R"({"accepted":true})" };
}

} // namespace papayashelf
