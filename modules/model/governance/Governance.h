#pragma once

#include "foundation/identity/Identifier.h"
#include "foundation/time/Clock.h"
#include "model/documents/Document.h"
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace papayashelf {

/** A workspace's configured limits and the regions that may process its data. */
struct Workspace {
    WorkspaceId id;
    std::int64_t tokensPerSecond = 0; /**< Total rate over all VMs of all regions. */
    std::int64_t burstTokens = 0; /**< Maximum number of tokens that can be taken at once, over all VMs. */
    std::vector<RegionId> residency; /**< The regions that may process its data, sorted; empty means any region. */
    std::map<RegionId, std::int64_t> shareWeights; /**< Relative part of the rate by region; empty means equal parts. */
    int priority = 0; /**< Passed on to engines; larger values are served first. */

    bool operator==(const Workspace&) const = default;
};

/** A caller's key. Only its digest is stored. */
struct Key {
    KeyDigest digest;
    WorkspaceId workspace;

    auto operator<=>(const Key&) const = default;
    bool operator==(const Key&) const = default;
};

/** The kind of upstreams that a service has. */
enum class ServiceKind {
    ModelEngine, /**< Implements chat completions; answers may be streamed, resumed and cancelled. */
    PlainService, /**< Any other HTTP service; method, headers, body and status are passed through unchanged. */
};

/** The location, capacity and fencing support of one upstream of a service. */
struct Upstream {
    UpstreamId id;
    RegionId region;
    FailureDomainId domain;
    Endpoint endpoint;
    int slots = 1; /**< Number of requests that it serves concurrently without queueing. */
    bool checksFencing = false; /**< Whether it rejects a request with an outdated fencing number. */

    bool operator==(const Upstream&) const = default;
};

/** A group of interchangeable upstreams. */
struct Service {
    ServiceId id;
    ServiceKind kind = ServiceKind::PlainService;
    std::vector<ModelId> models; /**< Models that it can serve, sorted; empty for plain services. */
    std::vector<Upstream> upstreams; /**< Sorted by id. */

    bool operator==(const Service&) const = default;
};

/** Maps requests to a service by path prefix and defines how they are handled. */
struct Route {
    RouteId id;
    std::string pathPrefix; /**< Matches the path itself and every path below it; the longest match wins. */
    ServiceId service;
    bool isOpenToAll = false; /**< Whether it needs no key and charges no workspace's share. */
    std::vector<std::string> idempotentMethods; /**< Upper-case methods that may be retried, sorted. */
    std::int64_t tokensPerRequest = 0; /**< Cost of a request to a plain service, in tokens. */
    Milliseconds timeout { 60000 }; /**< Maximum time from accepting a request to the last byte of its answer. */

    bool operator==(const Route&) const = default;
};

/** One region and its failure domains. */
struct Region {
    RegionId id;
    std::vector<FailureDomainId> domains; /**< Sorted. */
    std::map<RegionId, double> linkMegabitsPerSecond; /**< Bandwidth to each other region, per direction. */
    std::vector<std::string> callerNetworks; /**< Prefixes, such as "10.1.0.0/16", of its nearest callers. */

    bool operator==(const Region&) const = default;
};

/** The typed and indexed content of one revision. It is built from the documents and immutable afterwards. */
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
