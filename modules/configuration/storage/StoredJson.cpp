#include "configuration/storage/StoredJson.h"

#include <boost/json/parse.hpp>

namespace papayashelf {

Outcome<boost::json::object> readStoredObject(std::string_view value, std::int64_t schemaVersion)
{
    boost::json::error_code failure;
    boost::json::value parsed = boost::json::parse(value, failure);
    if (failure || !parsed.is_object())
        return Error { ErrorCode::Damaged, "the stored value is not a JSON object" };
    const auto* version = parsed.get_object().if_contains("schema_version");
    if (!version || !version->is_int64())
        return Error { ErrorCode::Damaged, "the stored value has no integer schema_version" };
    if (version->get_int64() != schemaVersion)
        return Error { ErrorCode::UnknownSchemaVersion,
            "unsupported schema_version " + std::to_string(version->get_int64()) };
    return std::move(parsed.get_object());
}

Outcome<std::string> readText(const boost::json::object& object, std::string_view name)
{
    const auto* value = object.if_contains(name);
    if (!value || !value->is_string())
        return Error { ErrorCode::Damaged, std::string(name) + " is missing or not a string" };
    return std::string(value->get_string().c_str(), value->get_string().size());
}

Outcome<std::uint64_t> readNumber(const boost::json::object& object, std::string_view name)
{
    const auto* value = object.if_contains(name);
    if (value && value->is_uint64())
        return value->get_uint64();
    if (value && value->is_int64() && value->get_int64() >= 0)
        return static_cast<std::uint64_t>(value->get_int64());
    return Error { ErrorCode::Damaged, std::string(name) + " is missing or not a non-negative integer" };
}

} // namespace papayashelf
