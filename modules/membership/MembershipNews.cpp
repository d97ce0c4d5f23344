#include "membership/Membership.h"

#include <algorithm>
#include <utility>

namespace papayashelf {

namespace {

/** Differing digests in a row after which the whole table is sent: news under way explains a single one. */
constexpr int differingDigestsBeforeTable = 2;

/** The same for the VM with the larger id, which leaves the first move to the other. */
constexpr int differingDigestsBeforeReverseTable = 4;

std::vector<Member> valuesOf(const std::map<VmId, Member>& members)
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
    if (this->departed || from == this->selfId || heartbeat.vm != from)
        return output;
    const Member* member = this->table.find(from);
    if (!member || heartbeat.incarnation > member->incarnation)
        return output; // It introduces itself by news; its endpoints are not known before.
    if (heartbeat.incarnation < member->incarnation || member->state == MemberState::Gone) {
        output.sends.push_back({ from, MemberNews { { *member }, false } });
        return output;
    }
    this->links.noteHeard(now, from);
    if (member->state == MemberState::Suspect)
        this->replace(now, withoutSuspicion(*member), output);
    if (std::binary_search(this->neighbours.begin(), this->neighbours.end(), from))
        this->factsByNeighbour[from]
            = { heartbeat.revision, heartbeat.withdrawalsDigest, heartbeat.shareEpoch, heartbeat.adopters };
    this->compareDigest(now, heartbeat.membersDigest, from, output);
    return output;
}

MembershipOutput Membership::handleNews(Milliseconds now, const MemberNews& news, const VmId& from)
{
    MembershipOutput output;
    if (this->departed || from == this->selfId)
        return output;
    const bool isFirstNews = !this->joined;
    this->joined = true;
    std::map<VmId, Member> answer;
    for (const Member& member : news.members) {
        if (member.vm == this->selfId)
            this->takeNewsOfSelf(now, member, answer, output);
        else if (member.state == MemberState::Suspect)
            this->takeQuestion(now, member, from, answer);
        else
            this->takeNews(now, member, news.isWholeTable, from, answer, output);
    }
    if (news.isWholeTable)
        this->addWhatIsMissing(news, answer);
    if (!answer.empty())
        output.sends.push_back({ from, MemberNews { valuesOf(answer), false } });
    if (isFirstNews) {
        // What a newcomer is told is news to itself alone; its own coming is news to its neighbours.
        this->queued.clear();
        this->queueNews(now, this->selfId);
    }
    this->updateNeighbours(now, output);
    return output;
}

void Membership::takeNews(Milliseconds now, const Member& member, bool isWholeTable, const VmId& from,
    std::map<VmId, Member>& answer, MembershipOutput& output)
{
    const Member* held = this->table.find(member.vm);
    if (!held) {
        if (member.state == MemberState::Gone)
            return;
        this->replace(now, member, output);
        this->queueNews(now, member.vm);
        return;
    }
    const int order = compareNews(member, *held);
    if (order < 0) {
        answer[member.vm] = *held;
        return;
    }
    if (order == 0) {
        // Told by itself or as an answer to a question: the teller hears it.
        const bool isVouch = !isWholeTable && member.state != MemberState::Gone && from != member.vm;
        if (isVouch)
            this->links.noteVouch(now, member.vm);
        return;
    }
    const bool isSameLife = member.incarnation == held->incarnation;
    if (member.state == MemberState::Gone && isSameLife) {
        this->takeGone(now, member, *held, output);
        return;
    }
    this->replace(now, member, output);
    this->queueNews(now, member.vm);
}

/** Spreads a report at once and believes it later, so that a VM that is still there can deny it first. */
void Membership::takeGone(Milliseconds now, const Member& member, const Member& held, MembershipOutput& output)
{
    if (held.state == MemberState::Gone) {
        this->replace(now, member, output);
        return;
    }
    const auto report = this->goneReports.find(member.vm);
    if (report != this->goneReports.end() && compareNews(member, report->second.member) <= 0)
        return;
    this->goneReports[member.vm] = { member, now + this->settings.refutationPeriod };
    this->queueNews(now, member.vm);
}

void Membership::takeNewsOfSelf(
    Milliseconds now, const Member& member, std::map<VmId, Member>& answer, MembershipOutput& output)
{
    Member self = this->getSelf();
    if (member.incarnation > self.incarnation) {
        this->replaced = true;
        return;
    }
    const int order = compareNews(member, self);
    if (order > 0) {
        self.refutation = member.refutation + 1;
        this->replace(now, self, output);
        this->queueNews(now, this->selfId);
    }
    if (order != 0)
        answer[this->selfId] = self;
}

void Membership::takeQuestion(Milliseconds now, const Member& member, const VmId& from, std::map<VmId, Member>& answer)
{
    const Member* held = this->table.find(member.vm);
    if (!held)
        return;
    if (compareNews(member, *held) < 0 || this->links.isHeard(now, member.vm))
        answer[member.vm] = *held;
    else
        this->links.noteMissedBy(now, member.vm, from);
}

void Membership::addWhatIsMissing(const MemberNews& news, std::map<VmId, Member>& answer) const
{
    std::set<VmId> told;
    for (const Member& member : news.members)
        told.insert(member.vm);
    for (const auto& [vm, member] : this->table.getMembers()) {
        if (member.state != MemberState::Gone && told.count(vm) == 0)
            answer[vm] = member;
    }
}

void Membership::compareDigest(Milliseconds now, std::uint64_t theirs, const VmId& from, MembershipOutput& output)
{
    TableExchange& exchange = this->exchanges[from];
    if (theirs == this->table.getDigest()) {
        exchange.differing = 0;
        return;
    }
    ++exchange.differing;
    const bool isFirstToMove = this->selfId < from;
    if (exchange.differing < (isFirstToMove ? differingDigestsBeforeTable : differingDigestsBeforeReverseTable))
        return;
    if (exchange.sentAt && now - *exchange.sentAt < this->settings.tableInterval)
        return;
    exchange.sentAt = now;
    output.sends.push_back({ from, MemberNews { valuesOf(this->table.getMembers()), true } });
}

} // namespace papayashelf
