#pragma once

#include "foundation/identity/Identifier.h"
#include "foundation/time/Clock.h"
#include "model/governance/Governance.h"
#include <cstdint>
#include <variant>
#include <vector>

namespace papayashelf {

/** Asks where a request that entered the system at this VM can be sent now. */
struct RoutingQuery {
    WorkspaceId workspace; /**< Empty only on public routes. */
    ServiceId service;
    std::int64_t promptTokens = 0;
    std::int64_t maximumTokens = 0; /**< Maximum number of output tokens. */
    std::vector<std::uint64_t> prefixHashes; /**< Hashes of the prompt's prefixes, shortest prefix first. */
    Milliseconds queueWait; /**< Expected wait in this VM's queue before the request can start in this region. */
    std::vector<UpstreamId> triedUpstreams; /**< Skipped while another upstream can take the request. */
    std::vector<RegionId> triedRegions; /**< Other regions that must not be tried again. */

    bool operator==(const RoutingQuery&) const = default;
};

/** Asks the same for a request that a VM of another region relayed; it can only go to upstreams of this region. */
struct RelayedQuery {
    RoutingQuery query;

    bool operator==(const RelayedQuery&) const = default;
};

/** Sends the request to this upstream of this VM's region. */
struct UpstreamChoice {
    UpstreamId upstream;
    ServiceId service;
    Endpoint endpoint;
    ServiceKind kind = ServiceKind::PlainService;

    bool operator==(const UpstreamChoice&) const = default;
};

/** Relays the request to this VM of another region. */
struct RegionChoice {
    RegionId region;
    ServiceId service;
    VmId vm;
    Endpoint endpoint; /**< The VM's peer endpoint. */
    ServiceKind kind = ServiceKind::PlainService;
    std::int64_t bytes = 0; /**< Bytes expected to cross the link. */

    bool operator==(const RegionChoice&) const = default;
};

/** Why a request cannot be sent anywhere now. */
enum class NoChoiceReason {
    OutsideResidency, /**< This region may not process the workspace's data. */
    NoUpstream, /**< No usable upstream exists. */
    Busy, /**< Usable upstreams exist, but none has capacity now. */
};

/** The request cannot be sent anywhere now. */
struct NoChoice {
    NoChoiceReason reason = NoChoiceReason::NoUpstream;

    bool operator==(const NoChoice&) const = default;
};

/** The result for a request that entered at this VM. */
using RoutingChoice = std::variant<UpstreamChoice, RegionChoice, NoChoice>;
/** The result for a relayed request. */
using RelayedChoice = std::variant<UpstreamChoice, NoChoice>;

/** What an ended attempt indicates about the upstream or VM that it was sent to. */
enum class AttemptSignal {
    Answered, /**< It is healthy. */
    Failed, /**< It was unreachable, ended the answer early, or stopped responding. */
    Busy, /**< It rejected the request for lack of capacity. */
    Cancelled, /**< The attempt gives no information. */
};

} // namespace papayashelf
