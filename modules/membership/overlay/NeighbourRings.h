#pragma once

#include "membership/messages/MembershipMessages.h"
#include <array>
#include <cstdint>
#include <map>
#include <unordered_map>
#include <vector>

namespace papayashelf {

/** Number of rings; a VM has a successor and a predecessor in each. */
constexpr std::size_t neighbourRingCount = 4;

/** Maximum number of neighbours of a VM. */
constexpr std::size_t maximumNeighbours = neighbourRingCount * 2;

/**
    Determines which VMs monitor each other. Every VM computes the same rings from its member table, so no election is
    needed.

    Ring j orders the members that are not Gone by a hash of their id and j. Ring 0 connects the VMs of a failure
    domain, ring 1 those of a region, and the other rings all VMs. The neighbour relation is symmetric. Thread safety:
    none; owned by one thread.
*/
class NeighbourRings {
public:
    /**
        Returns the neighbours of one member of the table, sorted, without the member itself.

        @param members  the member table by id; it must contain the VM
    */
    std::vector<VmId> computeNeighbours(const VmId& vm, const std::map<VmId, Member>& members);

private:
    using Positions = std::array<std::uint64_t, neighbourRingCount>;

    const Positions& findPositions(const VmId& vm);

    std::unordered_map<VmId, Positions> cachedPositions; // Cleared when it has over twice as many entries as the table.
};

} // namespace papayashelf
