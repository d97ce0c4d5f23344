#pragma once

#include "foundation/identity/Identifier.h"
#include "foundation/outcomes/Outcome.h"
#include <cstdint>
#include <string>
#include <string_view>

namespace papayashelf {

/** What one VM tells the others about itself. */
struct VmAnnouncement {
    VmId vm;
    RegionId region;
    FailureDomainId failureDomain;
    Endpoint callers;
    Endpoint relays;
    std::string relayKey; /**< Relayed requests must carry it; made anew by each process. */
    bool isReady = false; /**< False while it starts and once it stops. */
    bool takesRequests = false; /**< Also true for a while after it began to stop. */

    bool operator==(const VmAnnouncement&) const = default;
};

/** Writes a status with its schema version. */
std::string encodeVmAnnouncement(const VmAnnouncement& status);

/** Errors: Damaged; UnknownSchemaVersion for one of another version, whose VM is to be left alone. */
Outcome<VmAnnouncement> decodeVmAnnouncement(std::string_view text);

} // namespace papayashelf
