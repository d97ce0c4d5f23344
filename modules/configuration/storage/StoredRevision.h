#pragma once

#include "foundation/outcomes/Outcome.h"
#include "model/documents/Document.h"
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace papayashelf {

/** Key in the store of the manifest of the newest accepted revision. */
constexpr std::string_view manifestKey = "configuration/manifest";

/** Prefix of the keys of the immutable parts; the part's digest follows it. */
constexpr std::string_view partKeyPrefix = "configuration/part/";

/** Schema version of manifest and parts; a value with another version is not used. */
constexpr std::int64_t configurationSchemaVersion = 1;

/** Number of parts over which the documents of a revision are distributed; empty parts are left out. */
constexpr std::uint64_t storedPartCount = 64;

/** Reference to one part in the manifest. */
struct ManifestPart {
    std::string key; /**< Key in the store: partKeyPrefix and the digest. */
    std::string digest; /**< SHA-256 of the part's value. */

    auto operator<=>(const ManifestPart&) const = default;
    bool operator==(const ManifestPart&) const = default;
};

/** Contents of manifestKey, the only mutable configuration value in the store. */
struct Manifest {
    RevisionNumber number = 0;
    std::string digest; /**< Digest of all documents, as in Revision. */
    std::vector<ManifestPart> parts;

    bool operator==(const Manifest&) const = default;
};

/** Key and value of one part in the store. A key always holds the same value. */
struct StoredPart {
    std::string key;
    std::string value;

    bool operator==(const StoredPart&) const = default;
};

/** A revision encoded for the store. Write all parts first, then the manifest by compare-and-swap. */
struct StoredRevision {
    std::vector<StoredPart> parts;
    std::string manifest; /**< Value of manifestKey. */

    bool operator==(const StoredRevision&) const = default;
};

/** Returns the index, from 0 to storedPartCount - 1, of the part that holds the document with this path. */
std::uint64_t storedPartIndexOf(std::string_view path);

/**
    Encodes a revision for the store. The digest in the manifest is computed here; revision.digest is not used.

    Errors: TooLarge when a part or the manifest would exceed maximumStoreValueBytes. Thread safety: any thread.
*/
Outcome<StoredRevision> encodeRevision(const Revision& revision);

/**
    Decodes the value of manifestKey.

    Errors: Damaged, UnknownSchemaVersion. Thread safety: any thread.
*/
Outcome<Manifest> decodeManifest(std::string_view value);

/** Encodes the value of manifestKey. Thread safety: any thread. */
std::string encodeManifest(const Manifest& manifest);

/**
    Builds the revision from its manifest and the values of its parts, and verifies every digest.

    Errors: NotFound (a part is missing), Damaged, UnknownSchemaVersion. Thread safety: any thread.

    @param parts  values by key; those that the manifest does not name are ignored
*/
Outcome<Revision> assembleRevision(const Manifest& manifest, const std::map<std::string, std::string>& parts);

} // namespace papayashelf
