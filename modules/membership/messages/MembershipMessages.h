#pragma once

#include "foundation/identity/Identifier.h"
#include "model/documents/Document.h"
#include <cstdint>
#include <string>
#include <vector>

namespace papayashelf {

/** The state of a member as one VM sees it. */
enum class MemberState {
    Live, /**< Running and available for new work. */
    Suspect, /**< A neighbour receives no heartbeats from it; it stays in use until it is Gone. */
    Leaving, /**< Shutting down gracefully: it finishes its work and accepts nothing new. */
    Gone, /**< Stopped or unreachable, and no longer in use. */
};

/** One incarnation of a VM of the system. */
struct Member {
    VmId vm;
    Incarnation incarnation = 0;
    std::uint64_t refutation = 0; /**< Incremented by the VM itself to refute a false report about it. */
    MemberState state = MemberState::Live;
    RegionId region;
    FailureDomainId domain;
    Endpoint peerEndpoint; /**< The endpoint for other VMs. */
    Endpoint entryEndpoint; /**< The endpoint for callers. */

    bool operator==(const Member&) const = default;
};

/** A VM's periodic message to its neighbours. Its digests let each side detect that it is behind. */
struct Heartbeat {
    VmId vm;
    Incarnation incarnation = 0;
    std::uint64_t sequence = 0; /**< Number of this heartbeat within the incarnation. */
    bool isReply = false;
    RevisionNumber revision = 0; /**< The revision in force at the sender. */
    std::uint64_t membersDigest = 0; /**< Hash of the sender's whole member table. */
    std::uint64_t withdrawalsDigest = 0; /**< Hash of the sender's set of withdrawn keys. */
    std::uint64_t shareEpoch = 0; /**< The share epoch that the sender has adopted for its region. */
    std::string adopters; /**< Bitmap of VMs known to have adopted the revision, over the table of membersDigest. */

    bool operator==(const Heartbeat&) const = default;
};

/** Membership updates, or queries in the form of Suspect members. */
struct MemberNews {
    std::vector<Member> members;
    bool isWholeTable = false; /**< Set for a whole table or a join request; the answer adds the members it lacks. */

    bool operator==(const MemberNews&) const = default;
};

} // namespace papayashelf
