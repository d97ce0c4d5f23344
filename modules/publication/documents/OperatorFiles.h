#pragma once

#include "model/governance/Governance.h"
#include "publication/documents/AddressRange.h"
#include "settings/reading/ConfigNode.h"
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace papayashelf {

/** Schema of the operators' documents; a document with another one is refused. */
constexpr std::int64_t documentSchemaVersion = 1;

/** The voted totals. */
struct Fleet {
    std::int64_t tokensPerSecond = 0; /**< All workspaces' rates together must not pass it. */
    std::int64_t burstTokens = 0; /**< All workspaces' bursts together must not pass it. */
    std::vector<AddressRange> vmAddresses; /**< Where the system's own VMs listen; no upstream may be there. */

    bool operator==(const Fleet&) const = default;
};

/** The keys of one workspace. */
struct KeyGrant {
    WorkspaceId workspace;
    std::vector<KeyDigest> digests;

    bool operator==(const KeyGrant&) const = default;
};

/** A value and where its fields stand, for the faults that only show across files. */
template <typename Value> struct Placed {
    Value value;
    std::string file;
    std::map<std::string, Position, std::less<>> fields;

    bool operator==(const Placed&) const = default;

    /** A fault at the field, or at the start of the file if there is no such field. */
    Fault fault(std::string_view field, std::string found, std::string allowed) const
    {
        const auto place = this->fields.find(field);
        const Position position = place == this->fields.end() ? Position { 1, 1 } : place->second;
        return { this->file, position, std::move(found), std::move(allowed) };
    }
};

/** What all files of a tree say, each checked on its own. */
struct OperatorFiles {
    std::vector<Placed<Fleet>> fleets;
    std::vector<Placed<Region>> regions;
    std::vector<Placed<Workspace>> workspaces;
    std::vector<Placed<KeyGrant>> keys;
    std::vector<Placed<Service>> services;
    std::vector<Placed<Upstream>> upstreams; /**< Those of all services, each with its place. */
    std::vector<Placed<Route>> routes;

    bool operator==(const OperatorFiles&) const = default;
};

/**
    Reads one file's tree. The one top-level table says which kind it is: fleet, region, workspace, keys, service
    or route; route may be a list of tables.

    @param root    the parsed file; a schema_version in it must be one that is known
    @param file    the name that faults carry
    @param files   receives what the file says
    @param faults  receives every fault of the file
*/
void readOperatorFile(const ConfigNode& root, const std::string& file, OperatorFiles& files, Faults& faults);

} // namespace papayashelf
