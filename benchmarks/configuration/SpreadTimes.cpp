/**
    How long a fleet takes, on virtual time, to agree: after a cold start, a new revision, a withdrawal, a crash, a
    region cut off and joined again.

    Delays are 1 to 2 ms within a region and 1 to 40 ms between regions. Prints one JSON object a line; each time is
    in milliseconds until the last VM knows, the worst of all seeds; -1 if it took longer than was waited.

    Usage: SpreadTimes [VMs...]      (default: 8 40 320)
*/
#include "../../tests/configuration/ControlNode.h"

#include <algorithm>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <cstdlib>
#include <functional>
#include <iostream>
#include <string>
#include <vector>

namespace papayashelf {

namespace {

constexpr std::uint64_t seeds = 3;
constexpr int repeats = 10;
constexpr Milliseconds longestWait = Milliseconds::fromSeconds(600);

/** The worst time of each kind so far. */
class Times {
public:
    void measure(ControlCluster& cluster, const std::string& what, const std::function<bool()>& condition)
    {
        const Milliseconds started = cluster.now();
        const bool held = cluster.runUntil(condition, longestWait);
        std::int64_t& worst = this->worst.try_emplace(what, 0).first->second;
        if (worst >= 0)
            worst = held ? std::max(worst, (cluster.now() - started).count()) : -1;
    }

    void print(int vms, double loss) const
    {
        boost::json::object line;
        line["vms"] = vms;
        line["loss"] = loss;
        for (const auto& [what, milliseconds] : this->worst)
            line[what + "_ms"] = milliseconds;
        std::cout << boost::json::serialize(line) << std::endl;
    }

private:
    std::map<std::string, std::int64_t> worst;
};

std::int64_t countLive(const ControlNode& node)
{
    const auto& members = node.membership.getMembers();
    return std::count_if(
        members.begin(), members.end(), [](const auto& entry) { return entry.second.state == MemberState::Live; });
}

bool allSee(ControlCluster& cluster, std::int64_t live)
{
    return cluster.all([&](const VmId&, ControlNode& node) { return countLive(node) == live; });
}

void measureChanges(ControlCluster& cluster, Times& times)
{
    for (int repeat = 0; repeat < repeats; ++repeat) {
        const RevisionNumber number = static_cast<RevisionNumber>(repeat) + 2;
        cluster.store.publish(makeTestRevision(number));
        times.measure(cluster, "revision", [&] { return cluster.allHave(number); });
        const KeyDigest key("key-" + std::to_string(repeat));
        const VmId entry = cluster.members[static_cast<std::size_t>(repeat) % cluster.members.size()].vm;
        cluster.send(entry, cluster.at(entry).withdraw(cluster.now(), key));
        times.measure(cluster, "withdrawal", [&] {
            return cluster.all([&](const VmId&, ControlNode& node) { return node.withdrawals.isWithdrawn(key); });
        });
        cluster.runFor(Milliseconds::fromSeconds(2));
    }
}

void measurePartition(ControlCluster& cluster, Times& times)
{
    const RegionId cutOff("oriente");
    const auto isInside = [&](const VmId& vm) { return cluster.regionOf(vm) == cutOff; };
    std::int64_t inside = 0;
    for (const auto& [vm, node] : cluster.getNodes())
        inside += isInside(vm) ? 1 : 0;
    const auto total = static_cast<std::int64_t>(cluster.getNodes().size());
    cluster.setBrokenLinks([&](const VmId& from, const VmId& to) { return isInside(from) != isInside(to); });
    times.measure(cluster, "region_cut_off", [&] {
        return cluster.all([&](const VmId& vm, ControlNode& node) {
            return countLive(node) == (isInside(vm) ? inside : total - inside);
        });
    });
    cluster.setBrokenLinks({});
    times.measure(cluster, "region_joined_again", [&] { return allSee(cluster, total); });
}

void runSize(int vms, double loss)
{
    Times times;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        ControlCluster cluster(vms, seed);
        cluster.setLossProbability(loss);
        cluster.store.publish(makeTestRevision(1));
        times.measure(cluster, "cold_start", [&] { return cluster.allHave(1) && allSee(cluster, vms); });
        cluster.runFor(Milliseconds::fromSeconds(10));
        measureChanges(cluster, times);
        cluster.crash(cluster.members.back().vm);
        times.measure(cluster, "crash", [&] { return allSee(cluster, vms - 1); });
        measurePartition(cluster, times);
    }
    times.print(vms, loss);
}

} // namespace

} // namespace papayashelf

int main(int argc, char** argv)
{
    std::vector<int> sizes;
    for (int index = 1; index < argc; ++index)
        sizes.push_back(std::atoi(argv[index]));
    if (sizes.empty())
        sizes = { 8, 40, 320 };
    for (const int vms : sizes) {
        papayashelf::runSize(vms, 0);
        papayashelf::runSize(vms, 0.2);
    }
    return 0;
}
