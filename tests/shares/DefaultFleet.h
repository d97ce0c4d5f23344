#pragma once

#include "shares/ShareFleet.h"

namespace papayashelf {

inline const WorkspaceId trials { "trials" };
inline const WorkspaceId mirrors { "mirrors" };

/** Returns a revision with three regions and two workspaces that have the same limits. */
inline std::shared_ptr<Governance> makeGovernance(RevisionNumber revision, std::int64_t rate, std::int64_t burst)
{
    auto governance = std::make_shared<Governance>();
    governance->revision = revision;
    for (const char* name : { "altiplano", "oriente", "verapaz" })
        governance->regions[RegionId(name)].id = RegionId(name);
    for (const WorkspaceId& id : { trials, mirrors }) {
        Workspace& workspace = governance->workspaces[id];
        workspace.id = id;
        workspace.tokensPerSecond = rate;
        workspace.burstTokens = burst;
    }
    return governance;
}

/** Adds seven VMs in three regions. */
inline void addDefaultVms(ShareFleet& fleet)
{
    for (const auto& [vm, region] :
        std::vector<std::pair<const char*, const char*>> { { "a1", "altiplano" }, { "a2", "altiplano" },
            { "a3", "altiplano" }, { "o1", "oriente" }, { "o2", "oriente" }, { "v1", "verapaz" }, { "v2", "verapaz" } })
        fleet.addVm(vm, region);
}

/** Returns settings with which an unlisted VM is proven dead after five seconds. */
inline ShareSettings makeSettings()
{
    ShareSettings settings;
    settings.unlistedGrace = Milliseconds::fromSeconds(5);
    return settings;
}

} // namespace papayashelf
