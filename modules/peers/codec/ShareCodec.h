#pragma once

#include "foundation/outcomes/Outcome.h"
#include "shares/messages/ShareMessages.h"
#include <peers/peers.pb.h>

namespace papayashelf {

/** Writes a share message into an envelope. Thread safety: any thread may call any function of this file. */
void encode(const ShareRequest& message, wire::Envelope& envelope);
void encode(const ShareGrant& message, wire::Envelope& envelope);
void encode(const ShareReturns& message, wire::Envelope& envelope);
void encode(const ShareEpochNews& message, wire::Envelope& envelope);
void encode(const ShareEpochAdopted& message, wire::Envelope& envelope);
void encode(const ShareEpochDigest& message, wire::Envelope& envelope);

/** Reads a request for tokens. Errors: Damaged for a negative number of tokens. */
Outcome<ShareRequest> decodeShareRequest(const wire::ShareRequest& wire);

/** Reads a grant of tokens. Errors: Damaged for a negative number of tokens. */
Outcome<ShareGrant> decodeShareGrant(const wire::ShareGrant& wire);

/** Reads returned tokens. A negative number is valid: it is a debt, as more tokens were used than had been granted. */
ShareReturns decodeShareReturns(const wire::ShareReturns& wire);

/** Reads a share epoch from its stored form. Errors: Damaged or UnknownSchemaVersion for an unreadable record. */
Outcome<ShareEpochNews> decodeShareEpochNews(const wire::ShareEpochNews& wire);

/** Reads the report that a VM has adopted an epoch. */
ShareEpochAdopted decodeShareEpochAdopted(const wire::ShareEpochAdopted& wire);

/** Reads the epoch numbers that the sender knows. */
ShareEpochDigest decodeShareEpochDigest(const wire::ShareEpochDigest& wire);

} // namespace papayashelf
