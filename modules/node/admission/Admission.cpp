#include "node/admission/Admission.h"

#include <algorithm>

namespace papayashelf {

namespace {

bool matchesPathPrefix(const std::string& prefix, const std::string& path)
{
    if (path.compare(0, prefix.size(), prefix) != 0)
        return false;
    return path.size() == prefix.size() || prefix.back() == '/' || path[prefix.size()] == '/';
}

bool mayBeProcessedIn(const Workspace& workspace, const RegionId& region)
{
    const auto& allowed = workspace.residency;
    return allowed.empty() || std::find(allowed.begin(), allowed.end(), region) != allowed.end();
}

/** Whether a request is in a relay loop: a valid relayed request has passed exactly one VM, which is not this one. */
bool isLooping(const RequestArrival& arrival, const VmId& self)
{
    if (arrival.relayedFor.isEmpty())
        return !arrival.passedVms.empty();
    return arrival.passedVms.size() != 1 || arrival.passedVms.front() == self;
}

std::variant<const Workspace*, RefusalCode> findWorkspace(
    const Governance& governance, const RequestArrival& arrival, const Route& route, const WithdrawnCheck& isWithdrawn)
{
    WorkspaceId id = arrival.relayedFor;
    if (id.isEmpty()) {
        const auto key = governance.keys.find(arrival.key);
        const bool isKnown = !arrival.key.isEmpty() && key != governance.keys.end() && !isWithdrawn(arrival.key);
        if (isKnown)
            id = key->second.workspace;
        else if (!route.isOpenToAll)
            return RefusalCode::NotAuthenticated;
    }
    // An open route charges no workspace's share, even if the caller has a key.
    if (route.isOpenToAll)
        return nullptr;
    const auto workspace = governance.workspaces.find(id);
    if (workspace == governance.workspaces.end())
        return RefusalCode::NotAuthenticated;
    return &workspace->second;
}

bool isIdempotent(const Route& route, const Service& service, const std::string& method)
{
    if (service.kind == ServiceKind::ModelEngine)
        return true;
    const auto& methods = route.idempotentMethods;
    return std::find(methods.begin(), methods.end(), method) != methods.end();
}

AdmittedRequest makeAdmittedRequest(
    const Route& route, const Service& service, const Workspace* workspace, const RequestArrival& arrival)
{
    AdmittedRequest admitted;
    admitted.arrival = arrival;
    if (workspace) {
        admitted.workspace = workspace->id;
        admitted.shareWeight = std::max<std::int64_t>(1, workspace->tokensPerSecond);
        admitted.priority = workspace->priority;
    }
    admitted.service = service.id;
    admitted.kind = service.kind;
    admitted.costTokens = service.kind == ServiceKind::ModelEngine ? arrival.promptTokens + arrival.maximumTokens
                                                                   : route.tokensPerRequest;
    admitted.isIdempotent = isIdempotent(route, service, arrival.method);
    admitted.isRelayed = !arrival.relayedFor.isEmpty();
    admitted.resumeFromToken = arrival.resumeFromToken;
    return admitted;
}

} // namespace

const Route* findRoute(const Governance& governance, const std::string& path)
{
    const Route* longestMatch = nullptr;
    for (const auto& [id, route] : governance.routes) {
        if (matchesPathPrefix(route.pathPrefix, path)
            && (!longestMatch || route.pathPrefix.size() > longestMatch->pathPrefix.size()))
            longestMatch = &route;
    }
    return longestMatch;
}

std::optional<RefusalCode> checkRequestHead(
    const Governance& governance, const KeyDigest& key, const std::string& path, const RegionId& region)
{
    RequestArrival head;
    head.key = key;
    const Route* route = findRoute(governance, path);
    if (!route)
        return RefusalCode::NoSuchRoute;
    const auto found = findWorkspace(governance, head, *route, [](const KeyDigest&) { return false; });
    if (std::holds_alternative<RefusalCode>(found))
        return std::get<RefusalCode>(found);
    const Workspace* workspace = std::get<const Workspace*>(found);
    if (workspace && !mayBeProcessedIn(*workspace, region))
        return RefusalCode::OutsideResidency;
    return std::nullopt;
}

AdmissionResult admitRequest(const Governance& governance, const RequestArrival& arrival,
    const AdmissionContext& context, const WithdrawnCheck& isWithdrawn)
{
    if (isLooping(arrival, context.vm))
        return RefusalCode::LoopDetected;
    const Route* route = findRoute(governance, arrival.path);
    if (!route)
        return RefusalCode::NoSuchRoute;
    const auto found = findWorkspace(governance, arrival, *route, isWithdrawn);
    if (std::holds_alternative<RefusalCode>(found))
        return std::get<RefusalCode>(found);
    const Workspace* workspace = std::get<const Workspace*>(found);
    if (workspace && !mayBeProcessedIn(*workspace, context.region))
        return RefusalCode::OutsideResidency;
    const auto service = governance.services.find(route->service);
    if (service == governance.services.end())
        return RefusalCode::NoUpstream;
    const auto& models = service->second.models;
    const bool hasModel = service->second.kind != ServiceKind::ModelEngine
        || std::binary_search(models.begin(), models.end(), arrival.model);
    if (!hasModel)
        return RefusalCode::NoSuchModel;
    AdmittedRequest admitted = makeAdmittedRequest(*route, service->second, workspace, arrival);
    admitted.deadline = context.now + route->timeout;
    return admitted;
}

} // namespace papayashelf
