#include "membership/table/MemberTable.h"

#include "foundation/hashing/StableHash.h"

#include <tuple>

namespace papayashelf {

namespace {

int rankOf(MemberState state)
{
    switch (state) {
    case MemberState::Live:
    case MemberState::Suspect:
        return 0;
    case MemberState::Leaving:
        return 1;
    case MemberState::Gone:
        return 2;
    }
    return 0;
}

std::uint64_t hashOf(const Member& member)
{
    if (member.state == MemberState::Gone)
        return 0;
    const std::uint64_t incarnationHash = combineHashes(member.incarnation, member.refutation);
    const auto rank = static_cast<std::uint64_t>(rankOf(member.state));
    return combineHashes(stableHash(member.vm.string()), combineHashes(incarnationHash, rank));
}

} // namespace

int compareRecency(const Member& left, const Member& right)
{
    const auto orderOf = [](const Member& member) {
        return std::make_tuple(member.incarnation, member.refutation, rankOf(member.state));
    };
    const auto leftOrder = orderOf(left);
    const auto rightOrder = orderOf(right);
    if (leftOrder == rightOrder)
        return 0;
    return leftOrder < rightOrder ? -1 : 1;
}

Member withoutSuspicion(Member member)
{
    if (member.state == MemberState::Suspect)
        member.state = MemberState::Live;
    return member;
}

const Member* MemberTable::find(const VmId& vm) const
{
    const auto found = this->members.find(vm);
    return found == this->members.end() ? nullptr : &found->second;
}

void MemberTable::set(const Member& member)
{
    Member& held = this->members[member.vm];
    if (!held.vm.isEmpty())
        this->digest ^= hashOf(held);
    held = member;
    this->digest ^= hashOf(held);
}

void MemberTable::remove(const VmId& vm)
{
    const auto found = this->members.find(vm);
    if (found == this->members.end())
        return;
    this->digest ^= hashOf(found->second);
    this->members.erase(found);
}

} // namespace papayashelf
