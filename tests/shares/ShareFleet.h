#pragma once

#include "shares/shares.h"

#include <algorithm>
#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace papayashelf {

/** Limits of one workspace from a given time on. */
struct LimitChange {
    Milliseconds from;
    ShareLimit limit;
};

/** Records the tokens that requests use, and finds intervals with more than burst + rate * length tokens. */
class UsageObserver {
public:
    void setLimit(const WorkspaceId& workspace, Milliseconds from, const ShareLimit& limit)
    {
        this->limits[workspace].push_back({ from, limit });
    }

    void add(const WorkspaceId& workspace, Milliseconds at, std::int64_t tokens)
    {
        this->uses[workspace].emplace_back(at, tokens);
    }

    std::int64_t getUsed(const WorkspaceId& workspace) const
    {
        std::int64_t sum = 0;
        if (const auto found = this->uses.find(workspace); found != this->uses.end()) {
            for (const auto& use : found->second)
                sum += use.second;
        }
        return sum;
    }

    /** Returns the largest excess over any interval, in thousandths of a token; 0 if no interval exceeds the limits. */
    std::int64_t findWorstExcess(const WorkspaceId& workspace) const
    {
        const auto found = this->uses.find(workspace);
        if (found == this->uses.end())
            return 0;
        auto sorted = found->second;
        std::stable_sort(sorted.begin(), sorted.end(), [](const auto& a, const auto& b) { return a.first < b.first; });
        const std::vector<LimitChange>& steps = this->limits.at(workspace);
        std::int64_t worst = 0;
        std::int64_t excess = std::numeric_limits<std::int64_t>::min() / 4;
        std::size_t step = 0;
        Milliseconds last = steps.front().from;
        for (const auto& [at, tokens] : sorted) {
            while (step + 1 < steps.size() && steps[step + 1].from <= at) {
                excess -= steps[step].limit.tokensPerSecond * (steps[step + 1].from - last).count();
                last = steps[++step].from;
            }
            excess -= steps[step].limit.tokensPerSecond * (at - last).count();
            last = at;
            excess = std::max(excess, -steps[step].limit.burstTokens * 1000) + tokens * 1000;
            worst = std::max(worst, excess);
        }
        return worst;
    }

private:
    std::map<WorkspaceId, std::vector<LimitChange>> limits;
    std::map<WorkspaceId, std::vector<std::pair<Milliseconds, std::int64_t>>> uses;
};

/** Faults of the network and the platform. */
struct FleetFaults {
    double loss = 0;
    double repeat = 0;
    Milliseconds jitter { 0 };
    bool isStoreDown = false;
    double lostStoreReplies = 0; /**< Probability that a store write takes effect but reports an unknown outcome. */
    bool isStoreStale = false; /**< Reads return the first value that was written to a key. */
    std::set<RegionId> isolatedRegions; /**< These regions can reach neither other regions nor the store. */
    std::set<VmId> isolatedVms; /**< These VMs can reach neither other VMs nor the store, but still serve callers. */
    Milliseconds interRegionDelay { 30 }; /**< One-way delay between regions. */
};

/** A request that a test submits. */
struct FleetRequest {
    RequestId id = 0;
    WorkspaceId workspace;
    std::int64_t reserved = 0;
    std::int64_t used = 0;
    Milliseconds duration;
    Milliseconds waitLimit { 2000 };
};

/** Time spent in one kind of ledger call. */
struct CallCost {
    std::uint64_t calls = 0;
    std::chrono::nanoseconds total { 0 };
    std::chrono::nanoseconds longest { 0 };
};

/** Simulates ledgers, their network and a store in virtual time. Each ledger has its own clock offset. */
class ShareFleet {
public:
    ShareFleet(std::uint64_t seed, const ShareSettings& settings)
        : random(seed)
        , settings(settings)
    {
    }

    FleetFaults faults;
    UsageObserver observer;
    std::function<void(const FleetRequest&, Milliseconds)> onGranted;
    std::function<void(const FleetRequest&, const ReservationRefused&)> onRefused;
    CallCost reserveCost;
    CallCost settleCost;
    CallCost messageCost;
    CallCost tickCost;
    std::uint64_t messages = 0;
    std::uint64_t bytes = 0;
    std::uint64_t storeCalls = 0;
    std::vector<std::string> events;

