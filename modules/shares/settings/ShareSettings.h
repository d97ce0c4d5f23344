#pragma once

#include "foundation/time/Clock.h"
#include <cstddef>
#include <cstdint>

namespace papayashelf {

/** The settings of the shares module. They must be the same on every VM. */
struct ShareSettings {
    std::int64_t tokensPerSecondPerOwner = 20'000; /**< Maximum rate of one owner, unless a region has too few VMs. */
    std::size_t minimumOwners = 2; /**< Minimum owners of a workspace in each region, if it has that many VMs. */
    Milliseconds grantLifetime { 250 }; /**< How long after its request a borrower may use the granted tokens. */
    Milliseconds grantMargin { 100 }; /**< How much longer the lender counts granted tokens as unspent. */
    Milliseconds maximumWait { 2000 }; /**< How long a reservation may wait for tokens. */
    std::size_t maximumWaitingReservations = 256; /**< Limit for each workspace on one VM. */
    std::int64_t stockRequestBelowPermille = 200; /**< An owner whose bucket is less full requests stock. */
    std::int64_t stockMinimumGapPermille = 150; /**< How much fuller the lender's bucket must be. */
    std::int64_t stockMinimumLenderPermille = 800; /**< Scarce tokens below this level move only for reservations. */
    Milliseconds stockRequestPeriod { 200 }; /**< Minimum time between two stock requests for one workspace. */
    Milliseconds returnPeriod { 100 }; /**< How long unused tokens are collected before they are returned to lenders. */
    Milliseconds unresponsiveOwnerPause { 1000 }; /**< Pause after a missing answer; doubles up to three times. */
    Milliseconds unlistedGrace { 120000 }; /**< A VM absent from the platform's list for this long is proven dead. */
    Milliseconds epochCheckPeriod { 2000 }; /**< How often a region's epoch leader checks for membership changes. */
    Milliseconds epochStabilityPeriod { 4000 }; /**< How long a VM must be live before it becomes a holder. */
    Milliseconds storeRetryPause { 1000 }; /**< Pause after a failed store call. */
    Milliseconds digestPeriod { 5000 }; /**< How often a VM compares its epochs with one other VM. */
    std::size_t epochFanout = 3; /**< How many other VMs a VM forwards a new epoch to. */

    bool operator==(const ShareSettings&) const = default;

    /** Returns how long the lender counts granted tokens as possibly unspent. */
    Milliseconds getLoanLifetime() const { return this->grantLifetime + this->grantMargin; }
};

} // namespace papayashelf
