#pragma once

#include "membership/messages/MembershipMessages.h"
#include <map>
#include <vector>

namespace papayashelf {

/** VMs of each region that watch the store; more than one, so that one may fail unnoticed. */
constexpr std::size_t storeWatchersPerRegion = 2;

/**
    The VMs of a region that watch the store on everybody's behalf, as far as this member table goes.

    Each VM asks this of its own table and watches if it finds itself; tables that differ for a while cost a few more
    calls and nothing else. Thread safety: any thread.

    @returns at most storeWatchersPerRegion Live members of the region, best first
*/
std::vector<VmId> selectStoreWatchers(const std::map<VmId, Member>& members, const RegionId& region);

/** Whether this VM is one of its region's store watchers. Thread safety: any thread. */
bool isStoreWatcher(const std::map<VmId, Member>& members, const Member& self);

} // namespace papayashelf
