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

/** A service and its weight in the traffic of a route. */
struct WeightedService {
    ServiceId service;
    int weight = 1;

    bool operator==(const WeightedService&) const = default;
};

/** A route: which requests it matches, which services serve them and how. */
struct ServingRoute {
    RouteId id;
    std::string host;
    std::string pathPrefix; /**< Begins and ends with a slash. */
    std::vector<WeightedService> services;
    bool isStream = false; /**< True if responses are event streams. */
    bool isRetryable = false; /**< True for idempotent requests and for streams that another upstream can continue. */
    bool isResumable = false; /**< True if another upstream can continue an interrupted stream. */
    bool isPublic = false; /**< True if requests need no key. */
    /** True if requests identify the parts of their prompts, so that cached parts can be reused. */
    bool hasPromptParts = false;
    Milliseconds timeout; /**< Maximum time until the response is complete. */
    Milliseconds latencyTarget; /**< Time within which a response counts as on time. */
    /** Maximum time between events of a stream that counts as on time; 0 for no limit. */
    Milliseconds maximumEventGap;
    int maximumAttempts = 1; /**< Maximum number of upstreams that one request may be sent to. */
    int priority = 5; /**< 0 is the most urgent. */
    std::vector<RegionId> homes; /**< Regions that may serve the requests; empty for all. */

    /** Returns the time without an event after which callers abandon a stream. Thread safety: const. */
    Milliseconds getStreamPatience() const;

    bool operator==(const ServingRoute&) const = default;
};

/** A service: a group of equivalent upstreams, and their limits. */
struct ServingService {
    ServiceId id;
    double coldRequestsPerSecond = 0; /**< Requests per second that a newly started upstream accepts; 0 for no limit. */
    std::string healthPath = {}; /**< Where an upstream tells its health; empty if it does not. */
    Milliseconds coldDuration = {}; /**< Time after its start for which an upstream accepts no more. */
    int slots = 0; /**< Requests that an engine runs concurrently; 0 if not configured. */
    std::int64_t memoryTokens = 0; /**< Tokens that fit in an engine's memory; 0 for services without engines. */

    bool operator==(const ServingService&) const = default;
};

/** A workspace: the API keys of its callers and its limits. */
struct ServingWorkspace {
    WorkspaceId id;
    std::vector<std::string> keys;
    double unitsPerSecond = 0; /**< Rate over all VMs; 0 for no limit. */
    double burstUnits = 0;
    bool countsTokens = false; /**< True if units are tokens instead of requests. */
    double defaultRequestUnits = 1; /**< Units of a request that does not state a number of tokens. */
    std::optional<int> priority; /**< Overrides the priority of the route. */
    std::vector<RegionId> homes;

    bool operator==(const ServingWorkspace&) const = default;
};

/** Limits on callers' requests. */
struct CallerLimits {
    std::size_t headerBytes = std::size_t { 16 } * 1024;
    std::size_t bodyBytes = std::size_t { 4 } * 1024 * 1024;
    Milliseconds headerTimeout { 3000 };
    Milliseconds idleTimeout { 15000 };

    bool operator==(const CallerLimits&) const = default;
};

/** A complete configuration as written by operators. */
struct ServingDocument {
    std::uint64_t version = 0;
    std::vector<ServingRoute> routes;
    std::vector<ServingService> services;
    std::vector<ServingWorkspace> workspaces;
    CallerLimits limits;

    bool operator==(const ServingDocument&) const = default;
};

/**
    A configuration with indexes for lookups.

    Thread safety: immutable, so any thread may read it.
*/
class ServingConfiguration {
public:
    /** Takes over a document and builds the indexes. */
    explicit ServingConfiguration(ServingDocument source);

    /** Returns the route of the host with the longest prefix of the path, or null. */
    const ServingRoute* findRoute(std::string_view host, std::string_view path) const;

    /** Returns the regions that are homes of the most routes of the host; empty if no route of the host has homes. */
    std::vector<RegionId> findHomes(std::string_view host) const;

    /** Returns the workspace of the key, or null. */
    const ServingWorkspace* findWorkspaceOfKey(std::string_view key) const;

    /** Returns the workspace with the id, or null. */
    const ServingWorkspace* findWorkspace(const WorkspaceId& id) const;

    /** Returns the service; one with default limits if the configuration does not describe it. */
    const ServingService& getService(const ServiceId& id) const;

    /** Returns true if any workspace is configured. Without one, requests need no key. */
    bool hasWorkspaces() const { return !this->document.workspaces.empty(); }

    /** Returns the document that the configuration was built from. */
    const ServingDocument& getDocument() const { return this->document; }

    /** Returns the limits on callers' requests. */
    const CallerLimits& getLimits() const { return this->document.limits; }

    /** Returns the version of the document. */
    std::uint64_t getVersion() const { return this->document.version; }

private:
    ServingDocument document;
    std::unordered_map<std::string, std::vector<const ServingRoute*>>
        routesByHost; /**< Routes with the longest prefix come first. */
    std::unordered_map<std::string, const ServingWorkspace*> workspacesByKey;
    std::unordered_map<ServiceId, const ServingService*> servicesById;
};

/** Returns true if the region is one of the homes or the list of homes is empty. */
bool isHome(const std::vector<RegionId>& homes, const RegionId& region);

} // namespace papayashelf
