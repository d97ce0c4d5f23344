#include "membership/overlay/StoreWatchers.h"

#include "foundation/hashing/StableHash.h"

#include <algorithm>

namespace papayashelf {

std::vector<VmId> selectStoreWatchers(const std::map<VmId, Member>& members, const RegionId& region)
{
    std::vector<VmId> candidates;
    std::vector<std::uint64_t> hashes;
    for (const auto& [vm, member] : members) {
        if (member.region != region || member.state != MemberState::Live)
            continue;
        candidates.push_back(vm);
        hashes.push_back(stableHash(vm.string()));
    }
    std::vector<VmId> watchers;
    const std::uint64_t key = stableHash("store watchers of " + region.string());
    for (const std::size_t index : rendezvousOrder(key, hashes, storeWatchersPerRegion))
        watchers.push_back(candidates[index]);
    return watchers;
}

bool isStoreWatcher(const std::map<VmId, Member>& members, const Member& self)
{
    const std::vector<VmId> watchers = selectStoreWatchers(members, self.region);
    return std::find(watchers.begin(), watchers.end(), self.vm) != watchers.end();
}

} // namespace papayashelf
