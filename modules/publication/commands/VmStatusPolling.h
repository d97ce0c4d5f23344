#pragma once

#include "foundation/identity/Identifier.h"
#include "foundation/outcomes/Outcome.h"
#include "foundation/time/Clock.h"
#include "model/documents/Document.h"
#include <string>
#include <string_view>

namespace papayashelf {

/** What a VM's administration API says of it. */
struct VmStatus {
    VmId vm;
    RegionId region;
    RevisionNumber revision = 0;

    bool operator==(const VmStatus&) const = default;
};

/** Reads the body of GET /v1/status. Error: Damaged. */
Outcome<VmStatus> decodeVmStatus(std::string_view body);

/** Asks a VM and waits for its answer. Errors: Unavailable, Damaged, InvalidArgument (the key is refused). */
Outcome<VmStatus> askVmStatus(const Endpoint& administration, const std::string& key, Milliseconds timeout);

} // namespace papayashelf
