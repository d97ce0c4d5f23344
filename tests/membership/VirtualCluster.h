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
    Simulates a network of nodes in one process in virtual time, with message delays, message loss and broken links.

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

    /** Removes a node without notice to the others. Messages in transit to it are lost. */
    void crash(const VmId& vm) { this->nodes.erase(vm); }

    /** Suspends a node. Messages to it are held until resume(). */
    void pause(const VmId& vm) { this->paused.insert(vm); }

    /** Resumes a node, which first runs its timers and then receives the held messages. */
    void resume(const VmId& vm)
    {
        this->paused.erase(vm);
        this->send(vm, this->nodes.at(vm)->tick(this->time));
        for (auto& [from, message] : std::exchange(this->heldMessages[vm], {}))
            this->send(vm, this->nodes.at(vm)->receive(this->time, from, message));
    }

    void setLossProbability(double probability) { this->lossProbability = probability; }

    /** Sets the predicate of sender and receiver that tells which links are broken. */
    void setBrokenLinks(const std::function<bool(const VmId&, const VmId&)>& isLinkBroken)
    {
        this->isLinkBroken = isLinkBroken;
    }

    /** Sets a function that is called with the sender and each message sent, including lost ones. */
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
            this->time += timeStep;
            this->deliverDueMessages();
            this->tickDueNodes();
        }
    }

    /** Runs until the condition holds or the maximum time has passed, and returns whether it held. */
    bool runUntil(const std::function<bool()>& condition, Milliseconds maximumLength)
    {
        const Milliseconds end = this->time + maximumLength;
        while (!condition()) {
            if (this->time >= end)
                return false;
            this->runFor(timeStep);
        }
        return true;
    }

    Milliseconds now() const { return this->time; }
    const RegionId& regionOf(const VmId& vm) const { return this->regions.at(vm); }
    std::map<VmId, std::unique_ptr<Node>>& getNodes() { return this->nodes; }
    Node& at(const VmId& vm) { return *this->nodes.at(vm); }

private:
    static constexpr Milliseconds timeStep { 10 };
    static constexpr std::int64_t maximumDelayWithinRegion = 2;
    static constexpr std::int64_t maximumDelayBetweenRegions = 40;

    struct Delivery {
        Milliseconds at;
        std::uint64_t sequence = 0;
        VmId from;
        Addressed<Message> addressed;

        bool operator>(const Delivery& other) const
        {
            return std::pair(this->at, this->sequence) > std::pair(other.at, other.sequence);
        }
    };

    void sendOne(const VmId& from, const Addressed<Message>& addressed)
    {
        if (this->observer)
            this->observer(from, addressed);
        const bool isLost = std::uniform_real_distribution<double>(0, 1)(this->random) < this->lossProbability;
        if (isLost || this->regions.count(addressed.to) == 0
            || (this->isLinkBroken && this->isLinkBroken(from, addressed.to)))
            return;
        const bool isSameRegion = this->regions.at(from) == this->regions.at(addressed.to);
        const std::int64_t maximumDelay = isSameRegion ? maximumDelayWithinRegion : maximumDelayBetweenRegions;
        const Milliseconds delay(std::uniform_int_distribution<std::int64_t>(1, maximumDelay)(this->random));
        this->deliveries.push({ this->time + delay, ++this->deliveryCount, from, addressed });
    }

    void deliverDueMessages()
    {
        while (!this->deliveries.empty() && this->deliveries.top().at <= this->time) {
            const Delivery delivery = this->deliveries.top();
            this->deliveries.pop();
            const VmId& to = delivery.addressed.to;
            if (this->paused.count(to) > 0)
                this->heldMessages[to].emplace_back(delivery.from, delivery.addressed.message);
            else if (this->nodes.count(to) > 0)
                this->send(to, this->nodes.at(to)->receive(this->time, delivery.from, delivery.addressed.message));
        }
    }

    void tickDueNodes()
    {
        for (auto& [vm, node] : this->nodes) {
            if (this->paused.count(vm) == 0 && node->getNextDeadline() <= this->time)
                this->send(vm, node->tick(this->time));
        }
    }

    std::mt19937_64 random;
    Milliseconds time;
    double lossProbability = 0;
    std::function<bool(const VmId&, const VmId&)> isLinkBroken;
    std::function<void(const VmId&, const Addressed<Message>&)> observer;
    std::map<VmId, std::unique_ptr<Node>> nodes;
    std::map<VmId, RegionId> regions;
    std::set<VmId> paused;
    std::map<VmId, std::vector<std::pair<VmId, Message>>> heldMessages;
    std::priority_queue<Delivery, std::vector<Delivery>, std::greater<>> deliveries;
    std::uint64_t deliveryCount = 0;
};

} // namespace papayashelf
