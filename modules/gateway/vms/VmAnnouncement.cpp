#include "gateway/vms/VmAnnouncement.h"

#include "foundation/text/JsonText.h"
#include "settings/reading/FieldRules.h"
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <limits>

namespace papayashelf {

namespace json = boost::json;

namespace {

constexpr std::int64_t schemaVersion = 1;

Endpoint parseEndpointField(const json::object& object, std::string_view name)
{
    return parseEndpoint(textAt(object, name)).value_or(Endpoint {});
}

VmAnnouncement parseStatus(const json::object& object)
{
    VmAnnouncement status;
    status.vm = VmId(textAt(object, "vm"));
    status.region = RegionId(textAt(object, "region"));
    status.failureDomain = FailureDomainId(textAt(object, "failure_domain"));
    status.callers = parseEndpointField(object, "callers");
    status.relays = parseEndpointField(object, "relays");
    status.relayKey = textAt(object, "relay_key");
    status.isReady = object.at("ready").as_bool();
    status.takesRequests = object.at("takes_requests").as_bool();
    // Builds before the sequence was introduced do not write it.
    if (object.if_contains("sequence"))
        status.sequence = wholeNumberAt(object, "sequence", 0, std::numeric_limits<std::int64_t>::max());
    // The same holds for builds that cannot tell.
    if (const json::value* reaches = object.if_contains("reaches_upstreams"))
        status.reachesUpstreams = reaches->as_bool();
    return status;
}

} // namespace

std::string encodeVmAnnouncement(const VmAnnouncement& status)
{
    json::object object;
    object["schema"] = schemaVersion;
    object["vm"] = status.vm.string();
    object["region"] = status.region.string();
    object["failure_domain"] = status.failureDomain.string();
    object["callers"] = status.callers.string();
    object["relays"] = status.relays.string();
    object["relay_key"] = status.relayKey;
    object["ready"] = status.isReady;
    object["takes_requests"] = status.takesRequests;
    object["sequence"] = status.sequence;
    object["reaches_upstreams"] = status.reachesUpstreams;
    return json::serialize(object);
}

Outcome<VmAnnouncement> decodeVmAnnouncement(std::string_view text)
{
    // Boost.JSON throws if a field is missing or has the wrong type; the exception is converted to an error here.
    try {
        const json::value value = json::parse(json::string_view(text.data(), text.size()));
        const json::object& object = value.as_object();
        if (object.at("schema").to_number<std::int64_t>() != schemaVersion)
            return Error { ErrorCode::UnknownSchemaVersion, "the VM's status has an unsupported schema version" };
        VmAnnouncement status = parseStatus(object);
        if (status.callers.port == 0 || status.relays.port == 0)
            return Error { ErrorCode::Damaged, "the VM's status has no valid caller or relay endpoint" };
        return status;
    } catch (const std::exception& failure) {
        return Error { ErrorCode::Damaged, std::string("the VM's status cannot be parsed: ") + failure.what() };
    }
}

} // namespace papayashelf
