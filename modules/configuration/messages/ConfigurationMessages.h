#pragma once

#include "foundation/identity/Identifier.h"
#include "model/documents/Document.h"
#include <string>
#include <vector>

namespace papayashelf {

/** "I hold this revision"; sent at once to every neighbour when a VM adopts one. */
struct RevisionAnnouncement {
    RevisionNumber number = 0;
    std::string digest;

    bool operator==(const RevisionAnnouncement&) const = default;
};

/** "Send me what leads from this revision to yours." */
struct RevisionPull {
    RevisionNumber held = 0;

    bool operator==(const RevisionPull&) const = default;
};

/** The answer to a pull: a delta, in parts that each stay well below a megabyte. */
struct RevisionPart {
    RevisionDelta delta; /**< With from = 0 a whole revision. */
    std::uint32_t part = 0;
    std::uint32_t parts = 1;

    bool operator==(const RevisionPart&) const = default;
};

/** One withdrawn key. The set of them only grows; an entry may be dropped once no revision can name the key. */
struct Withdrawal {
    KeyDigest key;
    RevisionNumber publishedAfter = 0; /**< The newest revision that the withdrawing operator knew. */

    auto operator<=>(const Withdrawal&) const = default;
    bool operator==(const Withdrawal&) const = default;
};

/** Withdrawals that the receiver may not know; with isWholeSet the answer to a differing digest. */
struct WithdrawalNotice {
    std::vector<Withdrawal> withdrawals;
    bool isWholeSet = false;

    bool operator==(const WithdrawalNotice&) const = default;
};

} // namespace papayashelf
