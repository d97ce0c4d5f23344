#pragma once

#include "foundation/outcomes/Outcome.h"
#include "node/messages/NodeMessages.h"
#include <peers/peers.pb.h>

namespace papayashelf {

/** Protocol version of this build. Later versions only add fields, so that versions stay compatible. */
constexpr std::uint32_t peerProtocolVersion = 1;

/** Identity and logical time of the sender, as they stand in every envelope. */
struct EnvelopeSender {
    VmId vm;
    Incarnation incarnation = 0;
    std::uint64_t logicalTime = 0;
};

/** Encodes a message for the wire. Thread safety: any thread. */
wire::Envelope encodeEnvelope(const EnvelopeSender& sender, const PeerMessage& message);

/**
    Decodes a message from the wire. Thread safety: any thread.

    Errors: Damaged for an empty envelope, a message type that this version does not know, or a value out of range;
    UnknownSchemaVersion for a share epoch record of an unknown schema version.
*/
Outcome<PeerMessage> decodeEnvelope(const wire::Envelope& envelope);

} // namespace papayashelf
