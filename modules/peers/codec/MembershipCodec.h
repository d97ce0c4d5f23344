#pragma once

#include "foundation/outcomes/Outcome.h"
#include "membership/messages/MembershipMessages.h"
#include <peers/peers.pb.h>

namespace papayashelf {

void encode(const Heartbeat& message, wire::Envelope& envelope);
void encode(const MemberNews& message, wire::Envelope& envelope);

/** The sender stands in the envelope, not in the heartbeat. */
Heartbeat decodeHeartbeat(const wire::Envelope& envelope);

/** Errors: Damaged for a state or port out of range. */
Outcome<MemberNews> decodeMemberNews(const wire::MemberNews& wire);

} // namespace papayashelf
