#pragma once

#include "foundation/time/Clock.h"
#include <cstddef>
#include <cstdint>

namespace papayashelf {

/** What operators may set about shares; the same on every VM. */
struct ShareSettings {
    std::int64_t tokensPerSecondPerOwner = 20'000; /**< A region's part of a rate is split into at most this. */
    std::size_t minimumOwners = 2; /**< In each region, as far as it has VMs. */
    Milliseconds grantHold { 250 }; /**< How long after asking a VM may use what it was granted. */
    Milliseconds grantMargin { 100 }; /**< How much longer the giver keeps the place of a grant occupied. */
    Milliseconds maximumWait { 2000 }; /**< Longest that a reservation waits for tokens. */
    std::size_t maximumWaiting = 256; /**< Reservations of one workspace that wait on one VM. */
    std::int64_t stockBelowPermille = 200; /**< An owner with a less full bucket asks fuller ones for more. */
    std::int64_t stockGapPermille = 150; /**< How much fuller the other must be. */
    std::int64_t stockGiverPermille = 800; /**< How full it must be; what is scarce moves only for a request. */
    Milliseconds stockPeriod { 200 }; /**< Least time between two such questions about one workspace. */
    Milliseconds returnPeriod { 100 }; /**< How often tokens that were not used go back to their givers. */
    Milliseconds silentOwnerPause { 1000 }; /**< How long an owner that did not answer is not asked. */
    Milliseconds unlistedGrace { 120000 }; /**< How long the platform's list must lack a VM before it counts as dead. */
    Milliseconds epochPeriod { 2000 }; /**< How often the VM that leads a region's epochs looks for changes. */
    Milliseconds epochSettle { 4000 }; /**< How long a VM must have been live before an epoch makes it a holder. */
    Milliseconds storeRetry { 1000 }; /**< Pause after a call to the store that failed. */
    Milliseconds digestPeriod { 5000 }; /**< How often a VM compares epochs with one other. */
    std::size_t epochFanout = 3; /**< How many others a VM passes a new epoch on to. */

    bool operator==(const ShareSettings&) const = default;

    /** How long the giver counts a grant as possibly still unused. */
    Milliseconds occupiedFor() const { return this->grantHold + this->grantMargin; }
};

} // namespace papayashelf
