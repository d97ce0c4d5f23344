#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace papayashelf {

/** A published operator file: its path below the root of the file tree and its validated body as canonical JSON. */
struct Document {
    std::string path;
    std::string body;

    auto operator<=>(const Document&) const = default;
    bool operator==(const Document&) const = default;
};

/**
    Number of an accepted configuration, counted from 1; 0 is the empty configuration before the first. A larger number
    always takes precedence.
*/
using RevisionNumber = std::uint64_t;

/**
    A complete accepted configuration as it is stored and distributed to VMs.

    The digest covers all documents, so that a VM that applied a delta can verify that the result is exactly this
    revision.
*/
struct Revision {
    RevisionNumber number = 0;
    std::string digest; /**< SHA-256 of the sorted documents, lower-case hexadecimal. */
    std::map<std::string, std::string> documents; /**< Document bodies by path. */

    bool operator==(const Revision&) const = default;
};

/** The changes that turn one revision into a later one. */
struct RevisionDelta {
    RevisionNumber from = 0;
    RevisionNumber to = 0;
    std::string digest; /**< Digest of the resulting revision. */
    std::vector<Document> changed; /**< Added or replaced documents. */
    std::vector<std::string> removed; /**< Paths of the deleted documents. */

    bool operator==(const RevisionDelta&) const = default;
};

} // namespace papayashelf
