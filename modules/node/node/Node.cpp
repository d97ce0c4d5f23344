#include "node/node/Node.h"

#include "foundation/hashing/StableHash.h"
#include "publication/publication.h"
#include <algorithm>
#include <type_traits>

namespace papayashelf {

namespace {

// Each component derives its own seed, so that no two components draw the same random numbers.
enum class SeedUse : std::uint64_t {
    Own = 1,
    Membership,
    Revisions,
    Withdrawals,
    Shares,
    Dispatch,
};

std::uint64_t deriveSeed(const NodeSettings& settings, SeedUse use)
{
    return combineHashes(settings.seed, static_cast<std::uint64_t>(use));
}

} // namespace

Outcome<std::shared_ptr<const Governance>> GovernanceChecker::operator()(const Revision& revision) const
{
    BOOST_OUTCOME_TRY(Governance built, buildGovernance(revision));
    return std::make_shared<const Governance>(std::move(built));
}

Node::Node(const NodeSettings& nodeSettings)
    : settings(nodeSettings)
    , random(deriveSeed(nodeSettings, SeedUse::Own))
    , timeline(nodeSettings.self.vm, nodeSettings.self.incarnation, nodeSettings.timelineCapacity)
    , membership(nodeSettings.self, nodeSettings.membership, deriveSeed(nodeSettings, SeedUse::Membership))
    , revisions(nodeSettings.configuration, GovernanceChecker {}, deriveSeed(nodeSettings, SeedUse::Revisions))
    , withdrawals(nodeSettings.self.vm, nodeSettings.configuration, deriveSeed(nodeSettings, SeedUse::Withdrawals))
    , shares(nodeSettings.self.vm, nodeSettings.self.incarnation, nodeSettings.self.region, nodeSettings.shares,
          deriveSeed(nodeSettings, SeedUse::Shares))
    , router(nodeSettings.routing, nodeSettings.self.region, nodeSettings.self.vm)
    , dispatcher(nodeSettings.dispatch, nodeSettings.self.vm, nodeSettings.self.incarnation,
          nodeSettings.wallClockAtZero, deriveSeed(nodeSettings, SeedUse::Dispatch))
{
}

NodeOutput Node::handle(Milliseconds now, const NodeEvent& event)
{
    NodeOutput output;
    std::visit([&](const auto& typedEvent) { this->handleEvent(now, typedEvent, output); }, event);
    this->counters.storeCalls += output.storeCalls.size();
    return output;
}

NodeOutput Node::tick(Milliseconds now)
{
    NodeOutput output;
    if (now >= this->membership.getNextDeadline()) {
        this->updateHeartbeatFacts();
        this->applyMembership(now, this->membership.tick(now), output);
    }
    if (now >= this->revisions.getNextDeadline())
        this->applyConfiguration(now, StoreCaller::Configuration, this->revisions.tick(now), output);
    if (now >= this->withdrawals.getNextDeadline())
        this->applyConfiguration(now, StoreCaller::Withdrawals, this->withdrawals.tick(now), output);
    if (now >= this->shares.getNextDeadline())
        this->applyShares(now, this->shares.tick(now), output);
    if (now >= this->dispatcher.getNextDeadline())
        this->applyDispatch(now, this->dispatcher.tick(now, this->router), output);
    if (now >= this->nextSummary)
        this->sendSummaries(now, output);
    this->finishStopping(now, output);
    this->counters.storeCalls += output.storeCalls.size();
    return output;
}

Milliseconds Node::getNextDeadline() const
{
    return std::min(
        { this->membership.getNextDeadline(), this->revisions.getNextDeadline(), this->withdrawals.getNextDeadline(),
            this->shares.getNextDeadline(), this->dispatcher.getNextDeadline(), this->nextSummary });
}

NodeSnapshot Node::takeSnapshot(Milliseconds now)
{
    const bool areOwnersStale
        = this->ownersRevision != this->revisions.getNumber() || this->ownersEpoch != this->shares.getShareEpoch();
    if (this->governance && (!this->owners || areOwnersStale)) {
        OwnersByWorkspace byWorkspace;
        for (const auto& [id, workspace] : this->governance->workspaces)
            byWorkspace.emplace(id, this->shares.getOwners(id));
        this->owners = std::make_shared<const OwnersByWorkspace>(std::move(byWorkspace));
        this->ownersRevision = this->revisions.getNumber();
        this->ownersEpoch = this->shares.getShareEpoch();
    }
    NodeSnapshot snapshot;
    snapshot.self = this->membership.getSelf();
    snapshot.isReady = this->governance != nullptr;
    snapshot.isLeaving = this->isLeaving;
    snapshot.revision = this->revisions.getNumber();
    snapshot.revisionDigest = this->revisions.getRevision() ? this->revisions.getRevision()->digest : std::string();
    snapshot.isRevisionAdoptedEverywhere = this->isAdoptedEverywhere();
    snapshot.revisionSource = this->revisionSource;
    snapshot.shareEpoch = this->shares.getShareEpoch();
    snapshot.ownedWorkspaces = this->shares.getOwnedCount();
    snapshot.withdrawals = this->withdrawals.size();
    snapshot.requests = this->dispatcher.countRequests();
    snapshot.waitingForShares = this->awaitingReservation.size();
    for (const auto& [vm, member] : this->membership.getMembers())
        snapshot.members.push_back(member);
    snapshot.neighbours = this->membership.getNeighbours();
    snapshot.watchedUpstreams = this->router.getWatchedUpstreams();
    snapshot.ejectedUpstreams = this->router.getEjected(now);
    snapshot.governance = this->governance;
    snapshot.owners = this->owners;
    snapshot.counters = this->counters;
    return snapshot;
}

std::optional<Endpoint> Node::findPeerEndpoint(const VmId& vm) const
{
    return this->membership.findPeerEndpoint(vm);
}

bool Node::isStopped(Milliseconds now) const
{
    return this->departedAt && now >= *this->departedAt + this->settings.departureNoticeDuration;
}

void Node::handleEvent(Milliseconds now, const StopRequested&, NodeOutput& output)
{
    if (this->isLeaving)
        return;
    this->isLeaving = true;
    this->timeline.record(now, "leaving");
    this->dispatcher.beginLeaving(now);
    this->applyMembership(now, this->membership.leave(now), output);
    this->applyShares(now, this->shares.release(now), output);
    this->finishStopping(now, output);
}

void Node::finishStopping(Milliseconds now, NodeOutput& output)
{
    const bool isDone = this->isLeaving && this->awaitingReservation.empty() && this->dispatcher.isDrained();
    if (!isDone || this->departedAt)
        return;
    this->departedAt = now;
    this->timeline.record(now, "departed");
    this->applyMembership(now, this->membership.depart(now), output);
}

} // namespace papayashelf
