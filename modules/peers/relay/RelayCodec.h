#pragma once

#include "entrance/relay/RelayTransport.h"
#include "foundation/outcomes/Outcome.h"
#include <peers/peers.pb.h>

namespace papayashelf {

/** Maximum size of an answer body chunk in one message. A caller reads on only if its window can take a full chunk. */
constexpr std::size_t maximumRelayChunkBytes = std::size_t { 32 } * 1024;

/** Encodes a relayed request without its body and adds this VM to the VMs that the request has passed. */
wire::RelayHead encodeRelayHead(const VmId& ownVm, const StartRelay& directive, const RelayedRequest& request);

/**
    Decodes a relayed request without its body.

    Errors: Damaged if it has no workspace or its last passed VM is not the sender.
*/
Outcome<RelayedRequest> decodeRelayHead(const wire::RelayHead& head);

/** Encodes one event of an answer. */
wire::RelayDown encodeRelayEvent(RelayAnswerEvent&& event);

/** Decodes one event of an answer. Errors: Damaged for an empty message or a value out of range. */
Outcome<RelayAnswerEvent> decodeRelayEvent(wire::RelayDown&& message);

} // namespace papayashelf
