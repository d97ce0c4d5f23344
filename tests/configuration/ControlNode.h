#pragma once

#include "../membership/MembershipNode.h"
#include "../membership/VirtualCluster.h"
#include "TestStore.h"
#include "configuration/configuration.h"
#include "foundation/hashing/StableHash.h"
#include "membership/membership.h"
#include <algorithm>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace papayashelf {

/** Treats documents below keys/ as keys, and refuses a revision that contains a document named bad. */
struct TestChecker {
    Outcome<std::shared_ptr<const Governance>> operator()(const Revision& revision) const
    {
        if (revision.documents.count("bad") > 0)
            return Error { ErrorCode::InvalidArgument, "the revision contains a document named bad" };
        Governance governance;
        governance.revision = revision.number;
        const std::string prefix = "keys/";
        for (auto document = revision.documents.lower_bound(prefix);
             document != revision.documents.end() && document->first.starts_with(prefix); ++document) {
            const KeyDigest digest(document->first.substr(prefix.size()));
            governance.keys[digest] = { digest, WorkspaceId("w") };
        }
        return std::make_shared<const Governance>(std::move(governance));
    }
};

/** A node of a VirtualCluster with a VM's membership, revisions and withdrawals, connected as in production. */
class ControlNode {
public:
    using Message
        = std::variant<Heartbeat, MemberNews, RevisionAnnouncement, RevisionPull, RevisionPart, WithdrawalNotice>;
    using Sends = std::vector<Addressed<Message>>;

    ControlNode(const Member& self, TestStore& store, std::uint64_t seed)
        : membership(self, MembershipSettings {}, seed)
        , replicator(ConfigurationSettings {}, TestChecker {}, seed + 1)
        , withdrawals(self.vm, ConfigurationSettings {}, seed + 2)
        , self(self.vm)
        , store(store)
    {
    }

    /** Handles a message and returns the messages to send. */
    Sends receive(Milliseconds now, const VmId& from, const Message& message)
    {
        Sends sends;
        if (const auto* heartbeat = std::get_if<Heartbeat>(&message)) {
            this->processOutput(now, this->membership.handleHeartbeat(now, *heartbeat, from), sends);
            this->processOutput(now, this->replicator.handleHeartbeat(now, heartbeat->revision, from), sends);
            this->processOutput(now, this->withdrawals.handleHeartbeat(now, heartbeat->withdrawalsDigest, from), sends,
                TestStore::Caller::Withdrawals);
        } else if (const auto* news = std::get_if<MemberNews>(&message)) {
            this->processOutput(now, this->membership.handleNews(now, *news, from), sends);
        } else if (const auto* announcement = std::get_if<RevisionAnnouncement>(&message)) {
            this->processOutput(now, this->replicator.handleAnnouncement(now, *announcement, from), sends);
        } else if (const auto* pull = std::get_if<RevisionPull>(&message)) {
            this->processOutput(now, this->replicator.handlePull(now, *pull, from), sends);
        } else if (const auto* part = std::get_if<RevisionPart>(&message)) {
            this->processOutput(now, this->replicator.handlePart(now, *part, from), sends);
        } else if (const auto* notice = std::get_if<WithdrawalNotice>(&message)) {
            this->processOutput(
                now, this->withdrawals.handleNotice(now, *notice, from), sends, TestStore::Caller::Withdrawals);
        }
        return sends;
    }

    /** Handles the store's replies, performs what is due and returns the messages to send. */
    Sends tick(Milliseconds now)
    {
        Sends sends;
        for (TestStore::Reply& reply : this->store.collect(now, this->self)) {
            if (reply.caller == TestStore::Caller::Revisions)
                this->processOutput(now, this->replicator.handleStoreReply(now, reply.call, reply.reply), sends);
            else
                this->processOutput(
                    now, this->withdrawals.handleStoreReply(now, reply.call, reply.reply), sends, reply.caller);
        }
        this->processOutput(now, this->membership.tick(now), sends);
        this->processOutput(now, this->replicator.tick(now), sends);
        this->processOutput(now, this->withdrawals.tick(now), sends, TestStore::Caller::Withdrawals);
        return sends;
    }

    /** Returns when tick() must be called next. */
    Milliseconds getNextDeadline() const
    {
        if (this->store.hasPendingCalls(this->self))
            return Milliseconds();
        return std::min({ this->membership.getNextDeadline(), this->replicator.getNextDeadline(),
            this->withdrawals.getNextDeadline() });
    }

    /** Withdraws a key on behalf of an operator and returns the messages to send. */
    Sends withdraw(Milliseconds now, const KeyDigest& key)
    {
        Sends sends;
        const Withdrawal withdrawal { key, this->replicator.getNumber() };
        this->processOutput(now, this->withdrawals.withdraw(now, withdrawal), sends, TestStore::Caller::Withdrawals);
        return sends;
    }

    /** Returns the number of events of a kind so far. */
    std::int64_t countEvents(ConfigurationEventKind kind) const
    {
        return std::count_if(this->events.begin(), this->events.end(),
            [&](const ConfigurationEvent& event) { return event.kind == kind; });
    }

