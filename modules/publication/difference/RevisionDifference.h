#pragma once

#include "model/governance/Governance.h"
#include <map>
#include <string>
#include <vector>

namespace papayashelf {

/** What a new configuration changes, for the person who publishes it. */
struct RevisionDifference {
    std::vector<std::string> lines; /**< One change a line: '+' added, '-' removed, '~' changed. */
    std::vector<KeyDigest> withdrawnKeys; /**< In the old one and not in the new. Sorted. */
    std::size_t keptKeys = 0; /**< In both. */

    bool operator==(const RevisionDifference&) const = default;

    /** True if no key in force would go on working: more likely the wrong tree than a wish. */
    bool withdrawsEveryKey() const { return !this->withdrawnKeys.empty() && this->keptKeys == 0; }
};

/**
    Compares what is in force with what would be. Keys show by the first digits of their digest.

    Thread safety: any thread.
*/
RevisionDifference differenceBetween(const Governance& inForce, const Governance& next);

} // namespace papayashelf
