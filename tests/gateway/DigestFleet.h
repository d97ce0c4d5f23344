#pragma once

#include "gateway/GatewayFixture.h"
#include <memory>
#include <random>
#include <set>

namespace papayashelf {

/** Several VMs that exchange digests in virtual time. Messages to and from an unreachable VM are lost. */
class DigestFleet {
public:
    static constexpr std::int64_t interval = LoadExchange::reportInterval.count();

    DigestFleet(const std::vector<std::string>& regions, int vmsInEach)
    {
        for (const std::string& region : regions) {
            for (int number = 0; number < vmsInEach; ++number) {
                const std::string name = region + "-" + std::to_string(number);
                this->cores[VmId(name)]
                    = std::make_unique<GatewayCore>(gatewayfixture::makeSettings(name, region), "key", 1);
            }
        }
        for (const auto& [vm, core] : this->cores) {
            for (const auto& [other, unused] : this->cores)
                core->putVm(gatewayfixture::makeVm(other.string(), other.string().substr(0, other.string().find('-'))));
        }
    }

    GatewayCore& at(const std::string& vm) { return *this->cores.at(VmId(vm)); }
    void setLossShare(double share) { this->lossShare = share; }
    void makeUnreachable(const std::string& vm) { this->unreachableVms.insert(VmId(vm)); }
    void makeReachable(const std::string& vm) { this->unreachableVms.erase(VmId(vm)); }

    /** Lets all VMs send reports until the given time. Returns the number of reports sent. */
    int runUntil(std::int64_t until)
    {
        int messages = 0;
        for (; this->now < until; this->now += interval) {
            for (const auto& [vm, core] : this->cores) {
                for (const auto& [receiver, report] : core->makeReports(Milliseconds(this->now))) {
                    ++messages;
                    const bool isLost = std::bernoulli_distribution(this->lossShare)(this->random);
                    if (isLost || this->unreachableVms.contains(vm) || this->unreachableVms.contains(receiver->vm))
                        continue;
                    const auto decoded = decodeDigest(encodeDigest(report, "key"));
                    const DigestReply reply
                        = this->cores.at(receiver->vm)->answerReport(Milliseconds(this->now), *decoded.value().report);
                    core->noteReply(Milliseconds(this->now), *decodeDigest(encodeDigest(reply, "key")).value().reply);
                }
                core->tick(Milliseconds(this->now));
            }
        }
        return messages;
    }

    std::int64_t now = 10'000;
    std::map<VmId, std::unique_ptr<GatewayCore>> cores;

private:
    std::set<VmId> unreachableVms;
    double lossShare = 0; /**< Of reports, which are then not answered either. */
    std::minstd_rand random { 1 };
};

} // namespace papayashelf
