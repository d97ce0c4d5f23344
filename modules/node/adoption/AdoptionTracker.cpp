#include "node/adoption/AdoptionTracker.h"

#include <algorithm>

namespace papayashelf {

namespace {

constexpr std::size_t bitsPerByte = 8;

} // namespace

void AdoptionTracker::follow(RevisionNumber newRevision, const Member& self)
{
    this->revision = newRevision;
    this->adopters = { { self.vm, self.incarnation } };
}

void AdoptionTracker::note(const VmId& vm, Incarnation incarnation, RevisionNumber adopted)
{
    if (adopted == this->revision && adopted != 0)
        this->adopters.emplace(vm, incarnation);
}

std::string AdoptionTracker::encode(const std::map<VmId, Member>& members) const
{
    std::string bitmap;
    std::size_t place = 0;
    for (const auto& [vm, member] : members) {
        if (member.state == MemberState::Gone)
            continue;
        if (place % bitsPerByte == 0)
            bitmap.push_back(0);
        if (this->adopters.count({ vm, member.incarnation }) > 0)
            bitmap.back() = static_cast<char>(bitmap.back() | (1U << (place % bitsPerByte)));
        ++place;
    }
    return bitmap;
}

void AdoptionTracker::join(const std::string& bitmap, const std::map<VmId, Member>& members)
{
    std::size_t place = 0;
    for (const auto& [vm, member] : members) {
        if (member.state == MemberState::Gone)
            continue;
        const std::size_t byte = place / bitsPerByte;
        const bool isSet
            = byte < bitmap.size() && (static_cast<unsigned char>(bitmap[byte]) & (1U << (place % bitsPerByte))) != 0;
        if (isSet)
            this->adopters.emplace(vm, member.incarnation);
        ++place;
    }
}

bool AdoptionTracker::isEverywhere(const std::map<VmId, Member>& members, const std::set<VmId>& listed) const
{
    if (this->revision == 0)
        return false;
    const bool areListedKnown
        = std::all_of(listed.begin(), listed.end(), [&](const VmId& vm) { return members.count(vm) > 0; });
    return areListedKnown && std::all_of(members.begin(), members.end(), [&](const auto& entry) {
        const auto& [vm, member] = entry;
        // A VM that is Gone and no longer listed has ended; one that is still listed may only be cut off.
        const bool hasEnded = member.state == MemberState::Gone && listed.count(vm) == 0;
        return hasEnded || this->adopters.count({ vm, member.incarnation }) > 0;
    });
}

} // namespace papayashelf