    Membership membership;
    RevisionReplicator<TestChecker> replicator;
    WithdrawalSet withdrawals;
    std::vector<ConfigurationEvent> events;
    std::vector<Adoption> adoptions;
    std::vector<Withdrawal> withdrawn;

private:
    void processOutput(Milliseconds now, MembershipOutput output, Sends& sends)
    {
        for (auto& addressed : output.sends)
            std::visit(
                [&](auto& message) {
                    sends.push_back({ addressed.to, std::move(message) });
                },
                addressed.message);
        const bool isChanged = !output.changes.empty() || this->membership.getNeighbours() != this->neighbours;
        if (isChanged) {
            this->neighbours = this->membership.getNeighbours();
            this->replicator.setNeighbours(this->neighbours);
            this->withdrawals.setMembers(this->neighbours, this->membership.getMembers());
        }
        if (isChanged || !this->hasWatcherBeenSet) {
            this->hasWatcherBeenSet = true;
            const bool isWatcher = isStoreWatcher(this->membership.getMembers(), this->membership.getSelf());
            this->replicator.setWatcher(now, isWatcher);
            this->withdrawals.setWatcher(now, isWatcher);
        }
    }

    void processOutput(Milliseconds now, ConfigurationOutput output, Sends& sends,
        TestStore::Caller caller = TestStore::Caller::Revisions)
    {
        for (auto& addressed : output.sends)
            std::visit(
                [&](auto& message) {
                    sends.push_back({ addressed.to, std::move(message) });
                },
                addressed.message);
        for (const StoreCall& call : output.storeCalls)
            this->store.submit(now, this->self, caller, call);
        this->events.insert(this->events.end(), output.events.begin(), output.events.end());
        this->withdrawn.insert(this->withdrawn.end(), output.withdrawn.begin(), output.withdrawn.end());
        if (output.adopted) {
            this->withdrawals.setGovernance(output.adopted->governance);
            this->adoptions.push_back(std::move(*output.adopted));
        }
        this->membership.setHeartbeatStatus({ this->replicator.getNumber(), this->withdrawals.getDigest(), 0 });
    }

    VmId self;
    TestStore& store;
    std::vector<VmId> neighbours;
    bool hasWatcherBeenSet = false;
};

/** A cluster of VMs that share one store. */
class ControlCluster : public VirtualCluster<ControlNode> {
public:
    ControlCluster(int count, std::uint64_t seed)
        : VirtualCluster<ControlNode>(seed)
        , members(makeMembers(count))
        , seed(seed)
    {
        for (const Member& member : this->members)
            this->start(member);
    }

    /** Starts a VM that knows the members of the cluster. */
    ControlNode& start(const Member& member)
    {
        const std::uint64_t nodeSeed = stableHash(member.vm.string(), member.incarnation + this->seed);
        auto node = std::make_unique<ControlNode>(member, this->store, nodeSeed);
        node->membership.handleVmList(this->now(), makeVmList(this->members), this->members);
        return this->add(member.vm, member.region, std::move(node));
    }

    /** Returns whether a predicate holds for every running VM. */
    template <typename Predicate> bool all(const Predicate& predicate)
    {
        return std::all_of(this->getNodes().begin(), this->getNodes().end(),
            [&](const auto& entry) { return predicate(entry.first, *entry.second); });
    }

    /** Returns whether a revision is in force at every running VM. */
    bool allHave(RevisionNumber number)
    {
        return this->all([&](const VmId&, ControlNode& node) { return node.replicator.getNumber() == number; });
    }

    /** Runs until every VM knows all others and has this revision. @returns whether that took at most 60 s */
    bool settle(RevisionNumber number)
    {
        const std::size_t count = this->getNodes().size();
        const auto isSettled = [&] {
            return this->allHave(number) && this->all([&](const VmId&, ControlNode& node) {
                return node.membership.getMembers().size() == count;
            });
        };
        const bool settled = this->runUntil(isSettled, Milliseconds::fromSeconds(60));
        this->runFor(Milliseconds::fromSeconds(5));
        return settled;
    }

    TestStore store;
    std::vector<Member> members;

private:
    std::uint64_t seed;
};

/** Makes a revision with documents of about 300 bytes each. Each revision changes one document of the previous one. */
inline Revision makeTestRevision(RevisionNumber number, std::size_t documents = 20)
{
    constexpr std::size_t documentBytes = 300;
    Revision revision { number, {}, {} };
    for (std::size_t index = 0; index < documents; ++index)
        revision.documents["workspaces/" + std::to_string(index)] = std::string(documentBytes, 'x');
    for (RevisionNumber change = number < documents ? 1 : number - documents + 1; change <= number; ++change) {
        const std::string body = "revision " + std::to_string(change);
        revision.documents["workspaces/" + std::to_string(change % documents)] = body + std::string(documentBytes, 'y');
    }
    revision.digest = digestOf(revision.documents);
    return revision;
}

} // namespace papayashelf
