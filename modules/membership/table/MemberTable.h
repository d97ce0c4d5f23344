#pragma once

#include "membership/messages/MembershipMessages.h"
#include <cstdint>
#include <map>
#include <vector>

namespace papayashelf {

/**
    Compares the recency of two entries for the same VM: by incarnation, then by refutation, then by state in the order
    Live, Leaving, Gone. Suspect counts as Live, since a suspicion is only the local view of one VM.

    @returns a negative value, 0 or a positive value if left is older than, as recent as, or newer than right
*/
int compareRecency(const Member& left, const Member& right);

/** Returns the entry as it is sent to other VMs, with Suspect replaced by Live. */
Member withoutSuspicion(Member member);

/**
    One VM's entries for all known VMs, including itself, with a digest that each change updates.

    The digest ignores suspicions, which are local, and Gone members, which VMs remove at different times.
    Thread safety: none; owned by one thread.
*/
class MemberTable {
public:
    /** Returns the entry of a VM, or null. It is valid until the VM is replaced or removed. */
    const Member* find(const VmId& vm) const;

    /** Returns every known VM by id. */
    const std::map<VmId, Member>& getMembers() const { return this->members; }

    /** Returns a hash of all members that are not Gone; equal tables have equal digests. */
    std::uint64_t getDigest() const { return this->digest; }

    /** Adds or overwrites an entry without comparing its recency. */
    void set(const Member& member);

    /** Removes a VM; an unknown one is ignored. */
    void remove(const VmId& vm);

private:
    std::map<VmId, Member> members;
    std::uint64_t digest = 0;
};

} // namespace papayashelf
