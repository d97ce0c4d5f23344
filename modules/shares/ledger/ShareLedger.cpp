#include "shares/ledger/ShareLedger.h"

#include <algorithm>
#include <iterator>
#include <set>

namespace papayashelf {

namespace {

template <typename Item> void append(std::vector<Item>& to, std::vector<Item>&& from)
{
    to.insert(to.end(), std::make_move_iterator(from.begin()), std::make_move_iterator(from.end()));
}

} // namespace

ShareLedger::ShareLedger(
    const VmId& self, Incarnation incarnation, RegionId region, const ShareSettings& settings, std::uint64_t seed)
    : self(self)
    , region(std::move(region))
    , settings(settings)
    , ownership({ self, incarnation }, this->region, settings)
    , lender(this->ownership)
    , borrower({ self, incarnation }, this->region, settings, this->workspaceShares, this->owners, this->ownership)
    , epochCoordinator({ self, incarnation }, this->region, settings, this->owners, seed)
{
}

ShareOutput ShareLedger::setGovernance(Milliseconds now, const std::shared_ptr<const Governance>& governance)
{
    ShareOutput output;
    const std::vector<WorkspaceId> changed = this->workspaceShares.setGovernance(governance);
    if (changed.empty())
        return output;
    this->ownership.refresh(now, changed, this->workspaceShares);
    this->borrower.invalidateOwners(now, output);
    return output;
}

ShareOutput ShareLedger::setRevisionAdoptedEverywhere(Milliseconds now, RevisionNumber revision)
{
    ShareOutput output;
    if (this->workspaceShares.setAdoptedEverywhere(revision))
        this->ownership.refreshAll(now, this->workspaceShares);
    return output;
}

ShareOutput ShareLedger::setMembers(Milliseconds now, const std::vector<ShareMember>& members)
{
    std::set<VmId> live;
    for (const ShareMember& member : members) {
        if (member.isLive)
            live.insert(member.vm);
    }
    this->borrower.setLiveVms(std::move(live));
    this->epochCoordinator.setMembers(now, members);
    return {};
}

ShareOutput ShareLedger::setVmList(Milliseconds now, const VmList& list)
{
    this->epochCoordinator.setVmList(now, list);
    return {};
}

ShareOutput ShareLedger::reserve(
    Milliseconds now, RequestId request, const WorkspaceId& workspace, std::int64_t tokens, Milliseconds deadline)
{
    ShareOutput output;
    this->borrower.reserve(now, { request, workspace, tokens, deadline }, output);
    return output;
}

ShareOutput ShareLedger::settle(Milliseconds now, RequestId request, std::int64_t usedTokens)
{
    ShareOutput output;
    this->borrower.settle(now, request, usedTokens, output);
    return output;
}

ShareOutput ShareLedger::handleMessage(Milliseconds now, const VmId& from, const ShareMessage& message)
{
    ShareOutput output;
    std::visit([&](const auto& typed) { this->handle(now, from, typed, output); }, message);
    return output;
}

ShareOutput ShareLedger::handleStoreReply(Milliseconds now, std::uint64_t call, const StoreReply& reply)
{
    ShareOutput output;
    this->applyEpochOutput(now, this->epochCoordinator.handleStoreReply(now, call, reply), output);
    return output;
}

ShareOutput ShareLedger::tick(Milliseconds now)
{
    ShareOutput output;
    this->applyEpochOutput(now, this->epochCoordinator.tick(now, this->ownership.getAwaitedHolders()), output);
    this->ownership.tick(now, this->workspaceShares);
    this->borrower.tick(now, output);
    return output;
}

Milliseconds ShareLedger::getNextDeadline() const
{
    return std::min({ this->epochCoordinator.getNextDeadline(), this->ownership.getNextDeadline(),
        this->borrower.getNextDeadline() });
}

ShareOutput ShareLedger::release(Milliseconds now)
{
    ShareOutput output;
    this->ownership.release();
    this->applyEpochOutput(now, this->epochCoordinator.release(), output);
    this->borrower.invalidateOwners(now, output);
    return output;
}

std::vector<VmId> ShareLedger::getOwners(const WorkspaceId& workspace) const
{
    std::vector<VmId> localOwners;
    std::vector<VmId> remoteOwners;
    const WorkspaceShare* share = this->workspaceShares.find(workspace);
    if (!share)
        return localOwners;
    for (const auto& [ownerRegion, part] : share->parts) {
        const OwnerMap::Entry* entry = this->owners.find(ownerRegion);
        if (!entry)
            continue;
        const std::size_t count = entry->selector.countOwners(part, this->settings);
        for (const ShareHolder& holder : entry->selector.getOwners(workspace, count))
            (ownerRegion == this->region ? localOwners : remoteOwners).push_back(holder.vm);
    }
    append(localOwners, std::move(remoteOwners));
    return localOwners;
}

void ShareLedger::handle(Milliseconds now, const VmId& from, const ShareRequest& message, ShareOutput& output)
{
    const OwnDemand own = this->borrower.getDemand(now, message.workspace);
    output.sends.push_back({ from, this->lender.lend(now, message, own) });
}

void ShareLedger::handle(Milliseconds now, const VmId& from, const ShareGrant& message, ShareOutput& output)
{
    this->borrower.handleGrant(now, from, message, output);
}

void ShareLedger::handle(Milliseconds now, const VmId& from, const ShareReturns& message, ShareOutput& output)
{
    this->borrower.serveWaiting(now, this->lender.takeBack(now, from, message), output);
}

void ShareLedger::handle(Milliseconds now, const VmId& from, const ShareEpochNews& message, ShareOutput& output)
{
    this->applyEpochOutput(now, this->epochCoordinator.handleNews(now, from, message), output);
}

void ShareLedger::handle(Milliseconds now, const VmId& from, const ShareEpochAdopted& message, ShareOutput& output)
{
    this->applyEpochOutput(now, this->epochCoordinator.handleAdopted(now, from, message), output);
}

void ShareLedger::handle(Milliseconds now, const VmId& from, const ShareEpochDigest& message, ShareOutput& output)
{
    this->applyEpochOutput(now, this->epochCoordinator.handleDigest(now, from, message), output);
}

void ShareLedger::applyEpochOutput(Milliseconds now, EpochOutput&& from, ShareOutput& output)
{
    if (from.adopted) {
        this->ownership.adoptEpoch(now, *from.adopted, this->workspaceShares);
        output.events.push_back({ "share_epoch_adopted", std::to_string(from.adopted->epoch) });
    }
    for (const auto& [holder, epoch] : from.adoptions)
        this->ownership.setAdopted(now, holder, epoch, this->workspaceShares);
    append(output.sends, std::move(from.actions.sends));
    append(output.storeCalls, std::move(from.actions.storeCalls));
    append(output.events, std::move(from.actions.events));
    if (from.hasOwnerMapChanged)
        this->borrower.invalidateOwners(now, output);
}

} // namespace papayashelf
