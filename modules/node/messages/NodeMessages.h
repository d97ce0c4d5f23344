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

/** The load of the sender's region, with one summary for each of its services. */
struct RegionSummaries {
    std::vector<RegionSummary> summaries;

    bool operator==(const RegionSummaries&) const = default;
};

/** Any message between two VMs, other than relayed requests. */
using PeerMessage = std::variant<MembershipMessage, ConfigurationMessage, ShareMessage, RegionSummaries>;

//======================================================================================================================
/** A message from another VM has arrived. The sender is authenticated by its certificate. */
struct PeerMessageArrived {
    VmId from;
    std::uint64_t logicalTime = 0;
    PeerMessage message;
};

/** The store, or a component between it and this VM, has answered a call. */
struct StoreReplyArrived {
    std::uint64_t call = 0;
    StoreReply reply;
};

/** The platform's list of VMs has been fetched. */
struct VmListArrived {
    VmList list;
};

/** An operator has withdrawn a key at this VM. */
struct WithdrawalRequested {
    KeyDigest key;
};

/** An orderly stop of this VM was requested. */
struct StopRequested { };

/** Any event that a node handles. */
using NodeEvent = std::variant<RequestReport, PeerMessageArrived, StoreReplyArrived, VmListArrived, WithdrawalRequested,
    StopRequested>;

//======================================================================================================================
/** The actions that result from an event, in order within each list. */
struct NodeOutput {
    std::vector<Addressed<PeerMessage>> sends;
    std::vector<StoreCall> storeCalls;
    std::vector<RequestDirective> directives;
};

} // namespace papayashelf
