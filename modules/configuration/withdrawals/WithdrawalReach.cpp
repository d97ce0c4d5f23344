#include "configuration/withdrawals/WithdrawalReach.h"

#include <algorithm>

namespace papayashelf {

namespace {

constexpr std::size_t chosenPerRegion = 2;

} // namespace

void WithdrawalReach::setMembers(const std::map<VmId, Member>& members)
{
    this->regions.clear();
    for (const auto& [vm, member] : members) {
        if (member.state != MemberState::Gone)
            this->regions[vm] = member.region;
    }
}

void WithdrawalReach::confirm(const KeyDigest& key, const VmId& vm)
{
    const auto found = this->holders.find(key);
    if (found != this->holders.end())
        found->second.insert(vm);
}

void WithdrawalReach::confirmAll(const VmId& vm)
{
    for (auto& [key, vms] : this->holders)
        vms.insert(vm);
}

std::vector<RegionCoverage> WithdrawalReach::getCoverage(const KeyDigest& key) const
{
    const auto found = this->holders.find(key);
    if (found == this->holders.end())
        return {};
    std::map<RegionId, RegionCoverage> byRegion;
    for (const auto& [vm, region] : this->regions) {
        RegionCoverage& reach = byRegion[region];
        reach.region = region;
        ++reach.members;
        reach.confirmed += found->second.count(vm);
    }
    std::vector<RegionCoverage> reaches;
    for (const auto& [region, reach] : byRegion)
        reaches.push_back(reach);
    return reaches;
}

std::vector<VmId> WithdrawalReach::chooseUnreached(const KeyDigest& key)
{
    std::vector<VmId> chosen;
    for (const RegionCoverage& reach : this->getCoverage(key)) {
        if (reach.isReached())
            continue;
        std::vector<VmId> candidates;
        for (const auto& [vm, region] : this->regions) {
            if (region == reach.region)
                candidates.push_back(vm);
        }
        std::shuffle(candidates.begin(), candidates.end(), this->random);
        candidates.resize(std::min(candidates.size(), chosenPerRegion));
        chosen.insert(chosen.end(), candidates.begin(), candidates.end());
    }
    return chosen;
}

} // namespace papayashelf
