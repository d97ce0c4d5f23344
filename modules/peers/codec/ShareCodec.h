#pragma once

#include "foundation/outcomes/Outcome.h"
#include "shares/messages/ShareMessages.h"
#include <peers/peers.pb.h>

namespace papayashelf {

void encode(const ShareRequest& message, wire::Envelope& envelope);
void encode(const ShareGrant& message, wire::Envelope& envelope);
void encode(const ShareReturns& message, wire::Envelope& envelope);
void encode(const ShareEpochNews& message, wire::Envelope& envelope);
void encode(const ShareEpochAdopted& message, wire::Envelope& envelope);
void encode(const ShareEpochDigest& message, wire::Envelope& envelope);

/** Errors: Damaged for a negative number of tokens. */
Outcome<ShareRequest> decodeRequest(const wire::ShareRequest& wire);
Outcome<ShareGrant> decodeGrant(const wire::ShareGrant& wire);
Outcome<ShareReturns> decodeReturns(const wire::ShareReturns& wire);

/** Errors: Damaged or UnknownSchemaVersion for a record that cannot be read. */
Outcome<ShareEpochNews> decodeEpochNews(const wire::ShareEpochNews& wire);

ShareEpochAdopted decodeEpochAdopted(const wire::ShareEpochAdopted& wire);
ShareEpochDigest decodeEpochDigest(const wire::ShareEpochDigest& wire);

} // namespace papayashelf
