#pragma once

#include "foundation/identity/Identifier.h"
#include "model/documents/Document.h"
#include <string>
#include <vector>

namespace papayashelf {

/** Announces the revision in force at the sender. It is sent to neighbours if the delta is too large to push. */
struct RevisionAnnouncement {
    RevisionNumber number = 0;
    std::string digest;

    bool operator==(const RevisionAnnouncement&) const = default;
};

/** Requests the changes from the sender's revision to the receiver's. */
struct RevisionPull {
    RevisionNumber held = 0; /**< Revision that the sender holds; 0 requests a full revision. */

    bool operator==(const RevisionPull&) const = default;
};

/** One part of the answer to a pull, or a pushed delta. Each part stays well below a megabyte. */
struct RevisionPart {
    RevisionDelta delta; /**< A delta with from = 0 holds a full revision. */
    std::uint32_t part = 0; /**< Index of this part, from 0. */
    std::uint32_t parts = 1; /**< Number of parts in the answer. */

    bool operator==(const RevisionPart&) const = default;
};

/** One withdrawn key. Entries are only added, and dropped once no revision can contain the key any more. */
struct Withdrawal {
    KeyDigest key;
    RevisionNumber publishedAfter = 0; /**< Newest revision known where the key was withdrawn. */

    auto operator<=>(const Withdrawal&) const = default;
    bool operator==(const Withdrawal&) const = default;
};

/** Withdrawals that the receiver may not know. */
struct WithdrawalNotice {
    std::vector<Withdrawal> withdrawals;
    bool isWholeSet = false; /**< Whether this is the sender's whole set, sent because the digests differ. */

    bool operator==(const WithdrawalNotice&) const = default;
};

} // namespace papayashelf
