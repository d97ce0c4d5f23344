/**
    Measures how processor time, memory and messages of the ledgers grow with the number of VMs, at 4,800 workspaces
    and 10,000 requests a second over the whole fleet. Prints a JSON line for each size.
*/
#include "../../tests/shares/ShareFleet.h"

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <cmath>
#include <iostream>
#include <malloc.h>

namespace papayashelf {

namespace {

constexpr std::size_t workspaceCount = 4'800;
constexpr std::int64_t requestsPerSecond = 10'000;
constexpr std::int64_t tokensPerSecond = 4'000'000;
constexpr std::int64_t burstSeconds = 10;
constexpr std::int64_t regionCount = 3;
constexpr Milliseconds warmUp { 25'000 };
constexpr Milliseconds measured { 10'000 };

const std::vector<const char*> regions { "altiplano", "oriente", "verapaz" };

std::size_t getHeapBytes()
{
    return mallinfo2().uordblks;
}

/** Workspaces of sizes that fall off as 1 / (place + 20). */
std::vector<double> makeSizes()
{
    std::vector<double> sizes;
    double sum = 0;
    for (std::size_t index = 0; index < workspaceCount; ++index) {
        sizes.push_back(1.0 / static_cast<double>(index + 20));
        sum += sizes.back();
    }
    for (double& size : sizes)
        size /= sum;
    return sizes;
}

WorkspaceId nameOf(std::size_t workspace)
{
    return WorkspaceId("workspace-" + std::to_string(workspace));
}

std::shared_ptr<Governance> makeGovernance(const std::vector<double>& sizes)
{
    auto governance = std::make_shared<Governance>();
    governance->revision = 1;
    for (const char* region : regions)
        governance->regions[RegionId(region)].id = RegionId(region);
    for (std::size_t index = 0; index < sizes.size(); ++index) {
        Workspace& workspace = governance->workspaces[nameOf(index)];
        workspace.id = nameOf(index);
        workspace.tokensPerSecond = static_cast<std::int64_t>(sizes[index] * tokensPerSecond) + 100;
        // Small workspaces too may send a request of a few thousand tokens.
        workspace.burstTokens = std::max<std::int64_t>(12'000, workspace.tokensPerSecond * burstSeconds);
    }
    return governance;
}

VmId vmName(std::size_t index)
{
    return VmId("vm-" + std::to_string(index));
}

/** The VM at which a caller in a region arrives: the first one listed for it, or any. */
VmId pickVm(ShareFleet& fleet, std::size_t vmCount, std::size_t workspace, double followers)
{
    const std::size_t region = static_cast<std::size_t>(fleet.draw(regionCount - 1));
    const std::size_t inRegion = (vmCount - region + regionCount - 1) / regionCount;
    const auto place = static_cast<std::size_t>(fleet.draw(static_cast<std::int64_t>(inRegion) - 1));
    VmId any = vmName(region + place * regionCount);
    if (!fleet.drawChance(followers))
        return any;
    const std::vector<VmId> owners = fleet.getLedger(any).getOwners(nameOf(workspace));
    return owners.empty() || fleet.getRegion(owners.front()) != fleet.getRegion(any) ? any : owners.front();
}

boost::json::object describe(const CallCost& cost)
{
    return { { "calls", cost.calls },
        { "mean_ns", cost.calls == 0 ? 0 : cost.total.count() / static_cast<std::int64_t>(cost.calls) },
        { "longest_us", cost.longest.count() / 1000 } };
}

void measure(std::size_t vmCount, double followers)
{
    const std::size_t bytesBefore = getHeapBytes();
    const std::vector<double> sizes = makeSizes();
    std::discrete_distribution<std::size_t> pickWorkspace(sizes.begin(), sizes.end());
    ShareFleet fleet(1, ShareSettings {});
    std::uint64_t granted = 0;
    std::uint64_t refused = 0;
    fleet.onGranted = [&](const FleetRequest&, Milliseconds) { ++granted; };
    fleet.onRefused = [&](const FleetRequest&, const ReservationRefused&) { ++refused; };
    fleet.faults.jitter = Milliseconds(2);
    for (std::size_t index = 0; index < vmCount; ++index)
        fleet.addVm(vmName(index).string(), regions[index % regions.size()]);
    fleet.publish(makeGovernance(sizes), Milliseconds(500));
    fleet.runUntil(warmUp);
    const boost::json::object startTick = describe(fleet.tickCost);
    const boost::json::object startMessage = describe(fleet.messageCost);
    fleet.tickCost = fleet.messageCost = {};
    const std::uint64_t messagesBefore = fleet.messages;
    const std::uint64_t sentBefore = fleet.bytes;
    const std::uint64_t requests = requestsPerSecond * static_cast<std::uint64_t>(measured.count()) / 1000;
    for (std::uint64_t index = 0; index < requests; ++index) {
        fleet.runUntil(warmUp + Milliseconds(static_cast<std::int64_t>(index * 1000 / requestsPerSecond)));
        const std::size_t workspace = pickWorkspace(fleet.random);
        const std::int64_t used = 40 + fleet.draw(400);
        fleet.submit(pickVm(fleet, vmCount, workspace, followers),
            { index, nameOf(workspace), used + fleet.draw(used), used, Milliseconds(used * 15) });
    }
    fleet.runUntil(warmUp + measured);

    std::size_t owned = 0;
    std::size_t ownedBytes = 0;
    for (const VmId& vm : fleet.getVms()) {
        owned += fleet.getLedger(vm).getOwnedCount();
        ownedBytes += fleet.getLedger(vm).getOwnedBytes();
    }
    const auto perVm = [&](std::uint64_t whole) {
        return static_cast<double>(whole) / static_cast<double>(vmCount) / measured.seconds();
    };
    const std::chrono::nanoseconds spent
        = fleet.reserveCost.total + fleet.settleCost.total + fleet.messageCost.total + fleet.tickCost.total;
    boost::json::object line { { "vms", vmCount }, { "workspaces", workspaceCount },
        { "requests_per_second", requestsPerSecond }, { "callers_following_the_list", followers },
        { "granted", granted }, { "refused", refused } };
    line["messages_per_vm_per_second"] = perVm(fleet.messages - messagesBefore);
    line["bytes_sent_per_vm_per_second"] = perVm(fleet.bytes - sentBefore);
    line["core_percent_per_vm"] = perVm(static_cast<std::uint64_t>(spent.count())) / 1e7;
    line["reserve"] = describe(fleet.reserveCost);
    line["settle"] = describe(fleet.settleCost);
    line["message"] = describe(fleet.messageCost);
    line["tick"] = describe(fleet.tickCost);
    line["start_tick"] = startTick;
    line["start_message"] = startMessage;
    line["owned_per_vm"] = static_cast<double>(owned) / static_cast<double>(vmCount);
    line["bytes_per_owned_workspace"] = static_cast<double>(ownedBytes) / static_cast<double>(owned);
    line["heap_bytes_per_vm"] = static_cast<double>(getHeapBytes() - bytesBefore) / static_cast<double>(vmCount);
    std::cout << boost::json::serialize(line) << std::endl;
}

} // namespace

} // namespace papayashelf

int main()
{
    for (const std::size_t vms : { 8, 40, 160, 320 }) {
        for (const double followers : { 0.9, 0.5 })
            papayashelf::measure(vms, followers);
    }
    return 0;
}
