#pragma once

#include "foundation/identity/Identifier.h"
#include "foundation/outcomes/Outcome.h"
#include "foundation/time/Clock.h"
#include <cstdint>
#include <string>

namespace papayashelf {

/** A claim as stored in the key-value service. */
struct ClaimValue {
    VmId vm;
    Incarnation incarnation = 0;
    std::uint64_t nonce = 0; /**< Distinguishes the claims of one VM incarnation. */
    Milliseconds claimedAt; /**< Wall-clock time. */
    bool isConfirmed = false; /**< If false, the request may be running, may have run, or its VM may have failed. */
    int status = 0; /**< HTTP status of the answer, if confirmed. */
    bool isBodyHeld = false; /**< Whether contentType and body hold the answer. */
    std::string contentType;
    std::string body;

    bool operator==(const ClaimValue&) const = default;
};

/** Encodes a claim as JSON with a schema version. Omits a body or content type that is not valid UTF-8. */
std::string encodeClaim(const ClaimValue& claim);

/** Decodes the result of encodeClaim(). Errors: UnknownSchemaVersion, Damaged. */
Outcome<ClaimValue> decodeClaim(const std::string& text);

} // namespace papayashelf
