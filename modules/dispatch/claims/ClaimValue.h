#pragma once

#include "foundation/identity/Identifier.h"
#include "foundation/outcomes/Outcome.h"
#include "foundation/time/Clock.h"
#include <cstdint>
#include <string>

namespace papayashelf {

/** A claim as it stands in the key-value service. */
struct ClaimValue {
    VmId vm;
    Incarnation incarnation = 0;
    std::uint64_t nonce = 0; /**< Tells one claim of the same VM from the next. */
    Milliseconds claimedAt; /**< Wall-clock time. */
    bool isConfirmed = false; /**< False: it may be running, may have run, or its VM may be gone. */
    int status = 0;
    bool isBodyHeld = false;
    std::string contentType;
    std::string body;

    bool operator==(const ClaimValue&) const = default;
};

/** The stored form, with its schema version. A body that is not UTF-8 is left out. */
std::string encodeClaim(const ClaimValue& claim);

/** Reads the stored form. Errors: UnknownSchemaVersion, Damaged. */
Outcome<ClaimValue> decodeClaim(const std::string& text);

} // namespace papayashelf
