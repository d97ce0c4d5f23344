/**
    What the control of a fleet costs one VM, at several sizes: messages, bytes, processor time, memory, store calls.

    Runs the real decisions of every VM on virtual time and prints one JSON object a line. A VM's bytes are those that
    it sends and those that it receives. Loads: `steady` (heartbeats only), `restarts` (145 VMs a day are replaced),
    `revisions` (2,600 a day over 4,800 workspaces) and `withdrawals`; the last three are run faster than they come
    and the surplus over `steady` is scaled to the day.

    Usage: ControlSlopes [VMs...]      (default: 8 40 80 160 320)
*/
#include "../../tests/configuration/ControlNode.h"
#include "MessageSizes.h"

#include <algorithm>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <cstdlib>
#include <ctime>
#include <iostream>
#include <malloc.h>
#include <string>
#include <vector>

namespace papayashelf {

namespace {

constexpr double secondsADay = 86400;
constexpr double restartsADay = 145;
constexpr double revisionsADay = 2600;
constexpr double withdrawalsADay = 100;
constexpr std::size_t workspaces = 4800;
constexpr int measuredSeconds = 60;
constexpr int events = 6;

/** What each VM sent and received, and what all of them took, over one stretch of virtual time. */
struct Usage {
    double seconds = 0;
    double processorSeconds = 0;
    std::map<VmId, double> bytes;
    std::map<VmId, double> messages;

    double meanBytes(std::size_t vms) const { return sum(this->bytes) / this->seconds / static_cast<double>(vms); }
    double meanMessages(std::size_t vms) const
    {
        return sum(this->messages) / this->seconds / static_cast<double>(vms);
    }
    double worstBytes() const
    {
        double worst = 0;
        for (const auto& [vm, count] : this->bytes)
            worst = std::max(worst, count);
        return worst / this->seconds;
    }

private:
    static double sum(const std::map<VmId, double>& counts)
    {
        double total = 0;
        for (const auto& [vm, count] : counts)
            total += count;
        return total;
    }
};

double processorSeconds()
{
    return static_cast<double>(std::clock()) / CLOCKS_PER_SEC;
}

/** Counts every message at both ends while it runs the cluster. */
class Meter {
public:
    explicit Meter(ControlCluster& cluster)
        : cluster(cluster)
    {
        cluster.setObserver([this](const VmId& from, const Addressed<ControlNode::Message>& addressed) {
            const double bytes = static_cast<double>(wireBytes(addressed.message));
            for (const VmId& vm : { from, addressed.to }) {
                this->usage.bytes[vm] += bytes;
                this->usage.messages[vm] += 1;
            }
        });
    }

    /** Runs so many equal stretches, with an event at the start of each, and returns what that took. */
    template <typename Event> Usage measure(int stretches, Milliseconds length, const Event& event)
    {
        this->usage = {};
        const double started = processorSeconds();
        for (int stretch = 0; stretch < stretches; ++stretch) {
            event(stretch);
            this->cluster.runFor(length);
        }
        this->usage.processorSeconds = processorSeconds() - started;
        this->usage.seconds = length.seconds() * stretches;
        return this->usage;
    }

private:
    ControlCluster& cluster;
    Usage usage;
};

void print(int vms, const char* load, const Usage& usage, const Usage& steady, double eventsADay)
{
    const auto count = static_cast<std::size_t>(vms);
    // An event load is run faster than it comes: only what it adds is scaled.
    const double scale = eventsADay > 0 ? eventsADay / secondsADay * usage.seconds / events : 1;
    const auto scaled
        = [&](double with, double without) { return eventsADay > 0 ? std::max(0.0, with - without) * scale : with; };
    boost::json::object line;
    line["vms"] = vms;
    line["load"] = load;
    line["messages_per_second"] = scaled(usage.meanMessages(count), steady.meanMessages(count));
    line["bytes_per_second_mean"] = scaled(usage.meanBytes(count), steady.meanBytes(count));
    line["bytes_per_second_worst_vm"] = scaled(usage.worstBytes(), steady.worstBytes());
    line["bytes_per_event_and_vm"] = eventsADay > 0
        ? std::max(0.0, usage.meanBytes(count) - steady.meanBytes(count)) * usage.seconds / events
        : 0.0;
    const double processor = usage.processorSeconds / usage.seconds / vms;
    const double steadyProcessor = steady.processorSeconds / std::max(steady.seconds, 1.0) / vms;
    line["core_share_percent"] = scaled(processor, steadyProcessor) * 100;
    std::cout << boost::json::serialize(line) << std::endl;
}

void printState(int vms, ControlCluster& cluster, std::size_t heapBytes)
{
    std::int64_t worstCalls = 0;
    for (const auto& [vm, calls] : cluster.store.calls)
        worstCalls = std::max(worstCalls, calls);
    boost::json::object line;
    line["vms"] = vms;
    line["load"] = "state";
    line["heap_bytes_per_vm"] = heapBytes / static_cast<std::size_t>(vms);
    line["store_callers"] = cluster.store.calls.size();
    line["store_calls_a_minute_worst_vm"] = static_cast<double>(worstCalls) * 60 / measuredSeconds;
    std::cout << boost::json::serialize(line) << std::endl;
}

void runSize(int vms)
{
    const std::size_t heapBefore = mallinfo2().uordblks;
    ControlCluster cluster(vms, 1);
    cluster.store.publish(makeTestRevision(1, workspaces));
    if (!cluster.settle(1)) {
        std::cerr << "the fleet of " << vms << " did not settle\n";
        std::exit(1);
    }
    const std::size_t heapBytes = mallinfo2().uordblks - heapBefore;
    Meter meter(cluster);
    cluster.store.calls.clear();
    const Usage steady = meter.measure(1, Milliseconds::fromSeconds(measuredSeconds), [](int) {});
    printState(vms, cluster, heapBytes);
    print(vms, "steady", steady, steady, 0);

    const Milliseconds stretch = Milliseconds::fromSeconds(measuredSeconds / events);
    const Usage revisions = meter.measure(events, stretch, [&](int event) {
        cluster.store.publish(makeTestRevision(static_cast<RevisionNumber>(event) + 2, workspaces));
    });
    print(vms, "revisions", revisions, steady, revisionsADay);

    const Usage withdrawals = meter.measure(events, stretch, [&](int event) {
        const VmId entry = cluster.members[static_cast<std::size_t>(event)].vm;
        cluster.send(entry, cluster.at(entry).withdraw(cluster.now(), KeyDigest(std::string(64, char('a' + event)))));
    });
    print(vms, "withdrawals", withdrawals, steady, withdrawalsADay);

    const Usage restarts = meter.measure(events, Milliseconds::fromSeconds(measuredSeconds), [&](int event) {
        Member& member = cluster.members[static_cast<std::size_t>(event)];
        cluster.crash(member.vm);
        cluster.runFor(Milliseconds::fromSeconds(measuredSeconds / 2));
        member.incarnation += 1;
        cluster.start(member);
    });
    Usage whole = restarts;
    whole.seconds = restarts.seconds * 3 / 2; // The waits before the new lives are part of what was counted.
    print(vms, "restarts", whole, steady, restartsADay);
}

} // namespace

} // namespace papayashelf

int main(int argc, char** argv)
{
    std::vector<int> sizes;
    for (int index = 1; index < argc; ++index)
        sizes.push_back(std::atoi(argv[index]));
    if (sizes.empty())
        sizes = { 8, 40, 80, 160, 320 };
    for (const int vms : sizes)
        papayashelf::runSize(vms);
    return 0;
}
