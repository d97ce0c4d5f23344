#pragma once

#include "configuration/messages/ConfigurationMessages.h"
#include "membership/messages/MembershipMessages.h"
#include <map>
#include <random>
#include <set>
#include <vector>

namespace papayashelf {

/** Confirmations of one withdrawal from the VMs of a region. */
struct RegionCoverage {
    RegionId region;
    std::size_t members = 0; /**< Number of VMs of the region that this VM knows and that are not Gone. */
    std::size_t confirmed = 0; /**< Number of these VMs that are known to hold the withdrawal. */

    /** Returns whether any VM of the region holds the withdrawal; that VM passes it on within the region. */
    bool isReached() const { return this->confirmed > 0; }

    bool operator==(const RegionCoverage&) const = default;
};

/**
    Tracks which VMs are known to hold each withdrawal that an operator made at this VM.

    Thread safety: none; owned by one thread.
*/
class WithdrawalTracker {
public:
    explicit WithdrawalTracker(std::uint64_t seed)
        : random(seed)
    {
    }

    /** Sets the known VMs. Those that are Gone are ignored. */
    void setMembers(const std::map<VmId, Member>& members);

    /** Starts to track a withdrawal that this VM holds. */
    void startTracking(const VmId& self, const KeyDigest& key) { this->confirmedVms[key].insert(self); }

    /** Stops tracking a withdrawal. */
    void stopTracking(const KeyDigest& key) { this->confirmedVms.erase(key); }

    /** Returns whether a withdrawal is tracked. */
    bool isTracked(const KeyDigest& key) const { return this->confirmedVms.count(key) > 0; }

    /** Records that a VM holds a withdrawal. Has no effect if the withdrawal is not tracked. */
    void confirm(const KeyDigest& key, const VmId& vm);

    /** Records that a VM holds every tracked withdrawal. */
    void confirmAll(const VmId& vm);

    /** Returns the coverage of each region, sorted by region; empty if the withdrawal is not tracked. */
    std::vector<RegionCoverage> getCoverage(const KeyDigest& key) const;

    /** Returns a few random VMs of each region in which no VM is known to hold the withdrawal. */
    std::vector<VmId> chooseVmsInUnreachedRegions(const KeyDigest& key);

private:
    std::mt19937_64 random;
    std::map<VmId, RegionId> regionByVm;
    std::map<KeyDigest, std::set<VmId>> confirmedVms;
};

} // namespace papayashelf
