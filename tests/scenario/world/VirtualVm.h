#pragma once

#include "node/node.h"
#include <deque>
#include <functional>
#include <memory>
#include <optional>

namespace papayashelf {

/** Where an attempt of an exchange is under way. */
struct AttemptPlace {
    UpstreamId upstream; /**< Empty for a relay. */
    std::uint64_t job = 0;
    VmId relayVm;
    RequestId relayRequest = 0; /**< 0 until it has arrived there. */
    bool hasEnded = false;
};

/** Which attempt of which VM a relayed request serves. */
struct RelayOrigin {
    VmId vm;
    std::uint64_t life = 0;
    RequestId request = 0;
    std::uint32_t attempt = 0;
};

/** One request on one VM. */
struct VirtualExchange {
    std::uint64_t world = 0;
    RequestArrival arrival;
    std::optional<RelayOrigin> origin;
    std::map<std::uint32_t, AttemptPlace> attempts;
    std::int64_t delivered = 0; /**< Tokens that its caller has. */
    bool hasBegun = false;
};

/** One VM: its process, which may be paused or gone, and what is under way on it. */
struct VirtualVm {
    VmRecord record;
    std::unique_ptr<Node> node; /**< Null while there is no process. */
    std::uint64_t life = 0; /**< Counts its processes. */
    Milliseconds clockOffset; /**< Its monotonic clock against virtual time. */
    bool isPaused = false;
    bool isStopping = false;
    std::deque<NodeEvent> heldEvents; /**< Arrived while it was paused. */
    Milliseconds wakeAt = Milliseconds::never();
    std::uint64_t seenEvents = 0; /**< Of its time line. */
    std::map<RequestId, VirtualExchange> exchanges;

    bool isRunning() const { return this->node != nullptr; }
};

} // namespace papayashelf
