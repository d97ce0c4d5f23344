#pragma once

#include "foundation/outcomes/Outcome.h"
#include "model/documents/Document.h"
#include <cstdint>
#include <string>
#include <string_view>

namespace papayashelf {

/** Who published a revision, kept in the manifest beside what the VMs read from it. */
struct PublicationStamp {
    std::string author;
    std::int64_t publishedAt = 0; /**< Wall clock of the author's machine, milliseconds since 1970. */
    std::string previousDigest; /**< Digest of the revision that it replaced; empty for the first. */

    bool operator==(const PublicationStamp&) const = default;

    /** "author at 2026-01-02 03:04:05 UTC" */
    std::string string() const;
};

/** Adds the stamp to an encoded manifest. Precondition: the manifest is a JSON object. */
std::string stampManifest(std::string_view manifest, const PublicationStamp& stamp);

/** Reads the stamp; fields that are missing stay empty. Error: Damaged. */
Outcome<PublicationStamp> readStamp(std::string_view manifest);

} // namespace papayashelf
