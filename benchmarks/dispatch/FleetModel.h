#pragma once

#include "EngineModel.h"
#include "Trace.h"
#include "dispatch/dispatch.h"
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <set>
#include <vector>

namespace papayashelf::measure {

/** What to measure with: one policy or baseline. */
struct Variant {
    std::string name;
    RoutingSettings routing;
    DispatchSettings dispatch;
};

/** What became of one call. */
struct CallResult {
    bool isStarted = false;
    bool isDone = false;
    bool isRefused = false;
    bool isAway = false; /**< Any attempt went to another region. */
    double firstToken = 0; /**< Milliseconds from the call. */
};

/** Three regions with VMs and engines on virtual time; small, and only for comparing policies with one another. */
class FleetModel {
public:
    FleetModel(
        const Deployment& deployment, const Variant& variant, const Trace& trace, std::uint64_t seed, bool hasFaults);

    void run();

    std::vector<CallResult> results;
    double busySeconds() const;

private:
    struct Vm {
        std::size_t region = 0;
        VmId id;
        std::unique_ptr<Router> router;
        std::unique_ptr<Dispatcher> dispatcher;
    };

    /** A request that one VM relayed to another. */
    struct Relay {
        std::size_t origin = 0;
        RequestId request = 0;
        std::uint32_t attempt = 0;
        std::size_t call = 0;
        std::size_t target = 0;
    };

    struct Event {
        double at = 0;
        std::uint64_t order = 0;
        std::function<void()> act;
        bool operator<(const Event& other) const
        {
            return std::pair(this->at, this->order) > std::pair(other.at, other.order);
        }
    };

    void after(double milliseconds, std::function<void()> act);
    Milliseconds now() const { return Milliseconds(static_cast<std::int64_t>(this->time)); }

    void build(const Variant& variant, std::uint64_t seed);
    void scheduleFaults();
    void arrive(std::size_t call);
    AdmittedRequest admit(std::size_t call, RequestId id, bool isRelayed) const;
    void apply(std::size_t vm, const DispatchOutput& output);
    void apply(std::size_t vm, const StartAttempt& start);
    void apply(std::size_t vm, const StartRelay& start);
    void apply(std::size_t vm, const CancelAttempt& cancel);
    void finish(std::size_t vm, RequestId request);
    void refuse(std::size_t vm, const RefuseRequest& refused);
    void endRelay(const Relay& relay, AttemptResult result);
    void report(std::size_t vm, AttemptEnded ended);
    void noteFirstToken(const Job& job);

    void kick(Engine& engine);
    void endStep(Engine& engine);
    void setUp(std::size_t region, bool isUp);
    void reportLoads();
    void spreadSummaries();
    void tickVms();

    bool isCut(std::size_t left, std::size_t right) const;
    double crossLink(std::size_t from, std::size_t to, double bytes);
    static std::size_t callOf(RequestId request) { return static_cast<std::size_t>(request % relayStride); }

    static constexpr RequestId relayStride = 100'000'000;

    const Deployment& deployment;
    const Trace& trace;
    bool hasFaults;
    double time = 0;
    std::uint64_t events = 0;
    std::priority_queue<Event> queue;
    std::vector<Vm> vms;
    std::map<VmId, std::size_t> vmNames;
    std::vector<Engine> engines;
    std::map<UpstreamId, std::size_t> engineNames;
    std::map<RequestId, Relay> relays;
    std::map<RequestId, std::int64_t> delivered; /**< Tokens by request of the VM that the caller asked. */
    std::map<std::pair<std::size_t, std::size_t>, double> linkFreeAt;
    std::set<std::pair<std::size_t, std::size_t>> cuts;
    std::uint64_t relayCount = 0;
    std::mt19937_64 random;
};

} // namespace papayashelf::measure
