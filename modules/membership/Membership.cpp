#include "membership/Membership.h"

#include <algorithm>
#include <cassert>

namespace papayashelf {

namespace {

constexpr std::size_t seedsTriedAtOnce = 3;
constexpr std::size_t othersAskedWhileQuiet = 3;

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

std::optional<HeartbeatStatus> Membership::getFacts(const VmId& vm) const
{
    const auto found = this->factsByNeighbour.find(vm);
    if (found == this->factsByNeighbour.end())
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
    if (this->departed)
        return Milliseconds::never();
    Milliseconds deadline = std::min({ this->nextHeartbeat, this->nextProbe, this->flushAt });
    for (const auto& [vm, report] : this->goneReports)
        deadline = std::min(deadline, report.acceptAt);
    return deadline;
}

MembershipOutput Membership::handleVmList(Milliseconds now, const VmList& list, const std::vector<Member>& newSeeds)
{
    MembershipOutput output;
    this->listed.clear();
    for (const VmRecord& record : list)
        this->listed.insert(record.vm);
    this->seeds.clear();
    for (const Member& seed : newSeeds) {
        if (seed.vm != this->selfId)
            this->seeds[seed.vm] = seed;
    }
    this->forgetOldMembers(now);
    return output;
}

MembershipOutput Membership::tick(Milliseconds now)
{
    MembershipOutput output;
    if (this->departed)
        return output;
    this->noteOwnPause(now);
    this->acceptGoneReports(now, output);
    if (now >= this->nextHeartbeat) {
        this->nextHeartbeat = std::max(this->nextHeartbeat + this->settings.heartbeatPeriod, now);
        this->updateNeighbours(now, output);
        this->sendHeartbeats(output);
        this->assessNeighbours(now, output);
        this->sendJoins(output);
    }
    if (now >= this->nextProbe) {
        this->nextProbe = std::max(this->nextProbe + this->settings.probePeriod, now);
        this->forgetOldMembers(now);
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
    this->replace(now, self, output);
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
    this->departed = true;
    return output;
}

/** A VM that was paused has heard nobody, and that says nothing about the others. */
void Membership::noteOwnPause(Milliseconds now)
{
    if (!this->lastTick) {
        const auto pick = [&](Milliseconds period) {
            return Milliseconds(std::uniform_int_distribution<std::int64_t>(0, period.count() - 1)(this->random));
        };
        this->nextHeartbeat = now + pick(this->settings.heartbeatPeriod);
        this->nextProbe = now + pick(this->settings.probePeriod);
        this->sequence = 0;
    } else if (now - *this->lastTick >= this->settings.suspectAfter) {
        this->links.restart(now);
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
    heartbeat.revision = this->facts.revision;
    heartbeat.membersDigest = this->table.getDigest();
    heartbeat.withdrawalsDigest = this->facts.withdrawalsDigest;
    heartbeat.shareEpoch = this->facts.shareEpoch;
    heartbeat.adopters = this->facts.adopters;
    for (const VmId& vm : this->neighbours)
        output.sends.push_back({ vm, heartbeat });
}

void Membership::assessNeighbours(Milliseconds now, MembershipOutput& output)
{
    const std::vector<VmId> assessed = this->neighbours;
    for (const VmId& vm : assessed)
        this->assessNeighbour(now, vm, output);
}

void Membership::assessNeighbour(Milliseconds now, const VmId& vm, MembershipOutput& output)
{
    const LinkState state = this->links.assess(now, vm);
    const Member* held = this->table.find(vm);
    assert(held);
    Member member = *held;
    const bool isSuspect = state == LinkState::Suspect || state == LinkState::Lost;
    if (isSuspect != (member.state == MemberState::Suspect) && member.state != MemberState::Leaving) {
        member.state = isSuspect ? MemberState::Suspect : MemberState::Live;
        this->replace(now, member, output);
    }
    if (state == LinkState::Heard)
        return;

    std::vector<VmId> others = this->rings.neighboursOf(vm, this->table.getMembers());
    others.erase(std::remove(others.begin(), others.end(), this->selfId), others.end());
    if (state == LinkState::Lost && this->goneReports.count(vm) == 0 && this->mayDeclareGone(now, vm, others)) {
        Member gone = member;
        gone.state = MemberState::Gone;
        this->takeGone(now, gone, member, output);
    }
    this->introduceTo(vm, output);
    this->askAbout(member, std::move(others), isSuspect, output);
}

/** A VM that hears nobody at all may itself be the one that is cut off, and leaves the verdict to others. */
bool Membership::mayDeclareGone(Milliseconds now, const VmId& vm, const std::vector<VmId>& others) const
{
    const bool isDelisted = !this->listed.empty() && !this->isInVmList(vm);
    return others.empty() || isDelisted || this->links.isMissedByOthers(now, vm) || this->links.isAnyHeard(now);
}

void Membership::askAbout(const Member& member, std::vector<VmId> others, bool isSuspect, MembershipOutput& output)
{
    if (!isSuspect && others.size() > othersAskedWhileQuiet) {
        std::shuffle(others.begin(), others.end(), this->random);
        others.resize(othersAskedWhileQuiet);
    }
    Member question = member;
    question.state = MemberState::Suspect;
    for (const VmId& other : others)
        output.sends.push_back({ other, MemberNews { { question }, false } });
}

/** The other may not know this VM yet, and would then send it no heartbeats. */
void Membership::introduceTo(const VmId& vm, MembershipOutput& output) const
{
    output.sends.push_back({ vm, MemberNews { { this->getSelf() }, false } });
}

void Membership::sendJoins(MembershipOutput& output)
{
    if (this->joined)
        return;
    std::vector<VmId> tried;
    for (const auto& [vm, seed] : this->seeds)
        tried.push_back(vm);
    std::shuffle(tried.begin(), tried.end(), this->random);
    tried.resize(std::min(tried.size(), seedsTriedAtOnce));
    for (const VmId& vm : tried)
        output.sends.push_back({ vm, MemberNews { { this->getSelf() }, true } });
}

/** Tries one VM that should be there but is not known to be: after a partition this joins the halves. */
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
        this->replace(now, member, output);
}

void Membership::forgetOldMembers(Milliseconds now)
{
    for (auto entry = this->goneSince.begin(); entry != this->goneSince.end();) {
        const VmId vm = entry->first;
        const bool isForgotten = now - entry->second >= this->settings.forgetAfter && !this->isInVmList(vm);
        if (isForgotten)
            this->table.remove(vm);
        entry = isForgotten ? this->goneSince.erase(entry) : std::next(entry);
    }
}

void Membership::flush(MembershipOutput& output)
{
    MemberNews news;
    for (const VmId& vm : this->queued) {
        const auto report = this->goneReports.find(vm);
        const Member* member = report == this->goneReports.end() ? this->table.find(vm) : &report->second.member;
        if (member)
            news.members.push_back(withoutSuspicion(*member));
    }
    this->queued.clear();
    this->flushAt = Milliseconds::never();
    for (const VmId& vm : this->neighbours) {
        if (!news.members.empty())
            output.sends.push_back({ vm, news });
    }
}

void Membership::replace(Milliseconds now, const Member& member, MembershipOutput& output)
{
    const Member* held = this->table.find(member.vm);
    const Member before = held ? *held : Member {};
    output.changes.push_back({ before, member });
    this->table.set(member);
    const auto report = this->goneReports.find(member.vm);
    if (report != this->goneReports.end() && compareNews(member, report->second.member) >= 0)
        this->goneReports.erase(report);
    if (member.state == MemberState::Gone) {
        this->goneSince[member.vm] = now;
        this->exchanges.erase(member.vm);
    } else {
        this->goneSince.erase(member.vm);
    }
    const bool wasThere = !before.vm.isEmpty() && before.state != MemberState::Gone;
    const bool isMoved = before.region != member.region || before.domain != member.domain;
    if (wasThere != (member.state != MemberState::Gone) || isMoved)
        this->areNeighboursStale = true;
    // A refutation or a new life gets the full time to be heard again.
    if (member.state != MemberState::Gone && compareNews(member, before) > 0)
        this->links.noteVouch(now, member.vm);
}

void Membership::queueNews(Milliseconds now, const VmId& vm)
{
    this->queued.insert(vm);
    this->flushAt = std::min(this->flushAt, now + this->settings.spreadDelay);
}

void Membership::updateNeighbours(Milliseconds now, MembershipOutput& output)
{
    if (!this->areNeighboursStale)
        return;
    this->areNeighboursStale = false;
    this->neighbours = this->rings.neighboursOf(this->selfId, this->table.getMembers());
    this->links.setNeighbours(now, this->neighbours);
    this->dropSuspicionsOfOthers(now, output);
    std::erase_if(this->factsByNeighbour, [&](const auto& entry) {
        return !std::binary_search(this->neighbours.begin(), this->neighbours.end(), entry.first);
    });
}

/** A VM that is no neighbour any more is judged by others. */
void Membership::dropSuspicionsOfOthers(Milliseconds now, MembershipOutput& output)
{
    std::vector<Member> suspects;
    for (const auto& [vm, member] : this->table.getMembers()) {
        const bool isNeighbour = std::binary_search(this->neighbours.begin(), this->neighbours.end(), vm);
        if (member.state == MemberState::Suspect && !isNeighbour)
            suspects.push_back(member);
    }
    for (const Member& suspect : suspects)
        this->replace(now, withoutSuspicion(suspect), output);
}

} // namespace papayashelf