    Milliseconds now() const { return this->time; }

    void addVm(const std::string& name, const std::string& region)
    {
        Node node;
        node.vm = VmId(name);
        node.region = RegionId(region);
        this->nodes[node.vm] = std::move(node);
        this->start(VmId(name));
    }

    /** Starts a new process with an empty ledger on the VM. */
    void start(const VmId& vm)
    {
        Node& node = this->nodes.at(vm);
        node.incarnation = ++this->lastIncarnation;
        node.isAlive = true;
        node.pausedUntil = {};
        node.offset = Milliseconds(static_cast<std::int64_t>(this->random() % 1'000'000));
        node.ledger = std::make_unique<ShareLedger>(vm, node.incarnation, node.region, this->settings, this->random());
        node.adoptedRevisions.clear();
        node.timer = Milliseconds::never();
        this->listedVms.insert(vm);
        if (this->governance)
            this->adopt(vm, this->governance);
        this->schedule(vm);
    }

    void kill(const VmId& vm) { this->nodes.at(vm).isAlive = false; }
    void unlist(const VmId& vm) { this->listedVms.erase(vm); }
    void pause(const VmId& vm, Milliseconds length) { this->nodes.at(vm).pausedUntil = this->time + length; }
    bool isAlive(const VmId& vm) const { return this->nodes.at(vm).isAlive; }
    ShareLedger& getLedger(const VmId& vm) { return *this->nodes.at(vm).ledger; }
    const RegionId& getRegion(const VmId& vm) const { return this->nodes.at(vm).region; }
    std::string getStored(const std::string& key) const
    {
        const auto found = this->store.find(key);
        return found == this->store.end() ? std::string() : found->second.value;
    }

    void setStored(const std::string& key, const std::string& value)
    {
        StoreEntry& entry = this->store[key];
        entry = { key, value, entry.version + 1 };
    }

    std::vector<VmId> getVms() const
    {
        std::vector<VmId> vms;
        for (const auto& [vm, node] : this->nodes)
            vms.push_back(vm);
        return vms;
    }

    void release(const VmId& vm)
    {
        Node& node = this->nodes.at(vm);
        this->perform(vm, node.ledger->release(this->time + node.offset));
    }

    /** Puts a revision in force on every VM, each after a random time up to the delay. */
    void publish(const std::shared_ptr<const Governance>& next, Milliseconds delay)
    {
        this->governance = next;
        for (const auto& [vm, node] : this->nodes) {
            const Milliseconds at = this->time + Milliseconds(this->draw(delay.count()));
            this->at(at, [this, vm = vm, next] { this->adoptWhenReachable(vm, next); });
        }
    }

    /** Submits a request to a VM. A dead VM drops it, and a paused VM handles it after the pause. */
    void submit(const VmId& vm, const FleetRequest& request)
    {
        Node& node = this->nodes.at(vm);
        if (!node.isAlive)
            return;
        if (this->isPaused(node)) {
            this->at(node.pausedUntil, [this, vm, request] { this->submit(vm, request); });
            return;
        }
        this->requests[request.id] = request;
        const Milliseconds local = this->time + node.offset;
        this->perform(vm, timed(this->reserveCost, [&] {
            return node.ledger->reserve(
                local, request.id, request.workspace, request.reserved, local + request.waitLimit);
        }));
    }

    void at(Milliseconds when, std::function<void()> action)
    {
        this->queue.push({ std::max(when, this->time), ++this->lastEvent, std::move(action) });
    }

    void runUntil(Milliseconds end)
    {
        if (!this->isHousekeeping) {
            this->isHousekeeping = true;
            this->housekeep();
        }
        while (!this->queue.empty() && this->queue.top().when <= end) {
            Event event = this->queue.top();
            this->queue.pop();
            this->time = event.when;
            event.action();
        }
        this->time = end;
    }

    std::int64_t draw(std::int64_t most)
    {
        return most <= 0 ? 0 : static_cast<std::int64_t>(this->random() % static_cast<std::uint64_t>(most + 1));
    }

    bool drawChance(double probability)
    {
        return std::uniform_real_distribution<double>(0, 1)(this->random) < probability;
    }

