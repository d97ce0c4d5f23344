#pragma once

#include "configuration/messages/ConfigurationMessages.h"
#include "membership/messages/MembershipMessages.h"
#include <map>
#include <random>
#include <set>
#include <vector>

namespace papayashelf {

/** How far a withdrawal is known to have come in one region. */
struct RegionCoverage {
    RegionId region;
    std::size_t members = 0; /**< VMs of the region that are not Gone, as far as this VM knows. */
    std::size_t confirmed = 0; /**< Those of them that are known to hold it. */

    /** Within a region it spreads by itself, so that one VM that holds it means that the region is reached. */
    bool isReached() const { return this->confirmed > 0; }

    bool operator==(const RegionCoverage&) const = default;
};

/**
    Follows the withdrawals that entered at this VM: which VMs are known to hold each.

    Thread safety: none; owned by one thread.
*/
class WithdrawalReach {
public:
    explicit WithdrawalReach(std::uint64_t seed)
        : random(seed)
    {
    }

    /** Sets which VMs there are; those that are Gone are left out. */
    void setMembers(const std::map<VmId, Member>& members);

    /** Starts to follow a withdrawal that this VM holds. */
    void follow(const VmId& self, const KeyDigest& key) { this->holders[key].insert(self); }

    /** Stops following it. */
    void forget(const KeyDigest& key) { this->holders.erase(key); }

    bool isFollowed(const KeyDigest& key) const { return this->holders.count(key) > 0; }

    /** The VM is known to hold the withdrawal; nothing happens for one that is not followed. */
    void confirm(const KeyDigest& key, const VmId& vm);

    /** The VM is known to hold all that this VM holds. */
    void confirmAll(const VmId& vm);

    /** By region, in the regions' order; empty for a withdrawal that is not followed. */
    std::vector<RegionCoverage> getCoverage(const KeyDigest& key) const;

    /** Some VMs, chosen anew each time, of each region where nobody is known to hold it. */
    std::vector<VmId> chooseUnreached(const KeyDigest& key);

private:
    std::mt19937_64 random;
    std::map<VmId, RegionId> regions;
    std::map<KeyDigest, std::set<VmId>> holders;
};

} // namespace papayashelf
