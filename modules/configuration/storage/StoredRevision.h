#pragma once

#include "foundation/outcomes/Outcome.h"
#include "model/documents/Document.h"
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace papayashelf {

/** Where the store keeps the manifest of the newest accepted revision. */
constexpr std::string_view manifestKey = "configuration/manifest";

/** What the keys of the immutable parts begin with; the part's digest follows. */
constexpr std::string_view partKeyPrefix = "configuration/part/";

/** Schema of manifest and parts; a value with another one is set aside. */
constexpr std::int64_t configurationSchemaVersion = 1;

/** How many parts the documents of a revision are spread over; parts without documents are left out. */
constexpr std::uint64_t storedPartCount = 64;

/** One part as the manifest names it. */
struct ManifestPart {
    std::string key; /**< Key in the store: the prefix and the digest. */
    std::string digest; /**< SHA-256 of the part's value. */

    auto operator<=>(const ManifestPart&) const = default;
    bool operator==(const ManifestPart&) const = default;
};

/** What the store's one mutable configuration value says. */
struct Manifest {
    RevisionNumber number = 0;
    std::string digest; /**< Of all documents, as in Revision. */
    std::vector<ManifestPart> parts;

    bool operator==(const Manifest&) const = default;
};

/** One part as it is written to the store. Immutable: the same key always holds the same value. */
struct StoredPart {
    std::string key;
    std::string value;

    bool operator==(const StoredPart&) const = default;
};

/** A revision as the store holds it. Write every part first, then the manifest by compare-and-swap. */
struct StoredRevision {
    std::vector<StoredPart> parts;
    std::string manifest; /**< Value of manifestKey. */

    bool operator==(const StoredRevision&) const = default;
};

/** The part, from 0 to storedPartCount - 1, that holds the document with this path. */
std::uint64_t storedPartOf(std::string_view path);

/**
    Turns a revision into the store's values. The digest in the manifest is computed here; revision.digest is not used.

    Errors: TooLarge when a part or the manifest would pass maximumStoreValueBytes. Thread safety: any thread.
*/
Outcome<StoredRevision> encodeRevision(const Revision& revision);

/**
    Reads the value of manifestKey.

    Errors: Damaged, UnknownSchemaVersion. Thread safety: any thread.
*/
Outcome<Manifest> decodeManifest(std::string_view value);

/** Writes the value of manifestKey. Thread safety: any thread. */
std::string encodeManifest(const Manifest& manifest);

/**
    Puts the revision together from its manifest and the values of its parts and checks every digest.

    Errors: NotFound (a part is missing), Damaged, UnknownSchemaVersion. Thread safety: any thread.

    @param parts  value by key; more than the manifest names does no harm
*/
Outcome<Revision> assembleRevision(const Manifest& manifest, const std::map<std::string, std::string>& parts);

} // namespace papayashelf