    std::mt19937_64 random;

private:
    struct Node {
        VmId vm;
        RegionId region;
        Incarnation incarnation = 0;
        bool isAlive = false;
        Milliseconds pausedUntil;
        Milliseconds offset;
        Milliseconds timer = Milliseconds::never();
        std::unique_ptr<ShareLedger> ledger;
        std::set<RevisionNumber> adoptedRevisions;
    };

    struct Event {
        Milliseconds when;
        std::uint64_t number = 0;
        std::function<void()> action;
        bool operator<(const Event& other) const
        {
            return std::pair(this->when, this->number) > std::pair(other.when, other.number);
        }
    };

    static constexpr Milliseconds housekeepingPeriod { 250 };
    static constexpr Milliseconds intraRegionDelay { 1 };
    static constexpr Milliseconds storeDelay { 5 };

    /** Makes a ledger call and adds its duration to the cost. */
    template <typename Call> static ShareOutput timed(CallCost& cost, const Call& call)
    {
        const auto begin = std::chrono::steady_clock::now();
        ShareOutput output = call();
        const auto spent = std::chrono::steady_clock::now() - begin;
        ++cost.calls;
        cost.total += spent;
        cost.longest = std::max<std::chrono::nanoseconds>(cost.longest, spent);
        return output;
    }

    bool isPaused(const Node& node) const { return node.pausedUntil > this->time; }

    bool canReach(const Node& from, const Node& to) const
    {
        if (this->faults.isolatedVms.contains(from.vm) || this->faults.isolatedVms.contains(to.vm))
            return from.vm == to.vm;
        return from.region == to.region
            || (!this->faults.isolatedRegions.contains(from.region)
                && !this->faults.isolatedRegions.contains(to.region));
    }

    bool isIsolated(const Node& node) const
    {
        return this->faults.isolatedRegions.contains(node.region) || this->faults.isolatedVms.contains(node.vm);
    }

    bool canReachStore(const Node& node) const { return !this->faults.isStoreDown && !this->isIsolated(node); }

    void schedule(const VmId& vm)
    {
        Node& node = this->nodes.at(vm);
        const Milliseconds due = node.ledger->getNextDeadline();
        if (due >= Milliseconds::never())
            return;
        const Milliseconds when = std::max(due - node.offset, this->time);
        if (node.timer <= when && node.timer > this->time)
            return;
        node.timer = when;
        this->at(when, [this, vm, when, incarnation = node.incarnation] { this->fireTimer(vm, when, incarnation); });
    }

    void fireTimer(const VmId& vm, Milliseconds when, Incarnation incarnation)
    {
        Node& node = this->nodes.at(vm);
        if (!node.isAlive || node.incarnation != incarnation || node.timer != when)
            return;
        if (this->isPaused(node)) {
            node.timer = node.pausedUntil;
            this->at(node.pausedUntil,
                [this, vm, until = node.pausedUntil, incarnation] { this->fireTimer(vm, until, incarnation); });
            return;
        }
        node.timer = Milliseconds::never();
        this->perform(vm, timed(this->tickCost, [&] { return node.ledger->tick(this->time + node.offset); }));
    }

    void perform(const VmId& vm, const ShareOutput& output)
    {
        Node& node = this->nodes.at(vm);
        for (const ReservationGranted& granted : output.granted)
            this->handleGranted(vm, granted.request);
        for (const ReservationRefused& refused : output.refused) {
            if (this->onRefused)
                this->onRefused(this->requests.at(refused.request), refused);
            this->requests.erase(refused.request);
        }
        for (const auto& send : output.sends)
            this->send(node, send);
        for (const StoreCall& call : output.storeCalls)
            this->callStore(vm, call);
        for (const ShareEvent& event : output.events)
            this->events.push_back(event.event);
        this->schedule(vm);
    }

    void handleGranted(const VmId& vm, RequestId id)
    {
        const FleetRequest request = this->requests.at(id);
        this->observer.add(request.workspace, this->time, request.used);
        if (this->onGranted)
            this->onGranted(request, this->time);
        this->at(this->time + request.duration, [this, vm, request, incarnation = this->nodes.at(vm).incarnation] {
            this->settle(vm, incarnation, request);
        });
    }

