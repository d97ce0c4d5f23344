#pragma once

#include "membership/messages/MembershipMessages.h"
#include <array>
#include <cstdint>
#include <map>
#include <unordered_map>
#include <vector>

namespace papayashelf {

/** Rings in which each VM has a successor and a predecessor. */
constexpr std::size_t neighbourRingCount = 4;

/** The most neighbours that a VM can have. */
constexpr std::size_t maximumNeighbours = neighbourRingCount * 2;

/**
    Who watches whom: every VM computes the same rings from its member table, so nobody is elected.

    Ring j orders the members that are not Gone by a hash of their id and j. Ring 0 joins a failure domain, ring 1 a
    region, the others all VMs. The relation is symmetric. Thread safety: none; owned by one thread.
*/
class NeighbourRings {
public:
    /**
        The neighbours of one member of the table, sorted, without itself.

        @param members  by id; the VM must be in it
    */
    std::vector<VmId> neighboursOf(const VmId& vm, const std::map<VmId, Member>& members);

private:
    using Places = std::array<std::uint64_t, neighbourRingCount>;

    const Places& placesOf(const VmId& vm);

    std::unordered_map<VmId, Places> places; // A cache; dropped when it outgrows the table.
};

} // namespace papayashelf
