#pragma once

#include "membership/messages/MembershipMessages.h"
#include "model/governance/Governance.h"
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace papayashelf {

/** Event counts since the start of this process. */
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
    std::map<std::string, std::uint64_t> refusals; /**< Number of refusals by stable code. */

    bool operator==(const NodeCounters&) const = default;
};

/** The VMs that own each workspace's tokens, those of this VM's region first. */
using OwnersByWorkspace = std::map<WorkspaceId, std::vector<VmId>>;

/** The state of a VM for operators and callers. It is taken between two events and then shared as const. */
struct NodeSnapshot {
    Member self;
    bool isReady = false; /**< Whether it holds a complete validated revision. */
    bool isLeaving = false;
    RevisionNumber revision = 0;
    std::string revisionDigest;
    bool isRevisionAdoptedEverywhere = false; /**< Whether every VM is known to have had this revision in force. */
    std::string revisionSource; /**< Source of the revision in force: "store" or the id of the VM that sent it. */
    std::uint64_t shareEpoch = 0;
    std::size_t ownedWorkspaces = 0;
    std::size_t withdrawals = 0;
    std::size_t requests = 0; /**< Number of requests in progress. */
    std::size_t waitingForShares = 0; /**< Number of requests that wait for their tokens to be reserved. */
    std::vector<Member> members;
    std::vector<VmId> neighbours;
    std::vector<Upstream> watchedUpstreams;
    std::vector<UpstreamId> ejectedUpstreams;
    std::shared_ptr<const Governance> governance; /**< Null until ready. */
    std::shared_ptr<const OwnersByWorkspace> owners;
    NodeCounters counters;
};

} // namespace papayashelf
