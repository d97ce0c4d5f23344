#pragma once

#include "membership/messages/MembershipMessages.h"
#include <map>
#include <set>
#include <string>
#include <utility>

namespace papayashelf {

/**
    Learns which VMs have had the revision in force, so that a limit may rise once all of them have.

    Each heartbeat carries a bitmap over the sender's member table, one bit a VM. Two VMs with the same table and the
    same revision join their bitmaps, so all of them know within a few heartbeats, at 40 bytes a heartbeat for 320 VMs.
    Thread safety: none; owned by one thread.
*/
class AdoptionTracker {
public:
    /** Begins to follow a revision; what was known of earlier ones is dropped. */
    void follow(RevisionNumber revision, const Member& self);

    /** The revision that is followed; 0 for none. */
    RevisionNumber getRevision() const { return this->revision; }

    /** A VM says by itself that it has a revision in force; others than the followed one are ignored. */
    void note(const VmId& vm, Incarnation incarnation, RevisionNumber adopted);

    /** The bitmap for heartbeats: a bit for each member that is not Gone, in the order of ids. */
    std::string encode(const std::map<VmId, Member>& members) const;

    /** Joins another VM's bitmap. Precondition: it is of the followed revision and of a table equal to this one. */
    void join(const std::string& bitmap, const std::map<VmId, Member>& members);

    /**
        Whether every VM that may act on a revision is known to have had this one in force.

        @param listed  VMs of the system that the platform lists; one that it lists and that is not known may act too
    */
    bool isEverywhere(const std::map<VmId, Member>& members, const std::set<VmId>& listed) const;

private:
    RevisionNumber revision = 0;
    std::set<std::pair<VmId, Incarnation>> adopters;
};

} // namespace papayashelf
