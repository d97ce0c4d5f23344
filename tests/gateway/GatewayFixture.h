#pragma once

#include "gateway/gateway.h"

namespace papayashelf {

/** Functions that create test data for the gateway's decisions. */
namespace gatewayfixture {

inline VmAnnouncement makeVm(const std::string& name, const std::string& region, bool isReady = true)
{
    VmAnnouncement vm;
    vm.vm = VmId(name);
    vm.region = RegionId(region);
    vm.failureDomain = FailureDomainId(region + "-a");
    vm.callers = Endpoint { "127.0.0.1", static_cast<std::uint16_t>(20000 + stableHash(name) % 10000) };
    vm.relays = Endpoint { "127.0.0.1", static_cast<std::uint16_t>(30000 + stableHash(name) % 10000) };
    vm.relayKey = "key-of-" + name;
    vm.isReady = isReady;
    vm.takesRequests = isReady;
    return vm;
}

inline UpstreamRecord makeUpstream(const std::string& name, const std::string& region, int slots = 64)
{
    UpstreamRecord upstream;
    upstream.id = UpstreamId(name);
    upstream.service = ServiceId("engine");
    upstream.region = RegionId(region);
    upstream.failureDomain = FailureDomainId(region + "-a");
    upstream.endpoint = Endpoint { "127.0.0.1", static_cast<std::uint16_t>(40000 + stableHash(name) % 10000) };
    upstream.slots = slots;
    upstream.version = SoftwareVersion("v1");
    return upstream;
}

inline ServingRoute makeRoute(const std::string& prefix, const std::string& service = "engine")
{
    ServingRoute route;
    route.id = RouteId("route" + prefix);
    route.host = "h.example";
    route.pathPrefix = prefix;
    route.services = { { ServiceId(service), 1 } };
    route.timeout = Milliseconds(5000);
    route.latencyTarget = Milliseconds(500);
    return route;
}

inline ServingDocument makeDocument(std::uint64_t version)
{
    ServingDocument document;
    document.version = version;
    document.routes = { makeRoute("/a/"), makeRoute("/a/long/") };
    ServingWorkspace workspace;
    workspace.id = WorkspaceId("members");
    workspace.keys = { "first-key", "second-key" };
    document.workspaces = { workspace };
    return document;
}

inline GatewaySettings makeSettings(const std::string& vm = "vm-1", const std::string& region = "north")
{
    GatewaySettings settings;
    settings.vm = VmId(vm);
    settings.region = RegionId(region);
    settings.failureDomain = FailureDomainId(region + "-a");
    settings.bounds.extraRetries = 16;
    return settings;
}

} // namespace gatewayfixture

} // namespace papayashelf
