#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace papayashelf {

/** One operator's file as published: its path below the collected tree and its checked body as canonical JSON. */
struct Document {
    std::string path;
    std::string body;

    auto operator<=>(const Document&) const = default;
    bool operator==(const Document&) const = default;
};

/** Counts accepted configurations, from 1; 0 is the empty one before the first. A larger number always wins. */
using RevisionNumber = std::uint64_t;

/**
    One whole accepted configuration as it is stored and spread.

    The digest is over all documents, so that a VM that applied a delta knows that it holds exactly the revision.
*/
struct Revision {
    RevisionNumber number = 0;
    std::string digest; /**< SHA-256 over the sorted documents, lower-case hexadecimal. */
    std::map<std::string, std::string> documents; /**< Body by path. */

    bool operator==(const Revision&) const = default;
};

/** What turns one revision into a later one. */
struct RevisionDelta {
    RevisionNumber from = 0;
    RevisionNumber to = 0;
    std::string digest; /**< Digest of the revision that results. */
    std::vector<Document> changed; /**< Added or replaced documents. */
    std::vector<std::string> removed; /**< Paths of the documents that are no more. */

    bool operator==(const RevisionDelta&) const = default;
};

} // namespace papayashelf
