#include "node/adoption/AdoptionTracker.h"

#include <algorithm>

namespace papayashelf {

namespace {

constexpr std::size_t bitsPerByte = 8;

} // namespace

void AdoptionTracker::startTracking(RevisionNumber revisionToTrack, const Member& self)
{
    this->revision = revisionToTrack;
    this->adopters = { { self.vm, self.incarnation } };
}

void AdoptionTracker::recordAdoption(const VmId& vm, Incarnation incarnation, RevisionNumber adoptedRevision)
{
    if (adoptedRevision == this->revision && adoptedRevision != 0)
        this->adopters.emplace(vm, incarnation);
}

std::string AdoptionTracker::encodeBitmap(const std::map<VmId, Member>& members) const
{
    std::string bitmap;
    std::size_t bitIndex = 0;
    for (const auto& [vm, member] : members) {
        if (member.state == MemberState::Gone)
            continue;
        if (bitIndex % bitsPerByte == 0)
            bitmap.push_back(0);
        if (this->adopters.count({ vm, member.incarnation }) > 0)
            bitmap.back() = static_cast<char>(bitmap.back() | (1U << (bitIndex % bitsPerByte)));
        ++bitIndex;
    }
    return bitmap;
}

void AdoptionTracker::mergeBitmap(const std::string& bitmap, const std::map<VmId, Member>& members)
{
    std::size_t bitIndex = 0;
    for (const auto& [vm, member] : members) {
        if (member.state == MemberState::Gone)
            continue;
        const std::size_t byte = bitIndex / bitsPerByte;
        const bool isSet = byte < bitmap.size()
            && (static_cast<unsigned char>(bitmap[byte]) & (1U << (bitIndex % bitsPerByte))) != 0;
        if (isSet)
            this->adopters.emplace(vm, member.incarnation);
        ++bitIndex;
    }
}

bool AdoptionTracker::isAdoptedByAll(const std::map<VmId, Member>& members, const std::set<VmId>& listedVms) const
{
    if (this->revision == 0)
        return false;
    const bool areListedKnown
        = std::all_of(listedVms.begin(), listedVms.end(), [&](const VmId& vm) { return members.count(vm) > 0; });
    return areListedKnown && std::all_of(members.begin(), members.end(), [&](const auto& entry) {
        const auto& [vm, member] = entry;
        // A Gone VM that the platform no longer lists has ended; one that is still listed may just be unreachable.
        const bool hasEnded = member.state == MemberState::Gone && listedVms.count(vm) == 0;
        return hasEnded || this->adopters.count({ vm, member.incarnation }) > 0;
    });
}

} // namespace papayashelf
