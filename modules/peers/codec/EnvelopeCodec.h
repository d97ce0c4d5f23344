#pragma once

#include "foundation/outcomes/Outcome.h"
#include "node/messages/NodeMessages.h"
#include <peers/peers.pb.h>

namespace papayashelf {

/** The version of the protocol that this build speaks; fields are only ever added. */
constexpr std::uint32_t peerProtocolVersion = 1;

/** What every envelope says of its sender. */
struct EnvelopeSender {
    VmId vm;
    Incarnation incarnation = 0;
    std::uint64_t logicalTime = 0;
};

/** Turns a message into what goes over the wire. Thread safety: any thread. */
wire::Envelope encodeEnvelope(const EnvelopeSender& sender, const PeerMessage& message);

/**
    Reads what came over the wire. Thread safety: any thread.

    Errors: Damaged for an empty envelope, one of a kind that this version does not know, or values out of range.
*/
Outcome<PeerMessage> decodeEnvelope(const wire::Envelope& envelope);

} // namespace papayashelf
