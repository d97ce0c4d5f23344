#pragma once

#include "foundation/identity/Identifier.h"
#include "foundation/outcomes/Outcome.h"
#include "foundation/time/Clock.h"
#include "model/documents/Document.h"
#include <map>
#include <string>
#include <string_view>
#include <vector>

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

/** What each VM asked answered. */
using VmStatuses = std::map<Endpoint, Outcome<VmStatus>>;

/**
    Asks VMs all at once and waits until each has answered or the timeout has passed, so that VMs that cannot be reached
    hold up nobody else's answer. Errors of one: Unavailable, Damaged, InvalidArgument (the key is refused).
*/
VmStatuses askVmStatuses(const std::vector<Endpoint>& administration, const std::string& key, Milliseconds timeout);

} // namespace papayashelf