    void settle(const VmId& vm, Incarnation incarnation, const FleetRequest& request)
    {
        Node& node = this->nodes.at(vm);
        this->requests.erase(request.id);
        if (!node.isAlive || node.incarnation != incarnation)
            return;
        if (this->isPaused(node)) {
            this->at(node.pausedUntil, [this, vm, incarnation, request] { this->settle(vm, incarnation, request); });
            return;
        }
        this->perform(vm, timed(this->settleCost, [&] {
            return node.ledger->settle(this->time + node.offset, request.id, request.used);
        }));
    }

    void send(const Node& from, const Addressed<ShareMessage>& sent)
    {
        const auto target = this->nodes.find(sent.to);
        if (target == this->nodes.end())
            return;
        ++this->messages;
        this->bytes += estimateBytes(sent.message);
        if (!this->canReach(from, target->second) || this->drawChance(this->faults.loss))
            return;
        const int copies = this->drawChance(this->faults.repeat) ? 2 : 1;
        for (int copy = 0; copy < copies; ++copy) {
            const Milliseconds base
                = from.region == target->second.region ? intraRegionDelay : this->faults.interRegionDelay;
            const Milliseconds delay = base + Milliseconds(this->draw(this->faults.jitter.count()));
            this->at(this->time + delay, [this, sender = from.vm, sent] { this->deliver(sender, sent); });
        }
    }

    void deliver(const VmId& from, const Addressed<ShareMessage>& sent)
    {
        Node& node = this->nodes.at(sent.to);
        if (!node.isAlive)
            return;
        if (this->isPaused(node)) {
            this->at(node.pausedUntil, [this, from, sent] { this->deliver(from, sent); });
            return;
        }
        this->perform(sent.to, timed(this->messageCost, [&] {
            return node.ledger->handleMessage(this->time + node.offset, from, sent.message);
        }));
    }

    void callStore(const VmId& vm, const StoreCall& call)
    {
        ++this->storeCalls;
        this->at(this->time + storeDelay, [this, vm, call, incarnation = this->nodes.at(vm).incarnation] {
            const StoreReply reply = this->executeStoreRequest(this->nodes.at(vm), call.request);
            this->at(this->time + storeDelay,
                [this, vm, call, incarnation, reply] { this->deliverReply(vm, incarnation, call.call, reply); });
        });
    }

    void deliverReply(const VmId& vm, Incarnation incarnation, std::uint64_t call, const StoreReply& reply)
    {
        Node& node = this->nodes.at(vm);
        if (!node.isAlive || node.incarnation != incarnation)
            return;
        if (this->isPaused(node)) {
            this->at(node.pausedUntil,
                [this, vm, incarnation, call, reply] { this->deliverReply(vm, incarnation, call, reply); });
            return;
        }
        this->perform(vm, node.ledger->handleStoreReply(this->time + node.offset, call, reply));
    }

    StoreReply executeStoreRequest(const Node& node, const StoreRequest& request)
    {
        if (!this->canReachStore(node))
            return Error { ErrorCode::Unavailable, "the store cannot be reached" };
        StoreEntry& entry = this->store[request.key];
        entry.key = request.key;
        if (request.operation == StoreOperation::Get) {
            StoreEntry read = entry;
            if (this->faults.isStoreStale && this->firstValues.contains(request.key))
                read.value = this->firstValues.at(request.key);
            return std::vector<StoreEntry> { read };
        }
        if (entry.version != request.expectedVersion)
            return Error { ErrorCode::Conflict, "the stored version is not the expected version" };
        entry.value = request.value;
        ++entry.version;
        this->firstValues.emplace(request.key, request.value);
        if (this->drawChance(this->faults.lostStoreReplies))
            return Error { ErrorCode::OutcomeUnknown, "the store's reply was lost" };
        return std::vector<StoreEntry> { entry };
    }

    void housekeep()
    {
        for (const auto& [vm, node] : this->nodes) {
            if (!node.isAlive || this->isPaused(node))
                continue;
            std::vector<ShareMember> members;
            for (const auto& [other, member] : this->nodes) {
                const bool isLive = member.isAlive && !this->isPaused(member) && this->canReach(node, member)
                    && member.ledger->getShareEpoch() != releasedShareEpoch;
                // A dead VM remains a member with its last incarnation.
                members.push_back({ other, member.incarnation, member.region, isLive });
            }
            this->perform(vm, node.ledger->setMembers(this->time + node.offset, members));
        }
        if (++this->housekeepings % 4 == 0)
            this->updateVmListsAndRevisions();
        this->at(this->time + housekeepingPeriod, [this] { this->housekeep(); });
    }

