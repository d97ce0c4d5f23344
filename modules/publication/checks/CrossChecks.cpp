#include "publication/checks/CrossChecks.h"

#include <algorithm>
#include <functional>
#include <map>
#include <set>

namespace papayashelf {

namespace {

std::string at(const Fault& place)
{
    return place.file + ":" + std::to_string(place.position.line);
}

std::string nameWithKind(std::string kind, const std::string& name)
{
    return kind.append(" ").append(name);
}

/** Reports each value whose name an earlier one has. */
template <typename Value, typename Name>
void reportTwins(const std::vector<Placed<Value>>& values, std::string_view field, const std::string& what,
    const Name& nameOf, Faults& faults)
{
    std::map<std::string, const Placed<Value>*> first;
    for (const Placed<Value>& value : values) {
        const std::string name = nameOf(value.value);
        if (name.empty())
            continue;
        const auto [known, isNew] = first.emplace(name, &value);
        if (!isNew)
            faults.push_back(value.fault(field, nameWithKind(what, name) + " is given twice",
                "each once; the other is at " + at(known->second->fault(field, {}, {}))));
    }
}

template <typename Value> std::string idOf(const Value& value)
{
    return value.id.string();
}

void checkNames(const OperatorFiles& files, Faults& faults)
{
    reportTwins(files.regions, "id", "the region", idOf<Region>, faults);
    reportTwins(files.workspaces, "id", "the workspace", idOf<Workspace>, faults);
    reportTwins(files.services, "id", "the service", idOf<Service>, faults);
    reportTwins(files.upstreams, "id", "the upstream", idOf<Upstream>, faults);
    reportTwins(files.routes, "id", "the route", idOf<Route>, faults);
    reportTwins(
        files.routes, "path_prefix", "the path prefix", [](const Route& route) { return route.pathPrefix; }, faults);
    reportTwins(
        files.upstreams, "endpoint", "the upstream endpoint",
        [](const Upstream& upstream) { return upstream.endpoint.port ? upstream.endpoint.string() : std::string(); },
        faults);
}

/** The ids of some values. */
template <typename Value> auto idsOf(const std::vector<Placed<Value>>& values)
{
    std::set<decltype(Value::id)> ids;
    for (const Placed<Value>& value : values)
        ids.insert(value.value.id);
    return ids;
}

void checkRegions(const OperatorFiles& files, Faults& faults)
{
    const auto regions = idsOf(files.regions);
    std::map<FailureDomainId, RegionId> owners;
    for (const Placed<Region>& placed : files.regions) {
        const Region& region = placed.value;
        for (const FailureDomainId& domain : region.domains) {
            const auto [owner, isNew] = owners.emplace(domain, region.id);
            if (!isNew && owner->second != region.id)
                faults.push_back(placed.fault("domains",
                    "the failure domain " + domain.string() + " belongs to " + owner->second.string() + " too",
                    "each failure domain in one region"));
        }
        for (const auto& [other, megabits] : region.linkMegabitsPerSecond) {
            if (!regions.contains(other) || other == region.id)
                faults.push_back(placed.fault(
                    "link_megabits_per_second", "a link to " + other.string(), "links to the other regions"));
        }
        for (const RegionId& other : regions) {
            if (other != region.id && !region.linkMegabitsPerSecond.contains(other))
                faults.push_back(placed.fault("link_megabits_per_second", "no link to " + other.string(),
                    "the megabits a second to each other region"));
        }
    }
}

void checkFleet(const OperatorFiles& files, Faults& faults)
{
    if (files.fleets.empty()) {
        faults.push_back({ "the tree", {}, "no file has a fleet table", "one file with the voted totals" });
        return;
    }
    for (std::size_t index = 1; index < files.fleets.size(); ++index)
        faults.push_back(files.fleets[index].fault(
            "tokens_per_second", "a second fleet", "one; the other is in " + files.fleets.front().file));

    const Placed<Fleet>& fleet = files.fleets.front();
    std::int64_t rate = 0;
    std::int64_t burst = 0;
    for (const Placed<Workspace>& workspace : files.workspaces) {
        rate += workspace.value.tokensPerSecond;
        burst += workspace.value.burstTokens;
    }
    if (rate > fleet.value.tokensPerSecond)
        faults.push_back(fleet.fault("tokens_per_second",
            "the workspaces have " + std::to_string(rate) + " tokens a second together",
            "at most the voted " + std::to_string(fleet.value.tokensPerSecond)));
    if (burst > fleet.value.burstTokens)
        faults.push_back(
            fleet.fault("burst_tokens", "the workspaces have bursts of " + std::to_string(burst) + " tokens together",
                "at most the voted " + std::to_string(fleet.value.burstTokens)));
}

void checkWorkspaceRegions(const Placed<Workspace>& placed, const std::set<RegionId>& regions, Faults& faults)
{
    const Workspace& workspace = placed.value;
    for (const RegionId& region : workspace.residency) {
        if (!regions.contains(region))
            faults.push_back(placed.fault("residency", "the unknown region " + region.string(), "regions of the tree"));
    }
    std::int64_t total = 0;
    for (const auto& [region, weight] : workspace.shareWeights) {
        total += weight;
        const bool isOutside = !workspace.residency.empty()
            && !std::binary_search(workspace.residency.begin(), workspace.residency.end(), region);
        if (!regions.contains(region) || isOutside)
            faults.push_back(placed.fault("share_weights",
                "a weight for " + region.string() + (isOutside ? ", outside the residency" : ", an unknown region"),
                "regions of the residency, or any region if there is none"));
    }
    if (!workspace.shareWeights.empty() && total == 0)
        faults.push_back(placed.fault("share_weights", "all weights are 0", "at least one above 0"));
}

/** Each service that a route with keys leads to. */
std::vector<const Service*> routedServices(const OperatorFiles& files)
{
    std::set<ServiceId> routed;
    for (const Placed<Route>& route : files.routes) {
        if (!route.value.isOpenToAll)
            routed.insert(route.value.service);
    }
    std::vector<const Service*> services;
    for (const Placed<Service>& service : files.services) {
        if (routed.contains(service.value.id))
            services.push_back(&service.value);
    }
    return services;
}

bool hasUpstreamWithin(const Service& service, const std::vector<RegionId>& residency)
{
    return std::any_of(service.upstreams.begin(), service.upstreams.end(), [&](const Upstream& upstream) {
        return std::binary_search(residency.begin(), residency.end(), upstream.region);
    });
}

/** Reports residencies within which a routed service has no upstream: its requests could never be run. */
void checkResidency(const OperatorFiles& files, Faults& faults)
{
    const auto services = routedServices(files);
    std::map<std::vector<RegionId>, std::string> missingByResidency;
    for (const Placed<Workspace>& placed : files.workspaces) {
        const auto& residency = placed.value.residency;
        if (residency.empty())
            continue;
        const auto [missing, isNew] = missingByResidency.emplace(residency, std::string());
        if (isNew) {
            for (const Service* service : services) {
                if (!hasUpstreamWithin(*service, residency))
                    missing->second += (missing->second.empty() ? "" : ", ") + service->id.string();
            }
        }
        if (!missing->second.empty())
            faults.push_back(placed.fault("residency", "no upstream within the residency for " + missing->second,
                "regions where every routed service has an upstream"));
    }
}

void checkWorkspaces(const OperatorFiles& files, Faults& faults)
{
    const auto regions = idsOf(files.regions);
    const Route* dearest = nullptr;
    for (const Placed<Route>& route : files.routes) {
        if (!route.value.isOpenToAll && (!dearest || route.value.tokensPerRequest > dearest->tokensPerRequest))
            dearest = &route.value;
    }
    for (const Placed<Workspace>& placed : files.workspaces) {
        checkWorkspaceRegions(placed, regions, faults);
        if (dearest && dearest->tokensPerRequest > placed.value.burstTokens)
            faults.push_back(placed.fault("burst_tokens",
                "a burst below the cost of one request on the route " + dearest->id.string(),
                "at least " + std::to_string(dearest->tokensPerRequest) + " tokens"));
    }
    checkResidency(files, faults);
}

void checkKeys(const OperatorFiles& files, Faults& faults)
{
    const auto workspaces = idsOf(files.workspaces);
    std::map<KeyDigest, const Placed<KeyGrant>*> grants;
    for (const Placed<KeyGrant>& placed : files.keys) {
        const KeyGrant& grant = placed.value;
        if (!grant.workspace.isEmpty() && !workspaces.contains(grant.workspace))
            faults.push_back(placed.fault(
                "workspace", "the unknown workspace " + grant.workspace.string(), "a workspace of the tree"));
        for (const KeyDigest& digest : grant.digests) {
            const auto [known, isNew] = grants.emplace(digest, &placed);
            if (!isNew)
                faults.push_back(placed.fault("digests", "the key " + digest.string() + " is granted twice",
                    "each key once; the other grant is in " + known->second->file));
        }
    }
}

void checkUpstreams(const OperatorFiles& files, Faults& faults)
{
    std::map<RegionId, const Region*> regions;
    for (const Placed<Region>& region : files.regions)
        regions.emplace(region.value.id, &region.value);
    for (const Placed<Upstream>& placed : files.upstreams) {
        const Upstream& upstream = placed.value;
        const auto region = regions.find(upstream.region);
        if (region == regions.end()) {
            if (!upstream.region.isEmpty())
                faults.push_back(
                    placed.fault("region", "the unknown region " + upstream.region.string(), "a region of the tree"));
        } else if (!std::binary_search(
                       region->second->domains.begin(), region->second->domains.end(), upstream.domain)) {
            faults.push_back(placed.fault("domain",
                "the failure domain " + upstream.domain.string() + " is not in " + upstream.region.string(),
                "a failure domain of the upstream's region"));
        }
        for (const Placed<Fleet>& fleet : files.fleets) {
            const auto& ranges = fleet.value.vmAddresses;
            if (std::any_of(ranges.begin(), ranges.end(),
                    [&](const AddressRange& range) { return range.contains(upstream.endpoint); }))
                faults.push_back(placed.fault("endpoint",
                    "the endpoint " + upstream.endpoint.string() + " is a VM of the system itself",
                    "an endpoint outside fleet.vm_addresses"));
        }
    }
}

void checkRoutes(const OperatorFiles& files, Faults& faults)
{
    const auto services = idsOf(files.services);
    for (const Placed<Route>& placed : files.routes) {
        const ServiceId& service = placed.value.service;
        if (!service.isEmpty() && !services.contains(service))
            faults.push_back(
                placed.fault("service", "the unknown service " + service.string(), "a service of the tree"));
    }
}

} // namespace

void checkAcross(const OperatorFiles& files, Faults& faults)
{
    checkNames(files, faults);
    checkRegions(files, faults);
    checkFleet(files, faults);
    checkWorkspaces(files, faults);
    checkKeys(files, faults);
    checkUpstreams(files, faults);
    checkRoutes(files, faults);
}

} // namespace papayashelf
