#include "membership/Membership.h"

#include <algorithm>
#include <cassert>

namespace papayashelf {

namespace {

constexpr std::size_t maximumSeedsPerJoin = 3;
constexpr std::size_t maximumQueriesWhileSilent = 3;

} // namespace

Membership::Membership(const Member& self, const MembershipSettings& settings, std::uint64_t seed)
    : selfId(self.vm)
    , settings(settings)
    , random(seed)
    , links(settings)
{
    assert(!self.vm.isEmpty());
    this->table.set(self);
}

const Member& Membership::getSelf() const
{
    const Member* self = this->table.find(this->selfId);
    assert(self);
    return *self;
}

std::optional<HeartbeatStatus> Membership::getNeighbourStatus(const VmId& vm) const
{
    const auto found = this->statusByNeighbour.find(vm);
    if (found == this->statusByNeighbour.end())
        return std::nullopt;
    return found->second;
}

std::optional<Endpoint> Membership::findPeerEndpoint(const VmId& vm) const
{
    if (const Member* member = this->table.find(vm))
        return member->peerEndpoint;
    const auto seed = this->seeds.find(vm);
    if (seed == this->seeds.end())
        return std::nullopt;
    return seed->second.peerEndpoint;
}

Milliseconds Membership::getNextDeadline() const
{
    if (this->hasDeparted)
        return Milliseconds::never();
    Milliseconds deadline = std::min({ this->nextHeartbeat, this->nextProbe, this->flushAt });
    for (const auto& [vm, report] : this->goneReports)
        deadline = std::min(deadline, report.acceptAt);
    return deadline;
}

MembershipOutput Membership::handleVmList(Milliseconds now, const VmList& list, const std::vector<Member>& newSeeds)
{
    MembershipOutput output;
    this->listedVms.clear();
    for (const VmRecord& record : list)
        this->listedVms.insert(record.vm);
    this->seeds.clear();
    for (const Member& seed : newSeeds) {
        if (seed.vm != this->selfId)
            this->seeds[seed.vm] = seed;
    }
    this->removeExpiredMembers(now);
    return output;
}

MembershipOutput Membership::tick(Milliseconds now)
{
    MembershipOutput output;
    if (this->hasDeparted)
        return output;
    this->detectOwnPause(now);
    this->acceptGoneReports(now, output);
    if (now >= this->nextHeartbeat) {
        this->nextHeartbeat = std::max(this->nextHeartbeat + this->settings.heartbeatPeriod, now);
        this->updateNeighbours(now, output);
        this->sendHeartbeats(output);
        this->assessNeighbours(now, output);
        this->sendJoinRequests(output);
    }
    if (now >= this->nextProbe) {
        this->nextProbe = std::max(this->nextProbe + this->settings.probePeriod, now);
        this->removeExpiredMembers(now);
        this->sendProbe(output);
    }
    this->updateNeighbours(now, output);
    if (now >= this->flushAt)
        this->flush(output);
    return output;
}

MembershipOutput Membership::leave(Milliseconds now)
{
    MembershipOutput output;
    Member self = this->getSelf();
    if (self.state != MemberState::Live)
        return output;
    self.state = MemberState::Leaving;
    this->replaceMember(now, self, output);
    this->queueNews(now, this->selfId);
    this->flush(output);
    return output;
}

MembershipOutput Membership::depart(Milliseconds now)
{
    MembershipOutput output;
    Member self = this->getSelf();
    self.state = MemberState::Gone;
    this->updateNeighbours(now, output);
    for (const VmId& vm : this->neighbours)
        output.sends.push_back({ vm, MemberNews { { self }, false } });
    this->hasDeparted = true;
    return output;
}

/** Resets the measured silence after a pause of this VM: it received nothing then, whatever the others sent. */
void Membership::detectOwnPause(Milliseconds now)
{
    if (!this->lastTick) {
        const auto drawDelay = [&](Milliseconds period) {
            return Milliseconds(std::uniform_int_distribution<std::int64_t>(0, period.count() - 1)(this->random));
        };
        this->nextHeartbeat = now + drawDelay(this->settings.heartbeatPeriod);
        this->nextProbe = now + drawDelay(this->settings.probePeriod);
        this->sequence = 0;
    } else if (now - *this->lastTick >= this->settings.suspectAfter) {
        this->links.resetSilence(now);
        for (auto& [vm, report] : this->goneReports)
            report.acceptAt = now + this->settings.refutationPeriod;
    }
    this->lastTick = now;
}

void Membership::sendHeartbeats(MembershipOutput& output)
{
    Heartbeat heartbeat;
    heartbeat.vm = this->selfId;
    heartbeat.incarnation = this->getSelf().incarnation;
    heartbeat.sequence = ++this->sequence;
    heartbeat.revision = this->heartbeatStatus.revision;
    heartbeat.membersDigest = this->table.getDigest();
    heartbeat.withdrawalsDigest = this->heartbeatStatus.withdrawalsDigest;
    heartbeat.shareEpoch = this->heartbeatStatus.shareEpoch;
    heartbeat.adopters = this->heartbeatStatus.adopters;
    for (const VmId& vm : this->neighbours)
        output.sends.push_back({ vm, heartbeat });
}

void Membership::assessNeighbours(Milliseconds now, MembershipOutput& output)
{
    const std::vector<VmId> assessedNeighbours = this->neighbours;
    for (const VmId& vm : assessedNeighbours)
        this->assessNeighbour(now, vm, output);
}

void Membership::assessNeighbour(Milliseconds now, const VmId& vm, MembershipOutput& output)
{
    const LinkState state = this->links.assess(now, vm);
    const Member* held = this->table.find(vm);
    assert(held);
    Member member = *held;
    const bool isSuspect = state == LinkState::Suspect || state == LinkState::Failed;
    if (isSuspect != (member.state == MemberState::Suspect) && member.state != MemberState::Leaving) {
        member.state = isSuspect ? MemberState::Suspect : MemberState::Live;
        this->replaceMember(now, member, output);
    }
    if (state == LinkState::Reachable)
        return;

    std::vector<VmId> others = this->rings.computeNeighbours(vm, this->table.getMembers());
    others.erase(std::remove(others.begin(), others.end(), this->selfId), others.end());
    if (state == LinkState::Failed && this->goneReports.count(vm) == 0 && this->mayDeclareGone(now, vm, others)) {
        Member gone = member;
        gone.state = MemberState::Gone;
        this->applyGoneReport(now, gone, member, output);
    }
    this->announceSelfTo(vm, output);
    this->queryOthersAbout(member, std::move(others), isSuspect, output);
}

/** A VM that receives no heartbeats at all may itself be isolated, and leaves the decision to the others. */
bool Membership::mayDeclareGone(Milliseconds now, const VmId& vm, const std::vector<VmId>& others) const
{
    const bool isDelisted = !this->listedVms.empty() && !this->isInVmList(vm);
    return others.empty() || isDelisted || this->links.isReportedSilent(now, vm)
        || this->links.hasAnyRecentHeartbeat(now);
}

void Membership::queryOthersAbout(
    const Member& member, std::vector<VmId> others, bool isSuspect, MembershipOutput& output)
{
    if (!isSuspect && others.size() > maximumQueriesWhileSilent) {
        std::shuffle(others.begin(), others.end(), this->random);
        others.resize(maximumQueriesWhileSilent);
    }
    Member question = member;
    question.state = MemberState::Suspect;
    for (const VmId& other : others)
        output.sends.push_back({ other, MemberNews { { question }, false } });
}

/** Sends this VM's own entry: a VM that does not know it sends it no heartbeats. */
void Membership::announceSelfTo(const VmId& vm, MembershipOutput& output) const
{
    output.sends.push_back({ vm, MemberNews { { this->getSelf() }, false } });
}

void Membership::sendJoinRequests(MembershipOutput& output)
{
    if (this->hasJoined)
        return;
    std::vector<VmId> targets;
    for (const auto& [vm, seed] : this->seeds)
        targets.push_back(vm);
    std::shuffle(targets.begin(), targets.end(), this->random);
    targets.resize(std::min(targets.size(), maximumSeedsPerJoin));
    for (const VmId& vm : targets)
        output.sends.push_back({ vm, MemberNews { { this->getSelf() }, true } });
}

/** Contacts one expected VM that is unknown or Gone, so that the halves of a partition merge when it ends. */
void Membership::sendProbe(MembershipOutput& output)
{
    std::vector<VmId> candidates;
    for (const auto& [vm, seed] : this->seeds) {
        const Member* member = this->table.find(vm);
        if (!member || member->state == MemberState::Gone)
            candidates.push_back(vm);
    }
    for (const auto& [vm, member] : this->table.getMembers()) {
        if (member.state == MemberState::Gone && this->isInVmList(vm) && this->seeds.count(vm) == 0)
            candidates.push_back(vm);
    }
    if (candidates.empty())
        return;
    const std::size_t index = std::uniform_int_distribution<std::size_t>(0, candidates.size() - 1)(this->random);
    output.sends.push_back({ candidates[index], MemberNews { { this->getSelf() }, true } });
}

void Membership::acceptGoneReports(Milliseconds now, MembershipOutput& output)
{
    std::vector<Member> accepted;
    for (const auto& [vm, report] : this->goneReports) {
        if (now >= report.acceptAt)
            accepted.push_back(report.member);
    }
    for (const Member& member : accepted)
        this->replaceMember(now, member, output);
}

void Membership::removeExpiredMembers(Milliseconds now)
{
    for (auto entry = this->goneSince.begin(); entry != this->goneSince.end();) {
        const VmId vm = entry->first;
        const bool isForgotten = now - entry->second >= this->settings.goneRetention && !this->isInVmList(vm);
        if (isForgotten)
            this->table.remove(vm);
        entry = isForgotten ? this->goneSince.erase(entry) : std::next(entry);
    }
}

void Membership::flush(MembershipOutput& output)
{
    MemberNews news;
    for (const VmId& vm : this->queuedNews) {
        const auto report = this->goneReports.find(vm);
        const Member* member = report == this->goneReports.end() ? this->table.find(vm) : &report->second.member;
        if (member)
            news.members.push_back(withoutSuspicion(*member));
    }
    this->queuedNews.clear();
    this->flushAt = Milliseconds::never();
    for (const VmId& vm : this->neighbours) {
        if (!news.members.empty())
            output.sends.push_back({ vm, news });
    }
}

void Membership::replaceMember(Milliseconds now, const Member& member, MembershipOutput& output)
{
    const Member* held = this->table.find(member.vm);
    const Member before = held ? *held : Member {};
    output.changes.push_back({ before, member });
    this->table.set(member);
    const auto report = this->goneReports.find(member.vm);
    if (report != this->goneReports.end() && compareRecency(member, report->second.member) >= 0)
        this->goneReports.erase(report);
    if (member.state == MemberState::Gone) {
        this->goneSince[member.vm] = now;
        this->tableExchanges.erase(member.vm);
    } else {
        this->goneSince.erase(member.vm);
    }
    const bool wasPresent = !before.vm.isEmpty() && before.state != MemberState::Gone;
    const bool isMoved = before.region != member.region || before.domain != member.domain;
    if (wasPresent != (member.state != MemberState::Gone) || isMoved)
        this->areNeighboursStale = true;
    // After a refutation or a new incarnation, the silence is measured from the start again.
    if (member.state != MemberState::Gone && compareRecency(member, before) > 0)
        this->links.recordConfirmation(now, member.vm);
}

void Membership::queueNews(Milliseconds now, const VmId& vm)
{
    this->queuedNews.insert(vm);
    this->flushAt = std::min(this->flushAt, now + this->settings.disseminationDelay);
}

void Membership::updateNeighbours(Milliseconds now, MembershipOutput& output)
{
    if (!this->areNeighboursStale)
        return;
    this->areNeighboursStale = false;
    this->neighbours = this->rings.computeNeighbours(this->selfId, this->table.getMembers());
    this->links.setNeighbours(now, this->neighbours);
    this->clearSuspicionsOfNonNeighbours(now, output);
    std::erase_if(this->statusByNeighbour, [&](const auto& entry) {
        return !std::binary_search(this->neighbours.begin(), this->neighbours.end(), entry.first);
    });
}

/** Other VMs monitor the former neighbours, so this VM drops its own suspicions of them. */
void Membership::clearSuspicionsOfNonNeighbours(Milliseconds now, MembershipOutput& output)
{
    std::vector<Member> suspects;
    for (const auto& [vm, member] : this->table.getMembers()) {
        const bool isNeighbour = std::binary_search(this->neighbours.begin(), this->neighbours.end(), vm);
        if (member.state == MemberState::Suspect && !isNeighbour)
            suspects.push_back(member);
    }
    for (const Member& suspect : suspects)
        this->replaceMember(now, withoutSuspicion(suspect), output);
}

} // namespace papayashelf
