#include "gateway/model/ServingConfiguration.h"

#include <algorithm>
#include <map>
#include <utility>

namespace papayashelf {

namespace {

// What callers of streams do, by their documentation: the longest of three times.
constexpr Milliseconds shortestStreamPatience { 2'000 };
constexpr std::int64_t patienceInLatencyTargets = 4;
constexpr std::int64_t patienceInEventGaps = 8;

} // namespace

Milliseconds ServingRoute::getStreamPatience() const
{
    return std::max({ shortestStreamPatience, this->latencyTarget * patienceInLatencyTargets,
        this->maximumEventGap * patienceInEventGaps });
}

ServingConfiguration::ServingConfiguration(ServingDocument source)
    : document(std::move(source))
{
    for (const ServingRoute& route : this->document.routes)
        this->routesByHost[route.host].push_back(&route);
    for (auto& [host, routes] : this->routesByHost) {
        std::stable_sort(routes.begin(), routes.end(), [](const ServingRoute* left, const ServingRoute* right) {
            return left->pathPrefix.size() > right->pathPrefix.size();
        });
    }
    for (const ServingWorkspace& workspace : this->document.workspaces) {
        for (const std::string& key : workspace.keys)
            this->workspacesByKey[key] = &workspace;
    }
    for (const ServingService& service : this->document.services)
        this->servicesById[service.id] = &service;
}

const ServingRoute* ServingConfiguration::findRoute(std::string_view host, std::string_view path) const
{
    const auto found = this->routesByHost.find(std::string(host));
    if (found == this->routesByHost.end())
        return nullptr;
    for (const ServingRoute* route : found->second) {
        if (path.starts_with(route->pathPrefix))
            return route;
    }
    return nullptr;
}

std::vector<RegionId> ServingConfiguration::findHomes(std::string_view host) const
{
    const auto found = this->routesByHost.find(std::string(host));
    if (found == this->routesByHost.end())
        return {};
    std::map<RegionId, int> counts;
    int highestCount = 0;
    for (const ServingRoute* route : found->second) {
        for (const RegionId& region : route->homes)
            highestCount = std::max(highestCount, ++counts[region]);
    }
    std::vector<RegionId> homes;
    for (const auto& [region, count] : counts) {
        if (count == highestCount)
            homes.push_back(region);
    }
    return homes;
}

const ServingWorkspace* ServingConfiguration::findWorkspaceOfKey(std::string_view key) const
{
    const auto found = this->workspacesByKey.find(std::string(key));
    return found == this->workspacesByKey.end() ? nullptr : found->second;
}

const ServingWorkspace* ServingConfiguration::findWorkspace(const WorkspaceId& id) const
{
    const auto& all = this->document.workspaces;
    const auto found = std::find_if(all.begin(), all.end(), [&](const auto& workspace) { return workspace.id == id; });
    return found == all.end() ? nullptr : &*found;
}

const ServingService& ServingConfiguration::getService(const ServiceId& id) const
{
    static const ServingService unknown;
    const auto found = this->servicesById.find(id);
    return found == this->servicesById.end() ? unknown : *found->second;
}

bool isHome(const std::vector<RegionId>& homes, const RegionId& region)
{
    return homes.empty() || std::find(homes.begin(), homes.end(), region) != homes.end();
}

} // namespace papayashelf
