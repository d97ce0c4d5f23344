#pragma once

#include "foundation/outcomes/Outcome.h"
#include "membership/messages/MembershipMessages.h"
#include <peers/peers.pb.h>

namespace papayashelf {

/** Writes a membership message into an envelope. Thread safety: any thread may call any function of this file. */
void encode(const Heartbeat& message, wire::Envelope& envelope);
void encode(const MemberNews& message, wire::Envelope& envelope);

/** Reads a heartbeat; its VM and incarnation come from the envelope, which identifies the sender. */
Heartbeat decodeHeartbeat(const wire::Envelope& envelope);

/** Reads changed members or the whole member table. Errors: Damaged for a state or port out of range. */
Outcome<MemberNews> decodeMemberNews(const wire::MemberNews& wire);

} // namespace papayashelf
