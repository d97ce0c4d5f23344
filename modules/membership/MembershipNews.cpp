#include "membership/Membership.h"

#include <algorithm>
#include <utility>

namespace papayashelf {

namespace {

/** Differing digests in a row after which the whole table is sent. News in transit can cause a single one. */
constexpr int differingDigestsBeforeTable = 2;

/** The same limit for the VM with the larger id, so that the other VM sends its table first. */
constexpr int differingDigestsBeforeReverseTable = 4;

std::vector<Member> listWithoutSuspicion(const std::map<VmId, Member>& members)
{
    std::vector<Member> values;
    values.reserve(members.size());
    for (const auto& [vm, member] : members)
        values.push_back(withoutSuspicion(member));
    return values;
}

} // namespace

MembershipOutput Membership::handleHeartbeat(Milliseconds now, const Heartbeat& heartbeat, const VmId& from)
{
    MembershipOutput output;
    if (this->hasDeparted || from == this->selfId || heartbeat.vm != from)
        return output;
    const Member* member = this->table.find(from);
    if (!member || heartbeat.incarnation > member->incarnation)
        return output; // Its endpoints are unknown until it announces itself by news.
    if (heartbeat.incarnation < member->incarnation || member->state == MemberState::Gone) {
        output.sends.push_back({ from, MemberNews { { *member }, false } });
        return output;
    }
    this->links.recordHeartbeat(now, from);
    if (member->state == MemberState::Suspect)
        this->replaceMember(now, withoutSuspicion(*member), output);
    if (std::binary_search(this->neighbours.begin(), this->neighbours.end(), from))
        this->statusByNeighbour[from]
            = { heartbeat.revision, heartbeat.withdrawalsDigest, heartbeat.shareEpoch, heartbeat.adopters };
    this->compareDigest(now, heartbeat.membersDigest, from, output);
    return output;
}

MembershipOutput Membership::handleNews(Milliseconds now, const MemberNews& news, const VmId& from)
{
    MembershipOutput output;
    if (this->hasDeparted || from == this->selfId)
        return output;
    const bool isFirstNews = !this->hasJoined;
    this->hasJoined = true;
    std::map<VmId, Member> answer;
    for (const Member& member : news.members) {
        if (member.vm == this->selfId)
            this->applyNewsAboutSelf(now, member, answer, output);
        else if (member.state == MemberState::Suspect)
            this->answerQuery(now, member, from, answer);
        else
            this->applyNews(now, member, news.isWholeTable, from, answer, output);
    }
    if (news.isWholeTable)
        this->addMissingMembers(news, answer);
    if (!answer.empty())
        output.sends.push_back({ from, MemberNews { listWithoutSuspicion(answer), false } });
    if (isFirstNews) {
        // The neighbours already know what a new VM has just received, and need only the new VM's own entry.
        this->queuedNews.clear();
        this->queueNews(now, this->selfId);
    }
    this->updateNeighbours(now, output);
    return output;
}

void Membership::applyNews(Milliseconds now, const Member& member, bool isWholeTable, const VmId& from,
    std::map<VmId, Member>& answer, MembershipOutput& output)
{
    const Member* held = this->table.find(member.vm);
    if (!held) {
        if (member.state == MemberState::Gone)
            return;
        this->replaceMember(now, member, output);
        this->queueNews(now, member.vm);
        return;
    }
    const int order = compareRecency(member, *held);
    if (order < 0) {
        answer[member.vm] = *held;
        return;
    }
    if (order == 0) {
        // Equal news outside a whole table, such as the answer to a query, shows that its sender hears the VM.
        const bool isIndirectConfirmation = !isWholeTable && member.state != MemberState::Gone && from != member.vm;
        if (isIndirectConfirmation)
            this->links.recordConfirmation(now, member.vm);
        return;
    }
    const bool isSameIncarnation = member.incarnation == held->incarnation;
    if (member.state == MemberState::Gone && isSameIncarnation) {
        this->applyGoneReport(now, member, *held, output);
        return;
    }
    this->replaceMember(now, member, output);
    this->queueNews(now, member.vm);
}

/** Forwards a report at once but accepts it after refutationPeriod, so that a running VM can refute it first. */
void Membership::applyGoneReport(Milliseconds now, const Member& member, const Member& held, MembershipOutput& output)
{
    if (held.state == MemberState::Gone) {
        this->replaceMember(now, member, output);
        return;
    }
    const auto report = this->goneReports.find(member.vm);
    if (report != this->goneReports.end() && compareRecency(member, report->second.member) <= 0)
        return;
    this->goneReports[member.vm] = { member, now + this->settings.refutationPeriod };
    this->queueNews(now, member.vm);
}

void Membership::applyNewsAboutSelf(
    Milliseconds now, const Member& member, std::map<VmId, Member>& answer, MembershipOutput& output)
{
    Member self = this->getSelf();
    if (member.incarnation > self.incarnation) {
        this->hasNewerIncarnation = true;
        return;
    }
    const int order = compareRecency(member, self);
    if (order > 0) {
        self.refutation = member.refutation + 1;
        this->replaceMember(now, self, output);
        this->queueNews(now, this->selfId);
    }
    if (order != 0)
        answer[this->selfId] = self;
}

void Membership::answerQuery(Milliseconds now, const Member& member, const VmId& from, std::map<VmId, Member>& answer)
{
    const Member* held = this->table.find(member.vm);
    if (!held)
        return;
    if (compareRecency(member, *held) < 0 || this->links.hasRecentHeartbeat(now, member.vm))
        answer[member.vm] = *held;
    else
        this->links.recordSilenceReport(now, member.vm, from);
}

void Membership::addMissingMembers(const MemberNews& news, std::map<VmId, Member>& answer) const
{
    std::set<VmId> reportedVms;
    for (const Member& member : news.members)
        reportedVms.insert(member.vm);
    for (const auto& [vm, member] : this->table.getMembers()) {
        if (member.state != MemberState::Gone && reportedVms.count(vm) == 0)
            answer[vm] = member;
    }
}

void Membership::compareDigest(Milliseconds now, std::uint64_t theirDigest, const VmId& from, MembershipOutput& output)
{
    TableExchange& exchange = this->tableExchanges[from];
    if (theirDigest == this->table.getDigest()) {
        exchange.consecutiveDifferences = 0;
        return;
    }
    ++exchange.consecutiveDifferences;
    const bool hasSmallerId = this->selfId < from;
    if (exchange.consecutiveDifferences
        < (hasSmallerId ? differingDigestsBeforeTable : differingDigestsBeforeReverseTable))
        return;
    if (exchange.sentAt && now - *exchange.sentAt < this->settings.minimumTableInterval)
        return;
    exchange.sentAt = now;
    output.sends.push_back({ from, MemberNews { listWithoutSuspicion(this->table.getMembers()), true } });
}

} // namespace papayashelf
