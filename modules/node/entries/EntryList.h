#pragma once

#include "node/snapshot/NodeSnapshot.h"
#include <optional>
#include <vector>

namespace papayashelf {

/** A caller's query for the VMs that it should use. */
struct EntryListQuery {
    std::optional<RegionId> nearestRegion; /**< From the client directory; defaults to the queried VM's region. */
    WorkspaceId workspace; /**< Empty if the caller did not specify one. */
    std::uint64_t callerHash = 0; /**< Distributes callers evenly over VMs of equal rank. */
};

/** A VM that callers may send requests to. */
struct Entry {
    VmId vm;
    RegionId region;
    Endpoint endpoint;

    bool operator==(const Entry&) const = default;
};

/**
    Returns the VMs that a caller should use, in order of preference.

    Only VMs that accept new requests are listed, and for a workspace with restricted residency only those of its
    regions. VMs of the nearest region come first. Within a region, VMs that own the workspace's tokens precede the
    others, which are ordered by the caller's hash. VMs that are suspected to have failed come last.
    Thread safety: any thread.
*/
std::vector<Entry> listEntries(const NodeSnapshot& snapshot, const EntryListQuery& query);

/** Returns the region whose caller networks contain the IP address with the longest prefix, or nothing. */
std::optional<RegionId> findNearestRegion(const Governance& governance, const std::string& callerAddress);

} // namespace papayashelf
