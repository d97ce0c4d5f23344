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

/** One statement that took the place of another; before.vm is empty when the VM was unknown. */
struct MemberChange {
    Member before;
    Member after;

    bool operator==(const MemberChange&) const = default;
};

/** What the runtime is to send, and what changed in the table. */
struct MembershipOutput {
    std::vector<Addressed<MembershipMessage>> sends;
    std::vector<MemberChange> changes;
};

/** What the VM's other parts report in each heartbeat. */
struct HeartbeatStatus {
    RevisionNumber revision = 0;
    std::uint64_t withdrawalsDigest = 0;
    std::uint64_t shareEpoch = 0;
    std::string adopters {}; /**< Bitmap of VMs known to have had the revision. */

    bool operator==(const HeartbeatStatus&) const = default;
};

/**
    One VM's view of which VMs are there, and its part in keeping that view.

    docs/MEMBERSHIP.md gives the design. Thread safety: none; owned by one thread. No call fails; a lost message is
    made good by a later one.
*/
class Membership {
public:
    /**
        @param self  this VM in this life, with its endpoints; its incarnation is larger than in every earlier life
        @param seed  spreads heartbeats and probes of different VMs over time
    */
    Membership(const Member& self, const MembershipSettings& settings, std::uint64_t seed);

    /** Sets what the next heartbeats report. */
    void setHeartbeatStatus(const HeartbeatStatus& facts) { this->facts = facts; }

    /**
        Takes in the platform's list of VMs.

        @param seeds  VMs to make contact with, with their peer endpoints: from the list, the settings, or both; the
                      rest of each member may be left empty
    */
    MembershipOutput handleVmList(Milliseconds now, const VmList& list, const std::vector<Member>& seeds);

    /** A heartbeat came in. One of an earlier life, or of a VM held to be Gone, is answered and not counted. */
    MembershipOutput handleHeartbeat(Milliseconds now, const Heartbeat& heartbeat, const VmId& from);

    /** News came in: statements about members, or questions about Suspect ones. */
    MembershipOutput handleNews(Milliseconds now, const MemberNews& news, const VmId& from);

    /** Does what is due. Call at getNextDeadline() or sooner; a late call is taken as a pause of this VM. */
    MembershipOutput tick(Milliseconds now);

    /** Tells the others that this VM takes nothing new. It goes on sending heartbeats until depart(). */
    MembershipOutput leave(Milliseconds now);

    /** Tells the others that this VM stops now; the last call before its process ends. */
    MembershipOutput depart(Milliseconds now);

    /** Every known VM, this one included, Gone ones until they are forgotten. */
    const std::map<VmId, Member>& getMembers() const { return this->table.getMembers(); }

    /** Hash of the member table, as heartbeats carry it. */
    std::uint64_t getMembersDigest() const { return this->table.getDigest(); }

    /** The VMs that this one exchanges heartbeats with, sorted. */
    const std::vector<VmId>& getNeighbours() const { return this->neighbours; }

    /** What a neighbour last reported; nothing for other VMs. */
    std::optional<HeartbeatStatus> getFacts(const VmId& vm) const;

    const Member& getSelf() const;

    /** Whether the platform lists the VM. */
    bool isInVmList(const VmId& vm) const { return this->listed.count(vm) > 0; }

    /** Where a member or a seed is reached; nothing for VMs never heard of. */
    std::optional<Endpoint> findPeerEndpoint(const VmId& vm) const;

    /** Whether a later life of this VM was heard of; this process must then stop. */
    bool isReplaced() const { return this->replaced; }

    /** When tick() is due next. */
    Milliseconds getNextDeadline() const;

private:
    /** A VM said to be Gone, which may still deny it. */
    struct GoneReport {
        Member member;
        Milliseconds acceptAt;
    };

    /** How often a VM's digest differed in a row, and when it was last sent the whole table. */
    struct TableExchange {
        int differing = 0;
        std::optional<Milliseconds> sentAt;
    };

    void noteOwnPause(Milliseconds now);
    void sendHeartbeats(MembershipOutput& output);
    void assessNeighbours(Milliseconds now, MembershipOutput& output);
    void assessNeighbour(Milliseconds now, const VmId& vm, MembershipOutput& output);
    bool mayDeclareGone(Milliseconds now, const VmId& vm, const std::vector<VmId>& others) const;
    void askAbout(const Member& member, std::vector<VmId> others, bool isSuspect, MembershipOutput& output);
    void introduceTo(const VmId& vm, MembershipOutput& output) const;
    void sendJoins(MembershipOutput& output);
    void sendProbe(MembershipOutput& output);
    void acceptGoneReports(Milliseconds now, MembershipOutput& output);
    void forgetOldMembers(Milliseconds now);
    void flush(MembershipOutput& output);

    void takeNews(Milliseconds now, const Member& member, bool isWholeTable, const VmId& from,
        std::map<VmId, Member>& answer, MembershipOutput& output);
    void takeNewsOfSelf(
        Milliseconds now, const Member& member, std::map<VmId, Member>& answer, MembershipOutput& output);
    void takeQuestion(Milliseconds now, const Member& member, const VmId& from, std::map<VmId, Member>& answer);
    void takeGone(Milliseconds now, const Member& member, const Member& held, MembershipOutput& output);
    void addWhatIsMissing(const MemberNews& news, std::map<VmId, Member>& answer) const;
    void compareDigest(Milliseconds now, std::uint64_t theirs, const VmId& from, MembershipOutput& output);

    void replace(Milliseconds now, const Member& member, MembershipOutput& output);
    void queueNews(Milliseconds now, const VmId& vm);
    void updateNeighbours(Milliseconds now, MembershipOutput& output);
    void dropSuspicionsOfOthers(Milliseconds now, MembershipOutput& output);

    VmId selfId;
    MembershipSettings settings;
    std::mt19937_64 random;
    MemberTable table;
    NeighbourRings rings;
    LinkMonitor links;
    std::vector<VmId> neighbours;
    HeartbeatStatus facts;
    std::map<VmId, HeartbeatStatus> factsByNeighbour;
    std::map<VmId, TableExchange> exchanges;
    std::map<VmId, GoneReport> goneReports;
    std::map<VmId, Milliseconds> goneSince;
    std::map<VmId, Member> seeds;
    std::set<VmId> listed;
    std::set<VmId> queued;
    std::uint64_t sequence = 0;
    std::optional<Milliseconds> lastTick;
    Milliseconds nextHeartbeat;
    Milliseconds nextProbe;
    Milliseconds flushAt = Milliseconds::never();
    bool areNeighboursStale = false;
    bool joined = false;
    bool departed = false;
    bool replaced = false;
};

} // namespace papayashelf
