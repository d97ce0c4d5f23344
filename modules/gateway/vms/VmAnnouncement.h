#pragma once

#include "foundation/identity/Identifier.h"
#include "foundation/outcomes/Outcome.h"
#include <cstdint>
#include <string>
#include <string_view>

namespace papayashelf {

/** The status that a VM publishes to the others. */
struct VmAnnouncement {
    VmId vm;
    RegionId region;
    FailureDomainId failureDomain;
    Endpoint callers; /**< Address for callers. */
    Endpoint relays; /**< Address for requests relayed by other VMs. */
    std::string relayKey; /**< Key that relayed requests must carry; each process creates a new one. */
    bool isReady = false; /**< False while the VM starts and after it begins to stop. */
    bool takesRequests = false; /**< Stays true for a while after the VM begins to stop. */
    std::int64_t sequence = 0; /**< Rises with each status that one process publishes; 0 if not stated. */
    bool reachesUpstreams = true; /**< False while it has lost its links to all upstreams. */

    bool operator==(const VmAnnouncement&) const = default;
};

/** Serializes a status with its schema version. */
std::string encodeVmAnnouncement(const VmAnnouncement& status);

/** Parses a status. Errors: Damaged; UnknownSchemaVersion for another version, whose VM is to be ignored. */
Outcome<VmAnnouncement> decodeVmAnnouncement(std::string_view text);

} // namespace papayashelf
