#pragma once

#include "foundation/identity/Identifier.h"
#include "model/documents/Document.h"
#include <cstdint>
#include <string>
#include <vector>

namespace papayashelf {

enum class MemberState {
    Live,
    Suspect, /**< Not heard from by a neighbour; still used until it is Gone. */
    Leaving, /**< Stopping in order: finishes what it has, takes nothing new. */
    Gone,
};

/** One VM of the system in one of its lives. */
struct Member {
    VmId vm;
    Incarnation incarnation = 0;
    std::uint64_t refutation = 0; /**< Raised by the VM itself to answer a false suspicion. */
    MemberState state = MemberState::Live;
    RegionId region;
    FailureDomainId domain;
    Endpoint peerEndpoint; /**< Where the other VMs reach it. */
    Endpoint entryEndpoint; /**< Where callers reach it. */

    bool operator==(const Member&) const = default;
};

/** What a VM tells its neighbours each period; a digest by which either side notices that it is behind. */
struct Heartbeat {
    VmId vm;
    Incarnation incarnation = 0;
    std::uint64_t sequence = 0; /**< Counts heartbeats of this incarnation. */
    bool isReply = false;
    RevisionNumber revision = 0; /**< The revision in force at the sender. */
    std::uint64_t membersDigest = 0; /**< Hash of the sender's whole member table. */
    std::uint64_t withdrawalsDigest = 0; /**< Hash of the sender's set of withdrawn keys. */
    std::uint64_t shareEpoch = 0; /**< The share epoch of its region that the sender has adopted. */
    std::string adopters; /**< Bitmap of VMs known to have had the revision, over the table of membersDigest. */

    bool operator==(const Heartbeat&) const = default;
};

/** News about members; with isWholeTable the answer to a differing digest. */
struct MemberNews {
    std::vector<Member> members;
    bool isWholeTable = false;

    bool operator==(const MemberNews&) const = default;
};

} // namespace papayashelf
