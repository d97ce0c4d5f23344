#include "node/node/Node.h"

#include "membership/messages/MemberStateNames.h"
#include <algorithm>
#include <set>

namespace papayashelf {

void Node::handleEvent(Milliseconds now, const PeerMessageArrived& arrived, NodeOutput& output)
{
    ++this->counters.peerMessagesIn;
    this->timeline.observeLogicalTime(arrived.logicalTime);
    std::visit([&](const auto& message) { this->receive(now, arrived.from, message, output); }, arrived.message);
}

void Node::handleEvent(Milliseconds now, const StoreReplyArrived& arrived, NodeOutput& output)
{
    const auto origin = this->storeCalls.takeOrigin(arrived.call);
    if (!origin)
        return;
    switch (origin->caller) {
    case StoreCaller::Configuration:
        return this->applyConfiguration(
            now, origin->caller, this->revisions.handleStoreReply(now, origin->call, arrived.reply), output);
    case StoreCaller::Withdrawals:
        return this->applyConfiguration(
            now, origin->caller, this->withdrawals.handleStoreReply(now, origin->call, arrived.reply), output);
    case StoreCaller::Shares:
        return this->applyShares(now, this->shares.handleStoreReply(now, origin->call, arrived.reply), output);
    case StoreCaller::Dispatch:
        return this->applyDispatch(
            now, this->dispatcher.handleStoreReply(now, origin->call, arrived.reply, this->router), output);
    }
}

void Node::handleEvent(Milliseconds now, const VmListArrived& arrived, NodeOutput& output)
{
    this->applyMembership(
        now, this->membership.handleVmList(now, arrived.list, this->listSeedMembers(arrived.list)), output);
    this->applyShares(now, this->shares.setVmList(now, arrived.list), output);
    this->router.setVmList(arrived.list);
    this->listedVms.clear();
    for (const Member& seed : this->listSeedMembers(arrived.list))
        this->listedVms.insert(seed.vm);
    this->checkAdoption(now, output);
}

void Node::handleEvent(Milliseconds now, const WithdrawalRequested& requested, NodeOutput& output)
{
    const Withdrawal withdrawal { requested.key, this->revisions.getNumber() };
    this->applyConfiguration(now, StoreCaller::Withdrawals, this->withdrawals.withdraw(now, withdrawal), output);
}

//======================================================================================================================

void Node::receive(Milliseconds now, const VmId& from, const MembershipMessage& message, NodeOutput& output)
{
    if (const auto* news = std::get_if<MemberNews>(&message))
        return this->applyMembership(now, this->membership.handleNews(now, *news, from), output);
    const auto& heartbeat = std::get<Heartbeat>(message);
    this->updateHeartbeatFacts();
    this->applyMembership(now, this->membership.handleHeartbeat(now, heartbeat, from), output);
    this->adoption.recordAdoption(from, heartbeat.incarnation, heartbeat.revision);
    const bool isComparable = heartbeat.revision == this->adoption.getRevision()
        && heartbeat.membersDigest == this->membership.getMembersDigest();
    if (isComparable)
        this->adoption.mergeBitmap(heartbeat.adopters, this->membership.getMembers());
    this->checkAdoption(now, output);
    this->applyConfiguration(
        now, StoreCaller::Configuration, this->revisions.handleHeartbeat(now, heartbeat.revision, from), output);
    this->applyConfiguration(now, StoreCaller::Withdrawals,
        this->withdrawals.handleHeartbeat(now, heartbeat.withdrawalsDigest, from), output);
}

void Node::receive(Milliseconds now, const VmId& from, const ConfigurationMessage& message, NodeOutput& output)
{
    if (const auto* announcement = std::get_if<RevisionAnnouncement>(&message))
        this->applyConfiguration(
            now, StoreCaller::Configuration, this->revisions.handleAnnouncement(now, *announcement, from), output);
    if (const auto* pull = std::get_if<RevisionPull>(&message))
        this->applyConfiguration(now, StoreCaller::Configuration, this->revisions.handlePull(now, *pull, from), output);
    if (const auto* part = std::get_if<RevisionPart>(&message))
        this->applyConfiguration(now, StoreCaller::Configuration, this->revisions.handlePart(now, *part, from), output);
    if (const auto* notice = std::get_if<WithdrawalNotice>(&message))
        this->applyConfiguration(
            now, StoreCaller::Withdrawals, this->withdrawals.handleNotice(now, *notice, from), output);
}

void Node::receive(Milliseconds now, const VmId& from, const ShareMessage& message, NodeOutput& output)
{
    this->applyShares(now, this->shares.handleMessage(now, from, message), output);
}

void Node::receive(Milliseconds now, const VmId&, const RegionSummaries& message, NodeOutput&)
{
    for (const RegionSummary& summary : message.summaries)
        this->router.handleRegionSummary(now, summary);
}

//======================================================================================================================

void Node::applyMembership(Milliseconds now, MembershipOutput&& partOutput, NodeOutput& output)
{
    this->send(partOutput.sends, output);
    if (partOutput.changes.empty())
        return;
    for (const MemberChange& change : partOutput.changes) {
        this->timeline.record(now, "member_" + std::string(toString(change.after.state)),
            { { "member", change.after.vm.string() }, { "incarnation", std::to_string(change.after.incarnation) } });
    }
    this->refreshMembers(now, output);
}

void Node::refreshMembers(Milliseconds now, NodeOutput& output)
{
    std::vector<ShareMember> shareMembers;
    std::vector<Member> routerMembers;
    for (const auto& [vm, member] : this->membership.getMembers()) {
        const bool isLive = member.state == MemberState::Live;
        shareMembers.push_back(ShareMember { vm, member.incarnation, member.region, isLive });
        routerMembers.push_back(member);
    }
    this->router.setMembers(routerMembers);
    const std::vector<VmId>& neighbours = this->membership.getNeighbours();
    this->revisions.setNeighbours(neighbours);
    this->withdrawals.setMembers(neighbours, this->membership.getMembers());
    const bool isWatcher = isStoreWatcher(this->membership.getMembers(), this->membership.getSelf());
    this->revisions.setWatcher(now, isWatcher);
    this->withdrawals.setWatcher(now, isWatcher);
    this->applyShares(now, this->shares.setMembers(now, shareMembers), output);
}

void Node::applyConfiguration(
    Milliseconds now, StoreCaller caller, ConfigurationOutput&& partOutput, NodeOutput& output)
{
    this->send(partOutput.sends, output);
    this->storeCalls.add(caller, partOutput.storeCalls, output.storeCalls);
    for (const ConfigurationEvent& event : partOutput.events) {
        this->timeline.record(now, std::string(toString(event.kind)),
            { { "revision", std::to_string(event.revision) }, { "from", event.from.string() },
                { "detail", event.detail } });
    }
    for (const Withdrawal& withdrawal : partOutput.withdrawn) {
        this->timeline.record(now, "key_withdrawn", { { "key", withdrawal.key.string() } });
        this->endRequestsOfKey(now, withdrawal.key, output);
    }
    if (partOutput.adopted)
        this->adopt(now, *partOutput.adopted, output);
}

void Node::adopt(Milliseconds now, const Adoption& adoption, NodeOutput& output)
{
    const std::shared_ptr<const Governance> before = std::move(this->governance);
    this->governance = adoption.governance;
    this->revisionSource = adoption.source == AdoptionSource::Store ? "store" : adoption.from.string();
    this->timeline.record(now, "revision_in_force",
        { { "revision", std::to_string(adoption.revision->number) }, { "from", this->revisionSource } });
    this->adoption.startTracking(adoption.revision->number, this->membership.getSelf());
    this->router.setGovernance(this->governance);
    this->withdrawals.setGovernance(this->governance);
    this->applyShares(now, this->shares.setGovernance(now, this->governance), output);
    if (!before)
        return;
    for (const auto& [digest, key] : before->keys) {
        const auto kept = this->governance->keys.find(digest);
        if (kept == this->governance->keys.end() || kept->second != key)
            this->endRequestsOfKey(now, digest, output);
    }
}

void Node::updateHeartbeatFacts()
{
    this->membership.setHeartbeatStatus(HeartbeatStatus { this->revisions.getNumber(), this->withdrawals.getDigest(),
        this->shares.getShareEpoch(), this->adoption.encodeBitmap(this->membership.getMembers()) });
}

void Node::checkAdoption(Milliseconds now, NodeOutput& output)
{
    const RevisionNumber revision = this->revisions.getNumber();
    const bool isNewlyAdopted = revision != this->fullyAdoptedRevision
        && this->adoption.isAdoptedByAll(this->membership.getMembers(), this->listedVms);
    if (!isNewlyAdopted)
        return;
    this->fullyAdoptedRevision = revision;
    this->timeline.record(now, "revision_everywhere", { { "revision", std::to_string(revision) } });
    this->applyShares(now, this->shares.setRevisionAdoptedEverywhere(now, revision), output);
}

void Node::sendSummaries(Milliseconds now, NodeOutput& output)
{
    this->nextSummary = now + this->settings.summaryPeriod;
    const RegionSummaries message { this->router.summariseOwnRegion(now, this->dispatcher.countAhead()) };
    if (message.summaries.empty())
        return;
    // Each VM sends to one random VM of each other region per period, so that with equally many VMs in both regions
    // every VM there receives a summary of this region about once per period.
    std::map<RegionId, std::vector<VmId>> liveVmsByRegion;
    for (const auto& [vm, member] : this->membership.getMembers()) {
        if (member.state == MemberState::Live && member.region != this->settings.self.region)
            liveVmsByRegion[member.region].push_back(vm);
    }
    for (const auto& [region, vms] : liveVmsByRegion) {
        const VmId& chosen = vms[std::uniform_int_distribution<std::size_t>(0, vms.size() - 1)(this->random)];
        this->send<RegionSummaries>({ { chosen, message } }, output);
    }
}

std::vector<Member> Node::listSeedMembers(const VmList& list) const
{
    std::set<std::string> upstreamAddresses;
    if (this->governance) {
        for (const auto& [id, service] : this->governance->services) {
            for (const Upstream& upstream : service.upstreams)
                upstreamAddresses.insert(upstream.endpoint.address);
        }
    }
    std::vector<Member> seeds;
    for (const VmRecord& record : list) {
        if (record.vm == this->settings.self.vm || upstreamAddresses.count(record.address) > 0)
            continue;
        Member seed;
        seed.vm = record.vm;
        seed.region = record.region;
        seed.domain = record.domain;
        // All VMs of the system are configured alike, so they use the same port for peers.
        seed.peerEndpoint = Endpoint { record.address, this->settings.self.peerEndpoint.port };
        seeds.push_back(std::move(seed));
    }
    return seeds;
}

} // namespace papayashelf
