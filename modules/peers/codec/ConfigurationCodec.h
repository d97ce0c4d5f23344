#pragma once

#include "configuration/messages/ConfigurationMessages.h"
#include "foundation/outcomes/Outcome.h"
#include <peers/peers.pb.h>

namespace papayashelf {

/** Writes a configuration message into an envelope. Thread safety: any thread may call any function of this file. */
void encode(const RevisionAnnouncement& message, wire::Envelope& envelope);
void encode(const RevisionPull& message, wire::Envelope& envelope);
void encode(const RevisionPart& message, wire::Envelope& envelope);
void encode(const WithdrawalNotice& message, wire::Envelope& envelope);

/** Reads the number and digest of an announced revision. */
RevisionAnnouncement decodeRevisionAnnouncement(const wire::RevisionAnnouncement& wire);

/** Reads a request for the changes since the revision that the sender holds. */
RevisionPull decodeRevisionPull(const wire::RevisionPull& wire);

/** Reads one part of a revision delta. Errors: Damaged if the part number is not below the number of parts. */
Outcome<RevisionPart> decodeRevisionPart(const wire::RevisionPart& wire);

/** Reads a notice of withdrawn keys. */
WithdrawalNotice decodeWithdrawalNotice(const wire::WithdrawalNotice& wire);

} // namespace papayashelf
