#pragma once

#include "configuration/messages/ConfigurationMessages.h"
#include "foundation/outcomes/Outcome.h"
#include <peers/peers.pb.h>

namespace papayashelf {

void encode(const RevisionAnnouncement& message, wire::Envelope& envelope);
void encode(const RevisionPull& message, wire::Envelope& envelope);
void encode(const RevisionPart& message, wire::Envelope& envelope);
void encode(const WithdrawalNotice& message, wire::Envelope& envelope);

RevisionAnnouncement decodeAnnouncement(const wire::RevisionAnnouncement& wire);
RevisionPull decodePull(const wire::RevisionPull& wire);

/** Errors: Damaged for part numbers that contradict each other. */
Outcome<RevisionPart> decodePart(const wire::RevisionPart& wire);

WithdrawalNotice decodeWithdrawals(const wire::WithdrawalNotice& wire);

} // namespace papayashelf
