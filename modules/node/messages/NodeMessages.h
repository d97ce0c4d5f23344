#pragma once

#include "configuration/configuration.h"
#include "dispatch/dispatch.h"
#include "foundation/identity/Addressed.h"
#include "membership/membership.h"
#include "platform/platform.h"
#include "routing/messages/RoutingMessages.h"
#include "shares/shares.h"
#include <variant>
#include <vector>

namespace papayashelf {

/** How busy the sender's region is, a line for each of its services. */
struct RegionSummaries {
    std::vector<RegionSummary> summaries;

    bool operator==(const RegionSummaries&) const = default;
};

/** Everything that one VM may tell another outside of relayed requests. */
using PeerMessage = std::variant<MembershipMessage, ConfigurationMessage, ShareMessage, RegionSummaries>;

//======================================================================================================================
/** A message of another VM has arrived; its sender is proven by its certificate. */
struct PeerMessageArrived {
    VmId from;
    std::uint64_t logicalTime = 0;
    PeerMessage message;
};

/** The store, or whatever stands between, has answered a call. */
struct StoreReplyArrived {
    std::uint64_t call = 0;
    StoreReply reply;
};

/** The platform's list of VMs was just fetched. */
struct VmListArrived {
    VmList list;
};

/** An operator withdraws a key at this VM. */
struct WithdrawalRequested {
    KeyDigest key;
};

/** This VM is asked to stop in order. */
struct StopRequested { };

/** Everything that can happen to a VM. */
using NodeEvent = std::variant<RequestReport, PeerMessageArrived, StoreReplyArrived, VmListArrived, WithdrawalRequested,
    StopRequested>;

//======================================================================================================================
/** Everything that is to be done about it, in order within each list. */
struct NodeOutput {
    std::vector<Addressed<PeerMessage>> sends;
    std::vector<StoreCall> storeCalls;
    std::vector<RequestDirective> directives;
};

} // namespace papayashelf
