#pragma once

#include "foundation/identity/Identifier.h"
#include "foundation/time/Clock.h"
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace papayashelf {

/** A service and its part of a route's traffic. */
struct WeightedService {
    ServiceId service;
    int weight = 1;

    bool operator==(const WeightedService&) const = default;
};

/** Which requests go where, and what may be done with them. */
struct ServingRoute {
    RouteId id;
    std::string host;
    std::string pathPrefix; /**< Begins and ends with a slash. */
    std::vector<WeightedService> services;
    bool isStream = false; /**< Answers are event streams. */
    bool isRetryable = false; /**< Idempotent, or a stream that another upstream can continue. */
    bool isResumable = false;
    bool isPublic = false; /**< Needs no key. */
    bool hasPromptParts = false; /**< Requests name the parts of their prompts, for reuse of cached ones. */
    Milliseconds timeout; /**< Longest time until the final answer. */
    Milliseconds latencyTarget; /**< Within which an answer is on time. */
    Milliseconds maximumEventGap; /**< Between events of a stream that is on time; 0 where there is no such bound. */
    int maximumAttempts = 1; /**< Upstreams that one request may be sent to. */
    int priority = 5; /**< 0 is the most urgent. */
    std::vector<RegionId> homes; /**< Regions that may serve it; empty for all. */

    bool operator==(const ServingRoute&) const = default;
};

/** Upstreams of one kind. */
struct ServingService {
    ServiceId id;
    double coldRequestsPerSecond = 0; /**< What an upstream bears just after its start; 0 for no bound. */
    int slots = 0; /**< Requests that an engine runs at once; 0 where the configuration does not say. */
    std::int64_t memoryTokens = 0; /**< What an engine's memory holds; 0 for services without engines. */

    bool operator==(const ServingService&) const = default;
};

/** Who may call, and how much. */
struct ServingWorkspace {
    WorkspaceId id;
    std::vector<std::string> keys;
    double unitsPerSecond = 0; /**< Over all VMs; 0 for no limit. */
    double burstUnits = 0;
    bool countsTokens = false; /**< Units are tokens, not requests. */
    double defaultRequestUnits = 1; /**< Units of a request that does not state its tokens. */
    std::optional<int> priority; /**< Goes before the route's. */
    std::vector<RegionId> homes;

    bool operator==(const ServingWorkspace&) const = default;
};

/** What callers may send. */
struct CallerLimits {
    std::size_t headerBytes = std::size_t { 16 } * 1024;
    std::size_t bodyBytes = std::size_t { 4 } * 1024 * 1024;
    Milliseconds headerTimeout { 3000 };
    Milliseconds idleTimeout { 15000 };

    bool operator==(const CallerLimits&) const = default;
};

/** One whole configuration as operators wrote it. */
struct ServingDocument {
    std::uint64_t version = 0;
    std::vector<ServingRoute> routes;
    std::vector<ServingService> services;
    std::vector<ServingWorkspace> workspaces;
    CallerLimits limits;

    bool operator==(const ServingDocument&) const = default;
};

/**
    A configuration in force, with its look-ups.

    Thread safety: immutable, so any thread may read it.
*/
class ServingConfiguration {
public:
    explicit ServingConfiguration(ServingDocument source);

    /** The route of that host with the longest prefix of the path, or null. */
    const ServingRoute* findRoute(std::string_view host, std::string_view path) const;

    /** Of the routes of the host that have homes, the regions that are a home of most; empty if no route has any. */
    std::vector<RegionId> findHomes(std::string_view host) const;

    /** The workspace that holds the key, or null. */
    const ServingWorkspace* findWorkspaceOfKey(std::string_view key) const;

    const ServingWorkspace* findWorkspace(const WorkspaceId& id) const;

    /** The service's bounds; default ones for a service that the configuration does not describe. */
    const ServingService& getService(const ServiceId& id) const;

    bool hasWorkspaces() const { return !this->document.workspaces.empty(); }
    const ServingDocument& getDocument() const { return this->document; }
    const CallerLimits& getLimits() const { return this->document.limits; }
    std::uint64_t getVersion() const { return this->document.version; }

private:
    ServingDocument document;
    std::unordered_map<std::string, std::vector<const ServingRoute*>> routesByHost; /**< Longest prefix first. */
    std::unordered_map<std::string, const ServingWorkspace*> workspacesByKey;
    std::unordered_map<ServiceId, const ServingService*> servicesById;
};

/** True if the region is one of the homes, or there are none. */
bool isHome(const std::vector<RegionId>& homes, const RegionId& region);

} // namespace papayashelf
