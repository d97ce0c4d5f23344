#include "shares/epochs/ShareEpoch.h"

#include <algorithm>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <optional>

namespace papayashelf {

namespace {

namespace json = boost::json;

constexpr std::int64_t schemaVersion = 1;

json::array writeHolders(const std::vector<ShareHolder>& holders)
{
    json::array list;
    for (const ShareHolder& holder : holders)
        list.push_back(json::object { { "vm", holder.vm.string() }, { "incarnation", holder.incarnation } });
    return list;
}

std::optional<std::uint64_t> readNumber(const json::object& object, const char* name)
{
    const json::value* value = object.if_contains(name);
    if (!value)
        return std::nullopt;
    boost::system::error_code error;
    const auto number = value->to_number<std::uint64_t>(error);
    return error ? std::nullopt : std::optional(number);
}

std::optional<std::string> readText(const json::object& object, const char* name)
{
    const json::value* value = object.if_contains(name);
    if (!value || !value->is_string() || value->as_string().empty())
        return std::nullopt;
    return std::string(value->as_string());
}

std::optional<std::vector<ShareHolder>> readHolders(const json::object& object, const char* name)
{
    const json::value* value = object.if_contains(name);
    if (!value || !value->is_array())
        return std::nullopt;
    std::vector<ShareHolder> holders;
    for (const json::value& item : value->as_array()) {
        if (!item.is_object())
            return std::nullopt;
        const auto vm = readText(item.as_object(), "vm");
        const auto incarnation = readNumber(item.as_object(), "incarnation");
        if (!vm || !incarnation)
            return std::nullopt;
        holders.push_back({ VmId(*vm), *incarnation });
    }
    std::sort(holders.begin(), holders.end());
    return holders;
}

} // namespace

std::string shareEpochKey(const RegionId& region)
{
    return "shares/epoch/" + region.string();
}

std::string writeShareEpoch(const ShareEpoch& epoch)
{
    return json::serialize(json::object { { "schema_version", schemaVersion }, { "region", epoch.region.string() },
        { "epoch", epoch.epoch }, { "holders", writeHolders(epoch.holders) },
        { "previous_holders", writeHolders(epoch.previousHolders) } });
}

Outcome<ShareEpoch> readShareEpoch(const std::string& value)
{
    boost::system::error_code error;
    const json::value parsed = json::parse(value, error);
    if (error || !parsed.is_object())
        return Error { ErrorCode::Damaged, "a share epoch is not a JSON object" };
    const json::object& object = parsed.as_object();
    const auto version = readNumber(object, "schema_version");
    if (!version || *version != schemaVersion)
        return Error { ErrorCode::UnknownSchemaVersion, "a share epoch has an unknown schema version" };
    const auto region = readText(object, "region");
    const auto number = readNumber(object, "epoch");
    auto holders = readHolders(object, "holders");
    auto previous = readHolders(object, "previous_holders");
    if (!region || !number || *number == 0 || !holders || !previous)
        return Error { ErrorCode::Damaged, "a share epoch lacks a field or has one of the wrong type" };
    return ShareEpoch { RegionId(*region), *number, std::move(*holders), std::move(*previous) };
}

} // namespace papayashelf
