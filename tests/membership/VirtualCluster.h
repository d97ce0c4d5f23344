#pragma once

#include "foundation/identity/Addressed.h"
#include "foundation/time/Clock.h"
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <utility>
#include <vector>

namespace papayashelf {

/**
    Joins nodes in one process on virtual time, with delays, loss and cut links.

    @tparam Node  has a type Message, receive(now, from, message) and tick(now), which both return the
                  Addressed messages to send, and getNextDeadline()
*/
template <typename Node> class VirtualCluster {
public:
    using Message = typename Node::Message;
    using Sends = std::vector<Addressed<Message>>;

    explicit VirtualCluster(std::uint64_t seed)
        : random(seed)
    {
    }

    Node& add(const VmId& vm, const RegionId& region, std::unique_ptr<Node> node)
    {
        this->regions[vm] = region;
        this->nodes[vm] = std::move(node);
        return *this->nodes[vm];
    }

    /** Ends a node without a word; a message under way to it is lost. */
    void crash(const VmId& vm) { this->nodes.erase(vm); }

    /** Stops a node's processing; messages to it wait. */
    void pause(const VmId& vm) { this->paused.insert(vm); }

    /** Lets a node go on: its timers are due before it gets to the messages that waited. */
    void resume(const VmId& vm)
    {
        this->paused.erase(vm);
        this->send(vm, this->nodes.at(vm)->tick(this->time));
        for (auto& [from, message] : std::exchange(this->waiting[vm], {}))
            this->send(vm, this->nodes.at(vm)->receive(this->time, from, message));
    }

    void setLossProbability(double share) { this->loss = share; }

    /** Says which links are down, by sender and receiver. */
    void setBrokenLinks(const std::function<bool(const VmId&, const VmId&)>& isCut) { this->isCut = isCut; }

    /** Called with the sender for every message sent; for measurement. */
    void setObserver(const std::function<void(const VmId&, const Addressed<Message>&)>& observer)
    {
        this->observer = observer;
    }

    void send(const VmId& from, const Sends& sends)
    {
        for (const Addressed<Message>& addressed : sends)
            this->sendOne(from, addressed);
    }

    void runFor(Milliseconds length)
    {
        const Milliseconds end = this->time + length;
        while (this->time < end) {
            this->time += step;
            this->deliverDue();
            this->tickDue();
        }
    }

    /** Runs until the condition holds, at most for the given time; returns whether it held. */
    bool runUntil(const std::function<bool()>& condition, Milliseconds longest)
    {
        const Milliseconds end = this->time + longest;
        while (!condition()) {
            if (this->time >= end)
                return false;
            this->runFor(step);
        }
        return true;
    }

    Milliseconds now() const { return this->time; }
    const RegionId& regionOf(const VmId& vm) const { return this->regions.at(vm); }
    std::map<VmId, std::unique_ptr<Node>>& getNodes() { return this->nodes; }
    Node& at(const VmId& vm) { return *this->nodes.at(vm); }

private:
    static constexpr Milliseconds step { 10 };
    static constexpr std::int64_t longestDelayInRegion = 2;
    static constexpr std::int64_t longestDelayBetweenRegions = 40;

    struct Delivery {
        Milliseconds at;
        std::uint64_t order = 0;
        VmId from;
        Addressed<Message> addressed;

        bool operator>(const Delivery& other) const
        {
            return std::pair(this->at, this->order) > std::pair(other.at, other.order);
        }
    };

    void sendOne(const VmId& from, const Addressed<Message>& addressed)
    {
        if (this->observer)
            this->observer(from, addressed);
        const bool isLost = std::uniform_real_distribution<double>(0, 1)(this->random) < this->loss;
        if (isLost || this->regions.count(addressed.to) == 0 || (this->isCut && this->isCut(from, addressed.to)))
            return;
        const bool isNear = this->regions.at(from) == this->regions.at(addressed.to);
        const std::int64_t longest = isNear ? longestDelayInRegion : longestDelayBetweenRegions;
        const Milliseconds delay(std::uniform_int_distribution<std::int64_t>(1, longest)(this->random));
        this->deliveries.push({ this->time + delay, ++this->orders, from, addressed });
    }

    void deliverDue()
    {
        while (!this->deliveries.empty() && this->deliveries.top().at <= this->time) {
            const Delivery delivery = this->deliveries.top();
            this->deliveries.pop();
            const VmId& to = delivery.addressed.to;
            if (this->paused.count(to) > 0)
                this->waiting[to].emplace_back(delivery.from, delivery.addressed.message);
            else if (this->nodes.count(to) > 0)
                this->send(to, this->nodes.at(to)->receive(this->time, delivery.from, delivery.addressed.message));
        }
    }

    void tickDue()
    {
        for (auto& [vm, node] : this->nodes) {
            if (this->paused.count(vm) == 0 && node->getNextDeadline() <= this->time)
                this->send(vm, node->tick(this->time));
        }
    }

    std::mt19937_64 random;
    Milliseconds time;
    double loss = 0;
    std::function<bool(const VmId&, const VmId&)> isCut;
    std::function<void(const VmId&, const Addressed<Message>&)> observer;
    std::map<VmId, std::unique_ptr<Node>> nodes;
    std::map<VmId, RegionId> regions;
    std::set<VmId> paused;
    std::map<VmId, std::vector<std::pair<VmId, Message>>> waiting;
    std::priority_queue<Delivery, std::vector<Delivery>, std::greater<>> deliveries;
    std::uint64_t orders = 0;
};

} // namespace papayashelf
