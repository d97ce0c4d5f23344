/**
    Measures wrongful refusals: requests that one bucket for the whole fleet, without any delay, admits in the same
    trace, and that a policy refuses. Prints a JSON line for each policy, fault and seed.
*/
#include "../../tests/shares/ShareFleet.h"
#include "BucketPolicies.h"
#include "ShareTrace.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <iostream>
#include <numeric>

namespace papayashelf {

namespace {

constexpr Milliseconds patience { 2000 };
constexpr Milliseconds warmUp { 60'000 };
constexpr Milliseconds faultBegins { 200'000 };
constexpr Milliseconds faultEnds { 300'000 };
constexpr Milliseconds localDelay { 1 };
constexpr Milliseconds wideDelay { 30 };

enum class Fault {
    None,
    VmLoss,
    RegionCut,
};

struct Vm {
    const char* name;
    std::size_t region;
};

const std::vector<Vm> vms { { "a1", 0 }, { "a2", 0 }, { "a3", 0 }, { "o1", 1 }, { "o2", 1 }, { "v1", 2 }, { "v2", 2 } };
constexpr std::size_t lostVm = 0;
constexpr std::size_t cutRegion = 2;
constexpr std::uint64_t leaderBytesPerRequest = 192;

struct Result {
    std::vector<char> admitted;
    std::vector<std::vector<Milliseconds>> waits; /**< By workspace. */
    UsageObserver observer;
    std::uint64_t messages = 0;
    std::uint64_t bytes = 0;
};

Result makeResult(const Trace& trace)
{
    Result result;
    result.admitted.assign(trace.requests.size(), 0);
    result.waits.resize(trace.workspaces.size());
    for (const TraceWorkspace& each : trace.workspaces)
        result.observer.setLimit(WorkspaceId(each.name), Milliseconds(0), { each.tokensPerSecond, each.burstTokens });
    return result;
}

void noteAdmitted(Result& result, const Trace& trace, std::size_t index, Milliseconds at, Milliseconds arrived)
{
    const TraceRequest& request = trace.requests[index];
    result.admitted[index] = 1;
    result.waits[request.workspace].push_back(at - arrived);
    result.observer.add(WorkspaceId(trace.workspaces[request.workspace].name), at, request.used);
}

bool isLost(Fault fault, std::size_t vm, Milliseconds at)
{
    return fault == Fault::VmLoss && vm == lostVm && at >= faultBegins && at < faultEnds;
}

/** The VM that a caller without a list takes: any live one of its region. */
std::size_t pickVm(const TraceRequest& request, Fault fault)
{
    std::vector<std::size_t> near;
    for (std::size_t vm = 0; vm < vms.size(); ++vm) {
        if (vms[vm].region == request.region && !isLost(fault, vm, request.at))
            near.push_back(vm);
    }
    return near[request.choice % near.size()];
}

/** Divides every workspace over that many buckets and lets each request use the one that is chosen for it. */
Result runBuckets(const Trace& trace, std::size_t count, const std::function<std::size_t(const TraceRequest&)>& choose)
{
    Result result = makeResult(trace);
    ActionQueue actions;
    std::vector<std::vector<std::unique_ptr<QueuedBucket>>> buckets(trace.workspaces.size());
    for (std::size_t workspace = 0; workspace < trace.workspaces.size(); ++workspace) {
        const TraceWorkspace& each = trace.workspaces[workspace];
        for (std::size_t index = 0; index < count; ++index) {
            const ShareLimit part = computeEqualPart({ each.tokensPerSecond, each.burstTokens }, index, count);
            buckets[workspace].push_back(std::make_unique<QueuedBucket>(actions, part, Milliseconds(0)));
        }
    }
    for (std::size_t index = 0; index < trace.requests.size(); ++index) {
        const TraceRequest& request = trace.requests[index];
        actions.at(request.at + warmUp, [&, index] {
            const TraceRequest& mine = trace.requests[index];
            QueuedBucket& bucket = *buckets[mine.workspace][choose(mine)];
            bucket.reserve(mine.reserved, patience, [&, index](bool isAdmitted) {
                if (!isAdmitted)
                    return;
                const Milliseconds at = actions.now();
                noteAdmitted(result, trace, index, at, trace.requests[index].at + warmUp);
                actions.at(at + trace.requests[index].duration,
                    [&, index, at] { bucket.refund(at, trace.requests[index].reserved - trace.requests[index].used); });
            });
        });
    }
    actions.run();
    return result;
}

/** One VM holds everything; the others ask it. When it is lost, the next one starts with empty buckets. */
Result runLeader(const Trace& trace, Fault fault)
{
    constexpr Milliseconds takeover { 10'000 }; // A lease of that length has to run out first.
    Result result = makeResult(trace);
    ActionQueue actions;
    std::vector<std::vector<std::unique_ptr<QueuedBucket>>> leaders(2);
    for (const TraceWorkspace& each : trace.workspaces) {
        const ShareLimit limit { each.tokensPerSecond, each.burstTokens };
        leaders[0].push_back(std::make_unique<QueuedBucket>(actions, limit, Milliseconds(0)));
        leaders[1].push_back(std::make_unique<QueuedBucket>(actions, limit, warmUp + faultBegins + takeover));
    }
    const auto leaderAt = [&](Milliseconds at) -> std::optional<std::size_t> {
        if (fault != Fault::VmLoss || at < warmUp + faultBegins)
            return 0;
        return at < warmUp + faultBegins + takeover ? std::nullopt : std::optional<std::size_t>(1);
    };
    for (std::size_t index = 0; index < trace.requests.size(); ++index) {
        actions.at(trace.requests[index].at + warmUp, [&, index] {
            const TraceRequest& request = trace.requests[index];
            const Milliseconds arrived = actions.now();
            const std::optional<std::size_t> leader = leaderAt(arrived);
            const bool isCut = fault == Fault::RegionCut && request.region == cutRegion && request.at >= faultBegins
                && request.at < faultEnds;
            if (!leader || isCut)
                return;
            const Milliseconds delay = request.region == 0 ? localDelay : wideDelay;
            result.messages += 3;
            result.bytes += leaderBytesPerRequest;
            actions.at(arrived + delay, [&, index, leader, delay, arrived] {
                const TraceRequest& mine = trace.requests[index];
                QueuedBucket& bucket = *leaders[*leader][mine.workspace];
                bucket.reserve(mine.reserved, patience - delay - delay, [&, index, leader, delay, arrived](bool isIn) {
                    const Milliseconds chargedAt = actions.now();
                    if (!isIn || leaderAt(chargedAt) != leader)
                        return;
                    noteAdmitted(result, trace, index, chargedAt + delay, arrived);
                    const TraceRequest& done = trace.requests[index];
                    actions.at(chargedAt + delay + done.duration + delay, [&, index, leader, chargedAt] {
                        const TraceRequest& ended = trace.requests[index];
                        leaders[*leader][ended.workspace]->refund(chargedAt, ended.reserved - ended.used);
                    });
                });
            });
        });
    }
    actions.run();
    return result;
}

std::size_t pickListedVm(ShareFleet& fleet, const Trace& trace, const TraceRequest& request, Fault fault)
{
    const std::size_t any = pickVm(request, fault);
    if (!request.followsList)
        return any;
    const WorkspaceId workspace(trace.workspaces[request.workspace].name);
    for (const VmId& owner : fleet.getLedger(VmId(vms[any].name)).getOwners(workspace)) {
        for (std::size_t vm = 0; vm < vms.size(); ++vm) {
            if (owner == VmId(vms[vm].name) && vms[vm].region == request.region && !isLost(fault, vm, request.at))
                return vm;
        }
    }
    return any;
}

void planFault(ShareFleet& fleet, const Trace& trace, Fault fault)
{
    if (fault == Fault::VmLoss) {
        const VmId lost(vms[lostVm].name);
        fleet.at(warmUp + faultBegins, [&fleet, lost] { fleet.kill(lost); });
        fleet.at(warmUp + faultEnds, [&fleet, lost] { fleet.start(lost); });
    }
    if (fault == Fault::RegionCut) {
        const RegionId cut(trace.regions[cutRegion]);
        fleet.at(warmUp + faultBegins, [&fleet, cut] { fleet.faults.isolatedRegions = { cut }; });
        fleet.at(warmUp + faultEnds, [&fleet] { fleet.faults.isolatedRegions = {}; });
    }
}

Result runLedgers(const Trace& trace, Fault fault, std::uint64_t seed)
{
    Result result = makeResult(trace);
    ShareFleet fleet(seed, ShareSettings {});
    fleet.faults.jitter = Milliseconds(3);
    for (const Vm& vm : vms)
        fleet.addVm(vm.name, trace.regions[vm.region]);
    fleet.publish(makeTraceGovernance(trace), Milliseconds(1000));
    fleet.onGranted = [&](const FleetRequest& granted, Milliseconds at) {
        noteAdmitted(result, trace, granted.id, at, trace.requests[granted.id].at + warmUp);
    };
    planFault(fleet, trace, fault);
    fleet.runUntil(warmUp - Milliseconds(1));
    const std::uint64_t messagesBefore = fleet.messages;
    const std::uint64_t bytesBefore = fleet.bytes;
    for (std::size_t index = 0; index < trace.requests.size(); ++index) {
        const TraceRequest& request = trace.requests[index];
        fleet.runUntil(request.at + warmUp);
        const std::size_t vm = pickListedVm(fleet, trace, request, fault);
        fleet.submit(VmId(vms[vm].name),
            { index, WorkspaceId(trace.workspaces[request.workspace].name), request.reserved, request.used,
                request.duration, patience });
    }
    fleet.runUntil(trace.length + warmUp + Milliseconds::fromSeconds(30));
    result.messages = fleet.messages - messagesBefore;
    result.bytes = fleet.bytes - bytesBefore;
    return result;
}

const char* toString(Fault fault)
{
    switch (fault) {
    case Fault::None:
        return "none";
    case Fault::VmLoss:
        return "vm_loss";
    case Fault::RegionCut:
        return "region_cut";
    }
    return "unknown";
}

void print(const Trace& trace, const char* policy, Fault fault, std::uint64_t seed, bool withSpikes, Result result,
    const Result& reference)
{
    boost::json::object line { { "policy", policy }, { "fault", toString(fault) }, { "seed", seed },
        { "spikes", withSpikes }, { "load_factor", trace.loadFactor }, { "requests", trace.requests.size() } };
    std::vector<std::size_t> rightful(trace.workspaces.size());
    std::vector<std::size_t> wrongful(trace.workspaces.size());
    std::size_t admitted = 0;
    std::size_t beyondReference = 0;
    for (std::size_t index = 0; index < trace.requests.size(); ++index) {
        const std::size_t workspace = trace.requests[index].workspace;
        admitted += result.admitted[index] ? 1 : 0;
        beyondReference += result.admitted[index] && !reference.admitted[index] ? 1 : 0;
        rightful[workspace] += reference.admitted[index] ? 1 : 0;
        wrongful[workspace] += reference.admitted[index] && !result.admitted[index] ? 1 : 0;
    }
    boost::json::object perWorkspace;
    std::int64_t worst = 0;
    std::size_t steadyRightful = 0;
    std::size_t steadyWrongful = 0;
    for (std::size_t workspace = 0; workspace < trace.workspaces.size(); ++workspace) {
        const TraceWorkspace& each = trace.workspaces[workspace];
        perWorkspace[each.name]
            = 100.0 * static_cast<double>(wrongful[workspace]) / static_cast<double>(rightful[workspace]);
        worst = std::max(worst, result.observer.findWorstExcess(WorkspaceId(each.name)));
        if (each.spike == 1) {
            steadyRightful += rightful[workspace];
            steadyWrongful += wrongful[workspace];
        }
    }
    const auto percent = [](std::size_t part, std::size_t whole) {
        return 100.0 * static_cast<double>(part) / static_cast<double>(std::max<std::size_t>(1, whole));
    };
    const std::size_t allRightful = std::accumulate(rightful.begin(), rightful.end(), std::size_t { 0 });
    const std::size_t allWrongful = std::accumulate(wrongful.begin(), wrongful.end(), std::size_t { 0 });
    boost::json::object waits;
    for (std::size_t workspace = 0; workspace < trace.workspaces.size(); ++workspace) {
        std::vector<Milliseconds>& sorted = result.waits[workspace];
        std::sort(sorted.begin(), sorted.end());
        waits[trace.workspaces[workspace].name] = sorted.empty() ? 0 : sorted[sorted.size() * 99 / 100].count();
    }
    line["reference_admitted"] = allRightful;
    line["admitted"] = admitted;
    line["wrongful_percent"] = percent(allWrongful, allRightful);
    line["wrongful_percent_within_rate"] = percent(steadyWrongful, steadyRightful);
    line["admitted_beyond_reference"] = beyondReference;
    line["wrongful_percent_by_workspace"] = perWorkspace;
    line["over_admitted_tokens"] = static_cast<double>(worst) / 1000;
    line["messages_per_request"] = static_cast<double>(result.messages) / static_cast<double>(trace.requests.size());
    line["bytes_per_request"] = static_cast<double>(result.bytes) / static_cast<double>(trace.requests.size());
    line["wait_p99_ms_by_workspace"] = waits;
    std::cout << boost::json::serialize(line) << std::endl;
}

void measure(std::uint64_t seed, bool withSpikes, double loadFactor)
{
    const Trace trace = makeTrace(seed, withSpikes, loadFactor);
    const Result reference = runBuckets(trace, 1, [](const TraceRequest&) { return 0; });
    for (const Fault fault : { Fault::None, Fault::VmLoss, Fault::RegionCut }) {
        print(trace, "owners_and_loans", fault, seed, withSpikes, runLedgers(trace, fault, seed), reference);
        const auto pick = [&](const TraceRequest& request) { return pickVm(request, fault); };
        print(trace, "fixed_fractions", fault, seed, withSpikes, runBuckets(trace, vms.size(), pick), reference);
        print(trace, "single_leader", fault, seed, withSpikes, runLeader(trace, fault), reference);
    }
}

} // namespace

} // namespace papayashelf

int main()
{
    for (std::uint64_t seed = 1; seed <= 3; ++seed)
        papayashelf::measure(seed, true, 1);
    for (std::uint64_t seed = 1; seed <= 3; ++seed)
        papayashelf::measure(seed, false, 1);
    papayashelf::measure(1, false, 1.3);
    return 0;
}
