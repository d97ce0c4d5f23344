#pragma once

#include "foundation/identity/Identifier.h"
#include "foundation/time/Clock.h"
#include "model/documents/Document.h"
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace papayashelf {

/** A workspace's voted limits and where its data may be processed. */
struct Workspace {
    WorkspaceId id;
    std::int64_t tokensPerSecond = 0; /**< Rate over all VMs of all regions together. */
    std::int64_t burstTokens = 0; /**< Most tokens that can be taken at once, over all VMs together. */
    std::vector<RegionId> residency; /**< The only regions that may process its data; empty means any. Sorted. */
    std::map<RegionId, std::int64_t> shareWeights; /**< Relative part of the rate by region; empty means equal. */
    int priority = 0; /**< Passed on to engines; larger is served first. */

    bool operator==(const Workspace&) const = default;
};

/** A caller's key, known by its digest only. */
struct Key {
    KeyDigest digest;
    WorkspaceId workspace;

    auto operator<=>(const Key&) const = default;
    bool operator==(const Key&) const = default;
};

/** What kind of upstream a service has. */
enum class ServiceKind {
    ModelEngine, /**< Speaks chat completions; answers may be streamed, resumed and cancelled. */
    PlainService, /**< Any HTTP service; method, headers, body and status are preserved. */
};

/** How one upstream of a service is reached and what it may be told. */
struct Upstream {
    UpstreamId id;
    RegionId region;
    FailureDomainId domain;
    Endpoint endpoint;
    int slots = 1; /**< Requests that it serves at once without queueing. */
    bool checksFencing = false; /**< Whether it refuses an order with an old fencing number. */

    bool operator==(const Upstream&) const = default;
};

/** A group of like upstreams. */
struct Service {
    ServiceId id;
    ServiceKind kind = ServiceKind::PlainService;
    std::vector<ModelId> models; /**< Models it can serve; empty for plain services. Sorted. */
    std::vector<Upstream> upstreams; /**< Sorted by id. */

    bool operator==(const Service&) const = default;
};

/** Which requests go to which service, and what may be done with them. */
struct Route {
    RouteId id;
    std::string pathPrefix; /**< Matches the path itself and everything below it; the longest match wins. */
    ServiceId service;
    bool isOpenToAll = false; /**< Needs no key and draws on no workspace's share. */
    std::vector<std::string> idempotentMethods; /**< Upper-case methods that may be tried again. Sorted. */
    std::int64_t tokensPerRequest = 0; /**< Cost of a request to a plain service, in tokens. */
    Milliseconds timeout { 60000 }; /**< From acceptance to the last byte. */

    bool operator==(const Route&) const = default;
};

/** One region and its failure domains. */
struct Region {
    RegionId id;
    std::vector<FailureDomainId> domains; /**< Sorted. */
    std::map<RegionId, double> linkMegabitsPerSecond; /**< To each other region, each way. */
    std::vector<std::string> callerNetworks; /**< Prefixes such as "10.1.0.0/16" whose callers are nearest to it. */

    bool operator==(const Region&) const = default;
};

/** Everything that one revision says, typed and indexed; built from its documents and then never changed. */
struct Governance {
    RevisionNumber revision = 0;
    std::map<RegionId, Region> regions;
    std::map<WorkspaceId, Workspace> workspaces;
    std::map<KeyDigest, Key> keys;
    std::map<ServiceId, Service> services;
    std::map<RouteId, Route> routes;

    bool operator==(const Governance&) const = default;
};

} // namespace papayashelf
