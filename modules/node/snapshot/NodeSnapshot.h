#pragma once

#include "membership/messages/MembershipMessages.h"
#include "model/governance/Governance.h"
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace papayashelf {

/** Counts since this process started. */
struct NodeCounters {
    std::uint64_t arrived = 0;
    std::uint64_t admitted = 0;
    std::uint64_t finished = 0;
    std::uint64_t refused = 0;
    std::uint64_t relayedOut = 0;
    std::uint64_t relayedIn = 0;
    std::uint64_t peerMessagesIn = 0;
    std::uint64_t peerMessagesOut = 0;
    std::uint64_t storeCalls = 0;
    std::map<std::string, std::uint64_t> refusals; /**< By stable code. */

    bool operator==(const NodeCounters&) const = default;
};

/** Which VMs own a workspace's tokens, the own region's first. */
using OwnersByWorkspace = std::map<WorkspaceId, std::vector<VmId>>;

/** What a VM shows of itself to operators and callers; taken between two events, then shared as const. */
struct NodeSnapshot {
    Member self;
    bool isReady = false; /**< Whether it holds a whole checked revision. */
    bool isLeaving = false;
    RevisionNumber revision = 0;
    std::string revisionDigest;
    bool isRevisionAdoptedEverywhere = false; /**< Whether every VM is known to have had it in force. */
    std::string revisionSource; /**< Where the revision in force came from. */
    std::uint64_t shareEpoch = 0;
    std::size_t ownedWorkspaces = 0;
    std::size_t withdrawals = 0;
    std::size_t requests = 0; /**< Under way. */
    std::size_t waitingForShares = 0;
    std::vector<Member> members;
    std::vector<VmId> neighbours;
    std::vector<Upstream> watchedUpstreams;
    std::vector<UpstreamId> ejectedUpstreams;
    std::shared_ptr<const Governance> governance; /**< Null until ready. */
    std::shared_ptr<const OwnersByWorkspace> owners;
    NodeCounters counters;
};

} // namespace papayashelf
