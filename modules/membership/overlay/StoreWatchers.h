#pragma once

#include "membership/messages/MembershipMessages.h"
#include <map>
#include <vector>

namespace papayashelf {

/** Number of VMs in each region that watch the store. With more than one, the store stays watched if one fails. */
constexpr std::size_t storeWatchersPerRegion = 2;

/**
    Selects the VMs of a region that watch the store on behalf of all its VMs, according to this member table.

    Each VM calls this with its own table and watches the store if it is selected. Tables that differ for a while cause
    only a few extra calls to the store. Thread safety: any thread.

    @returns at most storeWatchersPerRegion Live members of the region, best first
*/
std::vector<VmId> selectStoreWatchers(const std::map<VmId, Member>& members, const RegionId& region);

/** Returns whether this VM is one of its region's store watchers. Thread safety: any thread. */
bool isStoreWatcher(const std::map<VmId, Member>& members, const Member& self);

} // namespace papayashelf
