#pragma once

#include "foundation/hashing/StableHash.h"
#include "foundation/identity/Identifier.h"
#include <algorithm>
#include <vector>

namespace papayashelf {

/**
    Returns true if the VM is one of the `count` VMs that may use an upstream. Every VM that knows the same VMs computes
    the same choice. Any thread.
*/
inline bool isSelected(const VmId& vm, const UpstreamId& upstream, const std::vector<VmId>& vms, std::size_t count)
{
    if (count >= vms.size())
        return std::find(vms.begin(), vms.end(), vm) != vms.end();
    std::vector<std::uint64_t> hashes;
    hashes.reserve(vms.size());
    for (const VmId& candidate : vms)
        hashes.push_back(stableHash(candidate.string()));
    const std::vector<std::size_t> chosen = rendezvousOrder(stableHash(upstream.string()), hashes, count);
    return std::any_of(chosen.begin(), chosen.end(), [&](std::size_t index) { return vms[index] == vm; });
}

} // namespace papayashelf
