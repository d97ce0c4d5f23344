#include "standins/platform/StandinControl.h"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

namespace papayashelf {

namespace {

namespace json = boost::json;

constexpr int statusOk = 200;
constexpr int statusBadRequest = 400;
constexpr int statusNotFound = 404;

std::int64_t countOf(const json::object& object, std::string_view name)
{
    const json::value* value = object.if_contains(name);
    return value && value->is_int64() ? value->as_int64() : 0;
}

bool switchOf(const json::object& object, std::string_view name)
{
    const json::value* value = object.if_contains(name);
    return value && value->is_bool() && value->as_bool();
}

FakeStoreFaults faultsOf(const json::object& object)
{
    FakeStoreFaults faults;
    faults.isOut = switchOf(object, "is_out");
    faults.isSilent = switchOf(object, "is_silent");
    faults.delay = Milliseconds(countOf(object, "delay_ms"));
    faults.lostRequests = static_cast<int>(countOf(object, "lost_requests"));
    faults.lostAnswers = static_cast<int>(countOf(object, "lost_answers"));
    return faults;
}

WireAnswer countsAnswer(const FakeStore& store)
{
    const FakeStoreCounts& counts = store.counts();
    return { statusOk,
        json::serialize(
            json::object { { "reads", counts.reads }, { "writes", counts.writes }, { "refused", counts.refused } }) };
}

} // namespace

WireAnswer control(
    const std::string& target, const std::string& body, FakeStore& store, FakeVmList& vms, Milliseconds now)
{
    json::error_code code;
    const json::value value = body.empty() ? json::value(json::object()) : json::parse(body, code);
    if (code || !value.is_object())
        return { statusBadRequest, R"({"error":"the body is no JSON object"})" };
    const json::object& object = value.as_object();

    const std::string command = target.substr(controlPathPrefix.size());
    if (command == "faults") {
        store.setFaults(faultsOf(object));
    } else if (command == "limits") {
        store.setLimits({ countOf(object, "writes_per_second"), countOf(object, "reads_per_second") });
    } else if (command == "save") {
        store.saveState();
    } else if (command == "restore") {
        store.restoreState();
    } else if (command == "vms") {
        auto list = decodeVmList(body);
        if (!list)
            return { statusBadRequest, R"({"error":"no VM list"})" };
        vms.set(std::move(list.value()), now);
    } else if (command == "vm-lag") {
        vms.setLag(Milliseconds(countOf(object, "lag_ms")));
    } else if (command != "counts") {
        return { statusNotFound, R"({"error":"no such command"})" };
    }
    return countsAnswer(store);
}

} // namespace papayashelf
