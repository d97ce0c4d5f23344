#pragma once

#include "foundation/identity/Identifier.h"
#include "foundation/time/Clock.h"
#include "model/governance/Governance.h"
#include <cstdint>
#include <variant>
#include <vector>

namespace papayashelf {

/** Asks where a request that entered the system at this VM may go now. */
struct RoutingQuery {
    WorkspaceId workspace; /**< Empty only on routes open to all. */
    ServiceId service;
    std::int64_t promptTokens = 0;
    std::int64_t maximumTokens = 0;
    std::vector<std::uint64_t> prefixHashes; /**< Shortest prefix first. */
    Milliseconds queueWait; /**< Wait expected in this VM's queue before it could start in this region. */
    std::vector<UpstreamId> triedUpstreams; /**< Passed over while another one can take it. */
    std::vector<RegionId> triedRegions; /**< Other regions that are not tried again. */

    bool operator==(const RoutingQuery&) const = default;
};

/** Asks the same for a request that another region's VM relayed here: it can only go to upstreams of this region. */
struct RelayedQuery {
    RoutingQuery query;

    bool operator==(const RelayedQuery&) const = default;
};

/** Send it to this upstream, which is in this VM's region. */
struct UpstreamChoice {
    UpstreamId upstream;
    ServiceId service;
    Endpoint endpoint;
    ServiceKind kind = ServiceKind::PlainService;

    bool operator==(const UpstreamChoice&) const = default;
};

/** Relay it to this VM of another region. */
struct RegionChoice {
    RegionId region;
    ServiceId service;
    VmId vm;
    Endpoint endpoint; /**< The VM's peer endpoint. */
    ServiceKind kind = ServiceKind::PlainService;
    std::int64_t bytes = 0; /**< What is expected to cross the link. */

    bool operator==(const RegionChoice&) const = default;
};

enum class NoChoiceReason {
    OutsideResidency, /**< This region may not process the workspace's data. */
    NoUpstream, /**< No upstream that may take it is there. */
    Busy, /**< There are some, but none has room now. */
};

/** It can go nowhere now. */
struct NoChoice {
    NoChoiceReason reason = NoChoiceReason::NoUpstream;

    bool operator==(const NoChoice&) const = default;
};

using RoutingChoice = std::variant<UpstreamChoice, RegionChoice, NoChoice>;
using RelayedChoice = std::variant<UpstreamChoice, NoChoice>;

/** What an ended attempt says about the upstream or VM that had it. */
enum class AttemptSignal {
    Answered, /**< It works. */
    Failed, /**< It could not be reached, broke off, or went silent. */
    Busy, /**< It refused for lack of room. */
    Cancelled, /**< Nothing. */
};

} // namespace papayashelf
