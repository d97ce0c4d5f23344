#pragma once

#include "membership/messages/MembershipMessages.h"
#include <map>
#include <set>
#include <string>
#include <utility>

namespace papayashelf {

/**
    Tracks which VMs have had the current revision in force, so that a limit is raised only once all of them have.

    Each heartbeat carries a bitmap over the sender's member table, with one bit per VM. VMs with the same table and the
    same revision merge their bitmaps, so all VMs are informed within a few heartbeats. The bitmap takes 40 bytes per
    heartbeat for 320 VMs.
    Thread safety: none; owned by one thread.
*/
class AdoptionTracker {
public:
    /** Starts tracking a revision and discards the adopters of earlier ones. */
    void startTracking(RevisionNumber revision, const Member& self);

    /** Returns the tracked revision; 0 for none. */
    RevisionNumber getRevision() const { return this->revision; }

    /** Records that a VM reported a revision as in force; ignored unless it is the tracked revision. */
    void recordAdoption(const VmId& vm, Incarnation incarnation, RevisionNumber adoptedRevision);

    /** Returns the bitmap for heartbeats: one bit for each member that is not Gone, ordered by id. */
    std::string encodeBitmap(const std::map<VmId, Member>& members) const;

    /** Merges another VM's bitmap. Precondition: it is for the tracked revision and an identical member table. */
    void mergeBitmap(const std::string& bitmap, const std::map<VmId, Member>& members);

    /**
        Returns whether every VM that may act on a revision is known to have had this one in force.

        @param listedVms  VMs of the system that the platform lists; a listed VM that is not in the member table may
                          act on a revision too, so it prevents full adoption
    */
    bool isAdoptedByAll(const std::map<VmId, Member>& members, const std::set<VmId>& listedVms) const;

private:
    RevisionNumber revision = 0;
    std::set<std::pair<VmId, Incarnation>> adopters;
};

} // namespace papayashelf
