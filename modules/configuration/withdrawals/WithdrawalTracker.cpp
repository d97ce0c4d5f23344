#include "configuration/withdrawals/WithdrawalTracker.h"

#include <algorithm>

namespace papayashelf {

namespace {

constexpr std::size_t vmsNotifiedPerRegion = 2;

} // namespace

void WithdrawalTracker::setMembers(const std::map<VmId, Member>& members)
{
    this->regionByVm.clear();
    for (const auto& [vm, member] : members) {
        if (member.state != MemberState::Gone)
            this->regionByVm[vm] = member.region;
    }
}

void WithdrawalTracker::confirm(const KeyDigest& key, const VmId& vm)
{
    const auto found = this->confirmedVms.find(key);
    if (found != this->confirmedVms.end())
        found->second.insert(vm);
}

void WithdrawalTracker::confirmAll(const VmId& vm)
{
    for (auto& [key, vms] : this->confirmedVms)
        vms.insert(vm);
}

std::vector<RegionCoverage> WithdrawalTracker::getCoverage(const KeyDigest& key) const
{
    const auto found = this->confirmedVms.find(key);
    if (found == this->confirmedVms.end())
        return {};
    std::map<RegionId, RegionCoverage> byRegion;
    for (const auto& [vm, region] : this->regionByVm) {
        RegionCoverage& coverage = byRegion[region];
        coverage.region = region;
        ++coverage.members;
        coverage.confirmed += found->second.count(vm);
    }
    std::vector<RegionCoverage> coverages;
    for (const auto& [region, coverage] : byRegion)
        coverages.push_back(coverage);
    return coverages;
}

std::vector<VmId> WithdrawalTracker::chooseVmsInUnreachedRegions(const KeyDigest& key)
{
    std::vector<VmId> selected;
    for (const RegionCoverage& coverage : this->getCoverage(key)) {
        if (coverage.isReached())
            continue;
        std::vector<VmId> candidates;
        for (const auto& [vm, region] : this->regionByVm) {
            if (region == coverage.region)
                candidates.push_back(vm);
        }
        std::shuffle(candidates.begin(), candidates.end(), this->random);
        candidates.resize(std::min(candidates.size(), vmsNotifiedPerRegion));
        selected.insert(selected.end(), candidates.begin(), candidates.end());
    }
    return selected;
}

} // namespace papayashelf
