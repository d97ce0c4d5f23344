#pragma once

#include "foundation/identity/Addressed.h"
#include "foundation/time/Clock.h"
#include "membership/MembershipSettings.h"
#include "membership/detection/LinkMonitor.h"
#include "membership/messages/MembershipMessages.h"
#include "membership/overlay/NeighbourRings.h"
#include "membership/table/MemberTable.h"
#include "platform/vms/VmRecord.h"
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace papayashelf {

using MembershipMessage = std::variant<Heartbeat, MemberNews>;

/** A replaced entry of the member table; before.vm is empty if the VM was unknown. */
struct MemberChange {
    Member before;
    Member after;

    bool operator==(const MemberChange&) const = default;
};

/** The messages for the runtime to send, and the changes to the member table. */
struct MembershipOutput {
    std::vector<Addressed<MembershipMessage>> sends;
    std::vector<MemberChange> changes;
};

/** The state of the VM's other modules that each heartbeat carries. */
struct HeartbeatStatus {
    RevisionNumber revision = 0;
    std::uint64_t withdrawalsDigest = 0;
    std::uint64_t shareEpoch = 0;
    std::string adopters {}; /**< Bitmap of VMs known to have adopted the revision. */

    bool operator==(const HeartbeatStatus&) const = default;
};

/**
    One VM's part in the membership protocol: its view of all VMs, failure detection and the spreading of changes.

    docs/MEMBERSHIP.md gives the design. Thread safety: none; owned by one thread. No call fails; later messages
    compensate for a lost one.
*/
class Membership {
public:
    /**
        Creates the membership of one VM, which knows only itself at first.

        @param self  this VM with its endpoints; its incarnation must be larger than every earlier one of the VM
        @param seed  random seed, by which the heartbeats and probes of different VMs are spread over time
    */
    Membership(const Member& self, const MembershipSettings& settings, std::uint64_t seed);

    /** Sets the status that the next heartbeats carry. */
    void setHeartbeatStatus(const HeartbeatStatus& heartbeatStatus) { this->heartbeatStatus = heartbeatStatus; }

    /**
        Replaces the platform's list of VMs and the seeds.

        @param seeds  VMs to contact, with their peer endpoints, from the list, the settings or both; the other fields
                      of each member may be empty
    */
    MembershipOutput handleVmList(Milliseconds now, const VmList& list, const std::vector<Member>& seeds);

    /**
        Processes a received heartbeat. One of an earlier incarnation, or of a VM that is Gone in this table, is
        answered with the held entry and otherwise ignored.
    */
    MembershipOutput handleHeartbeat(Milliseconds now, const Heartbeat& heartbeat, const VmId& from);

    /** Processes received news: updates about members, or queries about Suspect ones. */
    MembershipOutput handleNews(Milliseconds now, const MemberNews& news, const VmId& from);

    /**
        Runs the timers that are due. Call at getNextDeadline() or earlier; a call that is suspectAfter or more after
        the last one is treated as a pause of this VM.
    */
    MembershipOutput tick(Milliseconds now);

    /** Announces that this VM accepts no new work. It continues to send heartbeats until depart(). */
    MembershipOutput leave(Milliseconds now);

    /** Announces that this VM stops now. This must be the last call before the process ends. */
    MembershipOutput depart(Milliseconds now);

    /** Returns every known VM, including this one and the Gone ones that are still kept. */
    const std::map<VmId, Member>& getMembers() const { return this->table.getMembers(); }

    /** Returns the hash of the member table that heartbeats carry. */
    std::uint64_t getMembersDigest() const { return this->table.getDigest(); }

    /** Returns the VMs that this one exchanges heartbeats with, sorted. */
    const std::vector<VmId>& getNeighbours() const { return this->neighbours; }

    /** Returns the status in a neighbour's last heartbeat, or nothing for other VMs. */
    std::optional<HeartbeatStatus> getNeighbourStatus(const VmId& vm) const;

    /** Returns this VM's own entry. */
    const Member& getSelf() const;

    /** Returns whether the platform lists the VM. */
    bool isInVmList(const VmId& vm) const { return this->listedVms.count(vm) > 0; }

    /** Returns the peer endpoint of a member or a seed, or nothing for unknown VMs. */
    std::optional<Endpoint> findPeerEndpoint(const VmId& vm) const;

    /** Returns whether a later incarnation of this VM exists; this process must then stop. */
    bool isReplaced() const { return this->hasNewerIncarnation; }

    /** Returns the time at which tick() is due next, or never after depart(). */
    Milliseconds getNextDeadline() const;

private:
    /** A report that a VM is Gone, which the VM can refute until acceptAt. */
    struct GoneReport {
        Member member;
        Milliseconds acceptAt;
    };

    /** The exchange of whole tables with one VM, which starts after several differing digests in a row. */
    struct TableExchange {
        int consecutiveDifferences = 0;
        std::optional<Milliseconds> sentAt;
    };

    void detectOwnPause(Milliseconds now);
    void sendHeartbeats(MembershipOutput& output);
    void assessNeighbours(Milliseconds now, MembershipOutput& output);
    void assessNeighbour(Milliseconds now, const VmId& vm, MembershipOutput& output);
    bool mayDeclareGone(Milliseconds now, const VmId& vm, const std::vector<VmId>& others) const;
    void queryOthersAbout(const Member& member, std::vector<VmId> others, bool isSuspect, MembershipOutput& output);
    void announceSelfTo(const VmId& vm, MembershipOutput& output) const;
    void sendJoinRequests(MembershipOutput& output);
    void sendProbe(MembershipOutput& output);
    void acceptGoneReports(Milliseconds now, MembershipOutput& output);
    void removeExpiredMembers(Milliseconds now);
    void flush(MembershipOutput& output);

    void applyNews(Milliseconds now, const Member& member, bool isWholeTable, const VmId& from,
        std::map<VmId, Member>& answer, MembershipOutput& output);
    void applyNewsAboutSelf(
        Milliseconds now, const Member& member, std::map<VmId, Member>& answer, MembershipOutput& output);
    void answerQuery(Milliseconds now, const Member& member, const VmId& from, std::map<VmId, Member>& answer);
    void applyGoneReport(Milliseconds now, const Member& member, const Member& held, MembershipOutput& output);
    void addMissingMembers(const MemberNews& news, std::map<VmId, Member>& answer) const;
    void compareDigest(Milliseconds now, std::uint64_t theirDigest, const VmId& from, MembershipOutput& output);

    void replaceMember(Milliseconds now, const Member& member, MembershipOutput& output);
    void queueNews(Milliseconds now, const VmId& vm);
    void updateNeighbours(Milliseconds now, MembershipOutput& output);
    void clearSuspicionsOfNonNeighbours(Milliseconds now, MembershipOutput& output);

    VmId selfId;
    MembershipSettings settings;
    std::mt19937_64 random;
    MemberTable table;
    NeighbourRings rings;
    LinkMonitor links;
    std::vector<VmId> neighbours;
    HeartbeatStatus heartbeatStatus;
    std::map<VmId, HeartbeatStatus> statusByNeighbour;
    std::map<VmId, TableExchange> tableExchanges;
    std::map<VmId, GoneReport> goneReports;
    std::map<VmId, Milliseconds> goneSince;
    std::map<VmId, Member> seeds;
    std::set<VmId> listedVms;
    std::set<VmId> queuedNews;
    std::uint64_t sequence = 0;
    std::optional<Milliseconds> lastTick;
    Milliseconds nextHeartbeat;
    Milliseconds nextProbe;
    Milliseconds flushAt = Milliseconds::never();
    bool areNeighboursStale = false;
    bool hasJoined = false;
    bool hasDeparted = false;
    bool hasNewerIncarnation = false;
};

} // namespace papayashelf