    void updateVmListsAndRevisions()
    {
        VmList list;
        for (const VmId& vm : this->listedVms)
            list.push_back({ vm, this->nodes.at(vm).region, {}, {}, false });
        std::set<RevisionNumber> commonRevisions = this->publishedRevisions;
        for (const auto& [vm, node] : this->nodes) {
            // Other VMs cannot tell that a dead VM is not alive while it is listed.
            if (!node.isAlive && !this->listedVms.contains(vm))
                continue;
            std::erase_if(
                commonRevisions, [&node = node](RevisionNumber n) { return !node.adoptedRevisions.contains(n); });
        }
        // Adoptions of isolated VMs are not visible to other VMs.
        const bool isFullyConnected = this->faults.isolatedRegions.empty() && this->faults.isolatedVms.empty();
        if (isFullyConnected && !commonRevisions.empty() && *commonRevisions.rbegin() > this->adoptedEverywhere) {
            this->adoptedEverywhere = *commonRevisions.rbegin();
            if (this->onAdoptedEverywhere)
                this->onAdoptedEverywhere(this->adoptedEverywhere);
        }
        for (const auto& [vm, node] : this->nodes) {
            if (!node.isAlive || this->isPaused(node))
                continue;
            if (this->canReachStore(node))
                this->perform(vm, node.ledger->setVmList(this->time + node.offset, list));
            if (this->adoptedEverywhere > 0)
                this->perform(
                    vm, node.ledger->setRevisionAdoptedEverywhere(this->time + node.offset, this->adoptedEverywhere));
        }
    }

    void adoptWhenReachable(const VmId& vm, const std::shared_ptr<const Governance>& next)
    {
        const Node& node = this->nodes.at(vm);
        if (!node.isAlive)
            return;
        if (this->isPaused(node) || this->isIsolated(node)) {
            this->at(
                this->time + Milliseconds::fromSeconds(1), [this, vm, next] { this->adoptWhenReachable(vm, next); });
            return;
        }
        this->adopt(vm, next);
    }

    void adopt(const VmId& vm, const std::shared_ptr<const Governance>& next)
    {
        Node& node = this->nodes.at(vm);
        this->publishedRevisions.insert(next->revision);
        if (!node.adoptedRevisions.empty() && *node.adoptedRevisions.rbegin() >= next->revision)
            return;
        node.adoptedRevisions.insert(next->revision);
        this->perform(vm, node.ledger->setGovernance(this->time + node.offset, next));
    }

    static std::uint64_t estimateBytes(const ShareMessage& message)
    {
        constexpr std::uint64_t frame = 24;
        constexpr std::uint64_t holderBytes = 24;
        if (const auto* returns = std::get_if<ShareReturns>(&message))
            return frame + 32 * returns->returns.size();
        if (const auto* news = std::get_if<ShareEpochNews>(&message))
            return frame + holderBytes * (news->epoch.holders.size() + news->epoch.previousHolders.size());
        if (const auto* digest = std::get_if<ShareEpochDigest>(&message))
            return frame + 16 * digest->epochs.size();
        return frame + 40;
    }

public:
    std::function<void(RevisionNumber)> onAdoptedEverywhere;

private:
    ShareSettings settings;
    Milliseconds time;
    std::map<VmId, Node> nodes;
    std::set<VmId> listedVms;
    std::map<std::string, StoreEntry> store;
    std::map<std::string, std::string> firstValues;
    std::map<RequestId, FleetRequest> requests;
    std::shared_ptr<const Governance> governance;
    std::set<RevisionNumber> publishedRevisions;
    RevisionNumber adoptedEverywhere = 0;
    std::priority_queue<Event> queue;
    std::uint64_t lastEvent = 0;
    Incarnation lastIncarnation = 1000;
    bool isHousekeeping = false;
    std::uint64_t housekeepings = 0;
};

} // namespace papayashelf
