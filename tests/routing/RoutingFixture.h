#pragma once

#include "foundation/hashing/StableHash.h"
#include "routing/routing.h"
#include <memory>
#include <string>

namespace papayashelf {

/** Values shared by the routing tests: three regions, one engine service, and two workspaces, one of them with a
    residency restriction. */
namespace routing_fixture {

inline const RegionId home("altiplano");
inline const RegionId second("verapaz");
inline const RegionId third("oriente");
inline const ServiceId assistant("assistant");
inline const WorkspaceId unrestrictedWorkspace("free");
inline const WorkspaceId restrictedWorkspace("bound");

inline Upstream makeUpstream(const RegionId& region, int number, int slots = 8)
{
    Upstream upstream;
    upstream.id = UpstreamId(region.string() + "-" + std::to_string(100 + number));
    upstream.region = region;
    upstream.endpoint
        = { "10.0." + std::to_string(stableHash(region.string()) % 200) + "." + std::to_string(number), 8000 };
    upstream.slots = slots;
    return upstream;
}

inline Governance makeGovernance(int upstreamsPerRegion, double megabits = 2000)
{
    Governance governance;
    Service service;
    service.id = assistant;
    service.kind = ServiceKind::ModelEngine;
    for (const RegionId& region : { home, second, third }) {
        governance.regions[region].id = region;
        for (const RegionId& other : { home, second, third }) {
            if (other != region)
                governance.regions[region].linkMegabitsPerSecond[other] = megabits;
        }
        for (int number = 0; number < upstreamsPerRegion; ++number)
            service.upstreams.push_back(makeUpstream(region, number));
    }
    governance.services[assistant] = service;
    governance.workspaces[unrestrictedWorkspace].id = unrestrictedWorkspace;
    governance.workspaces[restrictedWorkspace].id = restrictedWorkspace;
    governance.workspaces[restrictedWorkspace].residency = { home };
    return governance;
}

inline std::vector<Member> makeMembers()
{
    std::vector<Member> members;
    for (const RegionId& region : { home, second, third }) {
        for (int number = 0; number < 2; ++number) {
            Member member;
            member.vm = VmId(region.string() + "-vm" + std::to_string(number));
            member.region = region;
            member.peerEndpoint = { "10.9.0.1", 9000 };
            members.push_back(member);
        }
    }
    return members;
}

inline Router makeRouter(const Governance& governance, RoutingSettings settings = {})
{
    Router router(settings, home, VmId("altiplano-vm0"));
    router.setGovernance(std::make_shared<const Governance>(governance));
    router.setMembers(makeMembers());
    return router;
}

inline RoutingQuery makeQuery(const WorkspaceId& workspace = unrestrictedWorkspace)
{
    RoutingQuery query;
    query.workspace = workspace;
    query.service = assistant;
    query.promptTokens = 500;
    query.maximumTokens = 200;
    return query;
}

/** Reports this many running requests for every watched upstream of the home region. */
inline void reportLoad(Router& router, Milliseconds now, std::int64_t running, double cacheUse = 1)
{
    for (const Upstream& upstream : router.getWatchedUpstreams()) {
        UpstreamLoadReport load;
        load.upstream = upstream.id;
        load.running = running;
        load.cacheUse = cacheUse;
        router.handleLoad(now, load);
    }
}

} // namespace routing_fixture

} // namespace papayashelf
