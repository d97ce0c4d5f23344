#pragma once

#include "node/snapshot/NodeSnapshot.h"
#include <optional>
#include <vector>

namespace papayashelf {

/** What is known of a caller who asks which VMs to use. */
struct EntryListQuery {
    std::optional<RegionId> nearestRegion; /**< By the client directory; the asked VM's region when absent. */
    WorkspaceId workspace; /**< Empty when the caller did not say. */
    std::uint64_t callerHash = 0; /**< Spreads callers evenly over VMs that are equally good for them. */
};

/** One VM that callers may use. */
struct Entry {
    VmId vm;
    RegionId region;
    Endpoint endpoint;

    bool operator==(const Entry&) const = default;
};

/**
    The VMs that a caller should use, best first.

    Only VMs that take new requests are listed, and for a bound workspace only those of its regions. The nearest region
    comes first, in it the VMs that own the workspace's tokens, then the others spread by the caller's hash; VMs that
    are suspected to have failed come last. Thread safety: any thread.
*/
std::vector<Entry> listEntries(const NodeSnapshot& snapshot, const EntryListQuery& question);

/** The region whose caller networks contain the IP number, the longest prefix winning; nothing if none does. */
std::optional<RegionId> findNearestRegion(const Governance& governance, const std::string& callerAddress);

} // namespace papayashelf
