/**
    Measures what routing and dispatch cost one VM at the size to design for, and prints one JSON line for each size.

    Usage: DecisionCost [requests] [upstreams]

    The figures of memory only hold for the first size of a process; name a size to have one alone.
*/
#include "dispatch/dispatch.h"
#include "foundation/hashing/StableHash.h"
#include <boost/json/serialize.hpp>
#include <cstdlib>
#include <ctime>
#include <fstream>
#include <iostream>

namespace papayashelf {

namespace {

struct Size {
    int upstreams = 0;
    int vms = 0;
    int workspaces = 0;
};

constexpr int regionCount = 3;
constexpr int serviceCount = 9;
constexpr std::size_t prefixBlocks = 16;

RegionId regionOf(int number)
{
    return RegionId("region-" + std::to_string(number % regionCount));
}
ServiceId serviceOf(int number)
{
    return ServiceId("service-" + std::to_string(number % serviceCount));
}

Governance makeGovernance(const Size& size)
{
    Governance governance;
    for (int region = 0; region < regionCount; ++region)
        governance.regions[regionOf(region)].id = regionOf(region);
    for (int number = 0; number < size.upstreams; ++number) {
        Service& service = governance.services[serviceOf(number / regionCount)];
        service.id = serviceOf(number / regionCount);
        service.kind = ServiceKind::ModelEngine;
        Upstream upstream;
        upstream.id = UpstreamId("upstream-" + std::to_string(number));
        upstream.region = regionOf(number);
        upstream.endpoint.address = "10.1." + std::to_string(number / 250) + "." + std::to_string(number % 250);
        upstream.slots = 32;
        service.upstreams.push_back(upstream);
    }
    for (int number = 0; number < size.workspaces; ++number) {
        Workspace& workspace = governance.workspaces[WorkspaceId("workspace-" + std::to_string(number))];
        workspace.id = WorkspaceId("workspace-" + std::to_string(number));
        workspace.tokensPerSecond = 500;
    }
    return governance;
}

std::vector<Member> makeMembers(const Size& size)
{
    std::vector<Member> members;
    for (int number = 0; number < size.vms; ++number) {
        Member member;
        member.vm = VmId("vm-" + std::to_string(number));
        member.region = regionOf(number);
        members.push_back(member);
    }
    return members;
}

AdmittedRequest makeRequest(RequestId id, const Size& size, std::mt19937_64& random)
{
    AdmittedRequest request;
    request.arrival.request = id;
    request.arrival.promptTokens = 1000;
    request.arrival.maximumTokens = 240;
    request.arrival.isStreamed = true;
    const std::uint64_t talk = random() % 5000;
    for (std::size_t block = 0; block < prefixBlocks; ++block)
        request.arrival.prefixHashes.push_back(combineHashes(talk, block + 1));
    request.workspace
        = WorkspaceId("workspace-" + std::to_string(random() % static_cast<std::uint64_t>(size.workspaces)));
    request.service = serviceOf(static_cast<int>(random() % serviceCount));
    request.kind = ServiceKind::ModelEngine;
    request.costTokens = 1240;
    request.deadline = Milliseconds::fromSeconds(1'000'000);
    request.isIdempotent = true;
    return request;
}

std::int64_t residentKilobytes()
{
    std::ifstream status("/proc/self/status");
    for (std::string word; status >> word;) {
        if (word == "VmRSS:") {
            std::int64_t kilobytes = 0;
            status >> kilobytes;
            return kilobytes;
        }
    }
    return 0;
}

double processorSeconds()
{
    return static_cast<double>(std::clock()) / CLOCKS_PER_SEC;
}

void measure(const Size& size, RequestId requests)
{
    const std::int64_t memoryBefore = residentKilobytes();
    const auto governance = std::make_shared<const Governance>(makeGovernance(size));
    const std::int64_t memoryOfGovernance = residentKilobytes() - memoryBefore;
    Router router({}, regionOf(0), VmId("vm-0"));
    router.setGovernance(governance);
    router.setMembers(makeMembers(size));
    Dispatcher dispatcher({}, VmId("vm-0"), 1, Milliseconds(), 1);

    std::mt19937_64 random(1);
    std::vector<AdmittedRequest> made;
    for (RequestId id = 0; id < requests; ++id)
        made.push_back(makeRequest(id, size, random));
    const std::int64_t memoryWithRequests = residentKilobytes();

    constexpr std::size_t runningAtOnce = 128;
    std::vector<StartAttempt> running;
    const double from = processorSeconds();
    for (RequestId id = 0; id < requests; ++id) {
        const Milliseconds now(static_cast<std::int64_t>(id) * 30);
        const DispatchOutput output = dispatcher.submit(now, made[id], router);
        for (const RequestDirective& directive : output.directives) {
            if (const auto* const started = std::get_if<StartAttempt>(&directive))
                running.push_back(*started);
        }
        if (running.size() < runningAtOnce)
            continue;
        std::swap(running[random() % running.size()], running.back());
        AttemptEnded ended;
        ended.request = running.back().request;
        ended.attempt = running.back().attempt;
        ended.status = 200;
        ended.answerTokens = 240;
        running.pop_back();
        dispatcher.handle(now, ended, router);
    }
    const double perRequest = (processorSeconds() - from) * 1e6 / static_cast<double>(requests);

    constexpr int reports = 20'000;
    const std::vector<Upstream> watched = router.getWatchedUpstreams();
    const double reportsFrom = processorSeconds();
    for (int number = 0; number < reports; ++number) {
        UpstreamLoadReport load;
        load.upstream = watched[static_cast<std::size_t>(number) % watched.size()].id;
        load.running = 10;
        for (int prefix = 0; prefix < 16; ++prefix)
            load.prefixesAdded.push_back(random());
        router.handleLoad(Milliseconds(number), load);
    }
    const double perReport = (processorSeconds() - reportsFrom) * 1e6 / reports;
    const boost::json::object line { { "upstreams", size.upstreams }, { "vms", size.vms },
        { "workspaces", size.workspaces }, { "microseconds_per_request", perRequest },
        { "microseconds_per_load_report", perReport }, { "upstreams_watched", watched.size() },
        { "governance_kilobytes", memoryOfGovernance },
        { "decision_kilobytes", residentKilobytes() - memoryWithRequests } };
    std::cout << boost::json::serialize(line) << std::endl;
}

} // namespace

} // namespace papayashelf

int main(int count, char** arguments)
{
    using namespace papayashelf;
    constexpr RequestId defaultRequests = 50'000;
    const RequestId requests = count > 1 ? std::strtoull(arguments[1], nullptr, 10) : defaultRequests;
    const int only = count > 2 ? std::atoi(arguments[2]) : 0;
    for (const Size& size : { Size { 60, 32, 480 }, Size { 300, 160, 2400 }, Size { 600, 320, 4800 } }) {
        if (only == 0 || only == size.upstreams)
            measure(size, requests);
    }
    return 0;
}
