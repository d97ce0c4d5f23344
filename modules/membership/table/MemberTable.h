#pragma once

#include "membership/messages/MembershipMessages.h"
#include <cstdint>
#include <map>
#include <vector>

namespace papayashelf {

/**
    How two statements about the same VM relate: a later incarnation wins, then a later refutation, then the state
    that is further on. Suspect counts as Live, since it is only ever one VM's own view.

    @returns negative, 0 or positive as left is older than, as new as, or newer than right
*/
int compareNews(const Member& left, const Member& right);

/** The statement as it is told to others: a VM's own suspicion is left out. */
Member withoutSuspicion(Member member);

/**
    What one VM knows of every VM, itself included, with a digest that is kept up to date.

    The digest leaves out suspicions and Gone members, which are forgotten at different times.
    Thread safety: none; owned by one thread.
*/
class MemberTable {
public:
    /** The statement about a VM, or null. Valid until the VM is replaced or removed. */
    const Member* find(const VmId& vm) const;

    /** Every known VM by id. */
    const std::map<VmId, Member>& getMembers() const { return this->members; }

    /** Hash over all members that are not Gone; equal tables have equal digests. */
    std::uint64_t getDigest() const { return this->digest; }

    /** Writes a statement over the one held, without comparing. */
    void set(const Member& member);

    /** Forgets a VM; unknown ones are ignored. */
    void remove(const VmId& vm);

private:
    std::map<VmId, Member> members;
    std::uint64_t digest = 0;
};

} // namespace papayashelf
