#include "platform/http/StoreWire.h"

#include <algorithm>
#include <array>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <limits>
#include <optional>
#include <utility>

namespace papayashelf {

namespace {

namespace json = boost::json;

constexpr std::array<std::pair<std::string_view, StoreOperation>, 5> operationNames { {
    { "get", StoreOperation::Get },
    { "compare_and_swap", StoreOperation::CompareAndSwap },
    { "remove", StoreOperation::Remove },
    { "watch", StoreOperation::Watch },
    { "list", StoreOperation::List },
} };

constexpr std::array<std::pair<int, ErrorCode>, 5> statusCodes { {
    { 400, ErrorCode::InvalidArgument },
    { 409, ErrorCode::Conflict },
    { 413, ErrorCode::TooLarge },
    { 429, ErrorCode::Unavailable },
    { 503, ErrorCode::Unavailable },
} };

constexpr int statusOk = 200;
constexpr int statusUnavailable = 503;

std::string_view nameOf(StoreOperation operation)
{
    for (const auto& [name, value] : operationNames) {
        if (value == operation)
            return name;
    }
    return "";
}

std::optional<StoreOperation> operationNamed(std::string_view wanted)
{
    for (const auto& [name, value] : operationNames) {
        if (name == wanted)
            return value;
    }
    return std::nullopt;
}

std::optional<json::object> parseObject(std::string_view body)
{
    json::error_code code;
    json::value value = json::parse(json::string_view(body.data(), body.size()), code);
    if (code || !value.is_object())
        return std::nullopt;
    return std::move(value.as_object());
}

std::string textOf(const json::object& object, std::string_view name)
{
    const json::value* value = object.if_contains(name);
    return value && value->is_string() ? std::string(value->as_string()) : std::string();
}

std::optional<std::int64_t> countOf(const json::object& object, std::string_view name)
{
    const json::value* value = object.if_contains(name);
    if (!value)
        return 0;
    if (!value->is_int64() || value->as_int64() < 0)
        return std::nullopt;
    return value->as_int64();
}

StoreReply notUnderstood(StoreOperation operation, const std::string& detail)
{
    return Error { isWrite(operation) ? ErrorCode::OutcomeUnknown : ErrorCode::Unavailable, detail };
}

std::optional<StoreEntry> decodeEntry(const json::value& value)
{
    if (!value.is_object())
        return std::nullopt;
    const json::object& object = value.as_object();
    const auto version = countOf(object, "version");
    if (!version || !object.contains("key"))
        return std::nullopt;
    return StoreEntry { textOf(object, "key"), textOf(object, "value"), static_cast<StoreVersion>(*version) };
}

std::optional<std::vector<StoreEntry>> decodeEntries(std::string_view body)
{
    const auto object = parseObject(body);
    const json::value* list = object ? object->if_contains("entries") : nullptr;
    if (!list || !list->is_array())
        return std::nullopt;
    std::vector<StoreEntry> entries;
    for (const json::value& element : list->as_array()) {
        auto entry = decodeEntry(element);
        if (!entry)
            return std::nullopt;
        entries.push_back(std::move(*entry));
    }
    return entries;
}

std::optional<VmRecord> decodeVm(const json::value& value)
{
    if (!value.is_object())
        return std::nullopt;
    const json::object& object = value.as_object();
    const VmRecord record { VmId(textOf(object, "vm")), RegionId(textOf(object, "region")),
        FailureDomainId(textOf(object, "domain")), textOf(object, "address"),
        object.contains("is_leaving") && object.at("is_leaving") == true };
    return record.vm.isEmpty() ? std::nullopt : std::optional(record);
}

} // namespace

std::string encodeStoreRequest(const WireStoreRequest& wire)
{
    json::object object;
    object["operation"] = nameOf(wire.request.operation);
    object["key"] = wire.request.key;
    if (wire.request.operation == StoreOperation::CompareAndSwap)
        object["value"] = wire.request.value;
    object["expected_version"] = static_cast<std::int64_t>(wire.request.expectedVersion);
    if (wire.request.operation == StoreOperation::Watch)
        object["wait_ms"] = wire.request.wait.count();
    if (wire.lease.count() > 0)
        object["lease_ms"] = wire.lease.count();
    return json::serialize(object);
}

Outcome<WireStoreRequest> decodeStoreRequest(std::string_view body)
{
    const auto object = parseObject(body);
    if (!object)
        return Error { ErrorCode::InvalidArgument, "the body is no JSON object" };
    const auto operation = operationNamed(textOf(*object, "operation"));
    if (!operation)
        return Error { ErrorCode::InvalidArgument, "unknown operation" };
    const auto version = countOf(*object, "expected_version");
    const auto wait = countOf(*object, "wait_ms");
    const auto lease = countOf(*object, "lease_ms");
    if (!version || !wait || !lease)
        return Error { ErrorCode::InvalidArgument, "a count is no whole number from 0" };
    if (!object->contains("key"))
        return Error { ErrorCode::InvalidArgument, "the key is missing" };
    return WireStoreRequest { { *operation, textOf(*object, "key"), textOf(*object, "value"),
                                  static_cast<StoreVersion>(*version), Milliseconds(*wait) },
        Milliseconds(*lease) };
}

WireAnswer encodeStoreReply(const StoreReply& reply)
{
    json::object object;
    if (!reply) {
        object["error"] = json::object { { "code", toString(reply.error().code) }, { "detail", reply.error().detail } };
        int status = statusUnavailable;
        for (const auto& [candidate, code] : statusCodes) {
            if (code == reply.error().code)
                status = candidate;
        }
        return { status, json::serialize(object) };
    }
    json::array entries;
    for (const StoreEntry& entry : reply.value())
        entries.push_back(json::object {
            { "key", entry.key }, { "value", entry.value }, { "version", static_cast<std::int64_t>(entry.version) } });
    object["entries"] = std::move(entries);
    return { statusOk, json::serialize(object) };
}

StoreReply decodeStoreReply(StoreOperation operation, const WireAnswer& answer)
{
    if (answer.status == statusOk) {
        if (auto entries = decodeEntries(answer.body))
            return std::move(*entries);
        return notUnderstood(operation, "the key-value service's answer is damaged");
    }
    std::string detail = "the key-value service answered " + std::to_string(answer.status);
    if (const auto object = parseObject(answer.body)) {
        if (const json::value* error = object->if_contains("error"); error && error->is_object())
            detail = textOf(error->as_object(), "detail");
    }
    for (const auto& [status, code] : statusCodes) {
        if (status == answer.status)
            return Error { code, detail };
    }
    return notUnderstood(operation, detail);
}

std::string encodeVmList(const VmList& list)
{
    json::array vms;
    for (const VmRecord& record : list)
        vms.push_back(json::object { { "vm", record.vm.string() }, { "region", record.region.string() },
            { "domain", record.domain.string() }, { "address", record.address }, { "is_leaving", record.isLeaving } });
    return json::serialize(json::object { { "vms", std::move(vms) } });
}

Outcome<VmList> decodeVmList(std::string_view body)
{
    const auto object = parseObject(body);
    const json::value* list = object ? object->if_contains("vms") : nullptr;
    if (!list || !list->is_array())
        return Error { ErrorCode::Damaged, "the VM list is no JSON object with a list of vms" };
    VmList vms;
    for (const json::value& element : list->as_array()) {
        auto record = decodeVm(element);
        if (!record)
            return Error { ErrorCode::Damaged, "the VM list names a VM without an id" };
        vms.push_back(std::move(*record));
    }
    std::sort(vms.begin(), vms.end(),
        [](const VmRecord& left, const VmRecord& right) { return left.vm.string() < right.vm.string(); });
    return vms;
}

} // namespace papayashelf
