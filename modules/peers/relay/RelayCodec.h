#pragma once

#include "entrance/relay/RelayTransport.h"
#include "foundation/outcomes/Outcome.h"
#include <peers/peers.pb.h>

namespace papayashelf {

/** The largest piece of an answer's body in one message; a caller reads on only when so much fits. */
constexpr std::size_t largestRelayPieceBytes = std::size_t { 32 } * 1024;

/** Everything of a relayed request but its body. */
wire::RelayHead encodeRelayHead(const VmId& self, const StartRelay& directive, const RelayedRequest& request);

/** Reads a relayed request without its body. Errors: Damaged when it does not name a workspace or the VM it passed. */
Outcome<RelayedRequest> decodeRelayHead(const wire::RelayHead& head);

/** One step of the answer. */
wire::RelayDown encodeRelayEvent(RelayAnswerEvent&& event);

/** Errors: Damaged for an empty step or values out of range. */
Outcome<RelayAnswerEvent> decodeRelayEvent(wire::RelayDown&& down);

} // namespace papayashelf
