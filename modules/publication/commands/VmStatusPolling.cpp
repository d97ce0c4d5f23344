#include "publication/commands/VmStatusPolling.h"

#include "platform/http/HttpConnection.h"
#include "settings/reading/ConfigNode.h"
#include <memory>

namespace papayashelf {

namespace {

constexpr int statusOk = 200;
constexpr int statusUnauthorized = 401;
constexpr int statusForbidden = 403;

std::string textOf(const ConfigNode& node, std::string_view name)
{
    const ConfigMember* member = node.member(name);
    const auto* text = member ? std::get_if<std::string>(&member->value.value) : nullptr;
    return text ? *text : std::string();
}

Outcome<VmStatus> statusOf(const HttpResult& result)
{
    if (!result.answer)
        return result.answer.error();
    const int status = result.answer.value().status;
    if (status == statusUnauthorized || status == statusForbidden)
        return Error { ErrorCode::InvalidArgument, "the administration key is refused" };
    if (status != statusOk)
        return Error { ErrorCode::Unavailable, "the VM answered " + std::to_string(status) };
    return decodeVmStatus(result.answer.value().body);
}

} // namespace

Outcome<VmStatus> decodeVmStatus(std::string_view body)
{
    BOOST_OUTCOME_TRY(const ConfigNode root, parseJson(body));
    const ConfigMember* revision = root.member("revision");
    const auto* number = revision ? std::get_if<std::int64_t>(&revision->value.value) : nullptr;
    const std::string region = textOf(root, "region");
    if (!number || *number < 0 || region.empty())
        return Error { ErrorCode::Damaged, "the status has no revision or no region" };
    return VmStatus { VmId(textOf(root, "vm")), RegionId(region), static_cast<RevisionNumber>(*number) };
}

VmStatuses askVmStatuses(const std::vector<Endpoint>& administration, const std::string& key, Milliseconds timeout)
{
    VmStatuses statuses;
    boost::asio::io_context context;
    for (const Endpoint& vm : administration) {
        const auto connection = std::make_shared<HttpConnection>(context, vm);
        connection->exchange({ "GET", "/v1/status", {}, key }, timeout,
            [&statuses, vm](const HttpResult& result) { statuses.insert_or_assign(vm, statusOf(result)); });
    }
    context.run();
    return statuses;
}

} // namespace papayashelf
