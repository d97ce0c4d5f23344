#include "membership/overlay/NeighbourRings.h"

#include "foundation/hashing/StableHash.h"

#include <algorithm>
#include <cassert>
#include <limits>

namespace papayashelf {

namespace {

constexpr std::size_t domainRing = 0;
constexpr std::size_t regionRing = 1;

/** The nearest members on both sides of a position in one ring. */
struct NearestInRing {
    const VmId* successor = nullptr;
    const VmId* predecessor = nullptr;
    std::uint64_t successorDistance = std::numeric_limits<std::uint64_t>::max();
    std::uint64_t predecessorDistance = std::numeric_limits<std::uint64_t>::max();

    void consider(const VmId& vm, std::uint64_t clockwiseDistance)
    {
        if (!this->successor || clockwiseDistance < this->successorDistance) {
            this->successor = &vm;
            this->successorDistance = clockwiseDistance;
        }
        const std::uint64_t counterDistance = std::uint64_t { 0 } - clockwiseDistance;
        if (!this->predecessor || counterDistance < this->predecessorDistance) {
            this->predecessor = &vm;
            this->predecessorDistance = counterDistance;
        }
    }
};

bool areInSameRing(std::size_t ring, const Member& member, const Member& other)
{
    if (ring == domainRing)
        return member.region == other.region && member.domain == other.domain;
    if (ring == regionRing)
        return member.region == other.region;
    return true;
}

} // namespace

std::vector<VmId> NeighbourRings::computeNeighbours(const VmId& vm, const std::map<VmId, Member>& members)
{
    const auto found = members.find(vm);
    assert(found != members.end());
    if (this->cachedPositions.size() > members.size() * 2)
        this->cachedPositions.clear();
    const Positions ownPositions = this->findPositions(vm);

    std::array<NearestInRing, neighbourRingCount> nearest;
    for (const auto& [other, member] : members) {
        if (member.state == MemberState::Gone || other == vm)
            continue;
        const Positions& otherPositions = this->findPositions(other);
        for (std::size_t ring = 0; ring < neighbourRingCount; ++ring) {
            if (areInSameRing(ring, found->second, member))
                nearest[ring].consider(other, otherPositions[ring] - ownPositions[ring]);
        }
    }
    std::vector<VmId> neighbours;
    for (const NearestInRing& ring : nearest) {
        if (ring.successor)
            neighbours.insert(neighbours.end(), { *ring.successor, *ring.predecessor });
    }
    std::sort(neighbours.begin(), neighbours.end());
    neighbours.erase(std::unique(neighbours.begin(), neighbours.end()), neighbours.end());
    return neighbours;
}

const NeighbourRings::Positions& NeighbourRings::findPositions(const VmId& vm)
{
    const auto [found, isNew] = this->cachedPositions.try_emplace(vm);
    if (isNew) {
        for (std::size_t ring = 0; ring < neighbourRingCount; ++ring)
            found->second[ring] = stableHash(vm.string(), ring);
    }
    return found->second;
}

} // namespace papayashelf
