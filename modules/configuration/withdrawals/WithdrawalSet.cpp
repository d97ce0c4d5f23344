#include "configuration/withdrawals/WithdrawalSet.h"

#include <algorithm>
#include <set>
#include <utility>

namespace papayashelf {

namespace {

/** Differing digests in a row after which the whole set is sent: a notice under way explains a single one. */
constexpr int differingDigestsBeforeSet = 2;

/** How long the reach of a withdrawal can be asked after its last notice. */
constexpr Milliseconds reachKept = Milliseconds::fromSeconds(3600);

/** Most entries in one notice; keeps it well below a megabyte. */
constexpr std::size_t mostEntriesInNotice = 2500;

} // namespace

WithdrawalSet::WithdrawalSet(VmId self, const ConfigurationSettings& settings, std::uint64_t seed)
    : self(std::move(self))
    , settings(settings)
    , table(settings.withdrawalRevisions)
    , reach(seed)
    , store(settings, seed + 1)
{
}

void WithdrawalSet::setMembers(std::vector<VmId> newNeighbours, const std::map<VmId, Member>& members)
{
    this->neighbours = std::move(newNeighbours);
    this->reach.setMembers(members);
    std::erase_if(this->exchanges, [&](const auto& exchange) { return !this->isNeighbour(exchange.first); });
}

void WithdrawalSet::setGovernance(std::shared_ptr<const Governance> governance)
{
    this->table.setGovernance(std::move(governance));
}

ConfigurationOutput WithdrawalSet::withdraw(Milliseconds now, const Withdrawal& withdrawal)
{
    ConfigurationOutput output;
    this->forgetOldReaches(now);
    this->take(now, { withdrawal }, this->self, output);
    this->reach.follow(this->self, withdrawal.key);
    this->followedUntil[withdrawal.key] = now + this->settings.noticeDuration;
    this->notifyUnreachedRegions(now, output);
    return output;
}

ConfigurationOutput WithdrawalSet::handleNotice(Milliseconds now, const WithdrawalNotice& notice, const VmId& from)
{
    ConfigurationOutput output;
    this->take(now, notice.withdrawals, from, output);
    for (const Withdrawal& withdrawal : notice.withdrawals)
        this->reach.confirm(withdrawal.key, from);
    if (notice.isWholeSet)
        this->answerWhatIsMissing(notice, from, output);
    else if (!this->isNeighbour(from))
        this->acknowledge(notice.withdrawals, from, output);
    return output;
}

ConfigurationOutput WithdrawalSet::handleHeartbeat(Milliseconds now, std::uint64_t digest, const VmId& from)
{
    ConfigurationOutput output;
    Exchange& exchange = this->exchanges[from];
    if (digest == this->table.getDigest()) {
        exchange.differing = 0;
        this->reach.confirmAll(from);
        return output;
    }
    const bool isTooSoon = exchange.sentAt && now - *exchange.sentAt < this->settings.wholeSetInterval;
    if (++exchange.differing < differingDigestsBeforeSet || isTooSoon)
        return output;
    exchange.sentAt = now;
    this->sendWholeSet(from, output);
    return output;
}

ConfigurationOutput WithdrawalSet::handleStoreReply(Milliseconds now, std::uint64_t call, const StoreReply& reply)
{
    ConfigurationOutput output;
    this->take(now, this->store.handleReply(now, call, reply, output), this->self, output);
    return output;
}

ConfigurationOutput WithdrawalSet::tick(Milliseconds now)
{
    ConfigurationOutput output;
    this->store.tick(now, this->table, output);
    if (now >= this->nextNotice)
        this->notifyUnreachedRegions(now, output);
    return output;
}

Milliseconds WithdrawalSet::getNextDeadline() const
{
    return std::min(this->store.getNextDeadline(), this->nextNotice);
}

/** Adds what is new and passes it on at once to every neighbour but the one that it came from. */
void WithdrawalSet::take(
    Milliseconds now, const std::vector<Withdrawal>& withdrawals, const VmId& from, ConfigurationOutput& output)
{
    WithdrawalNotice news;
    for (const Withdrawal& withdrawal : withdrawals) {
        const bool wasKnown = this->table.contains(withdrawal.key);
        if (!this->table.add(withdrawal))
            continue;
        news.withdrawals.push_back(withdrawal);
        if (!wasKnown)
            output.withdrawn.push_back(withdrawal);
    }
    if (news.withdrawals.empty())
        return;
    this->store.noteGrowth(now);
    for (const VmId& vm : this->neighbours) {
        if (vm != from)
            output.sends.push_back({ vm, news });
    }
}

/** A VM that is no neighbour sent it to learn whether this region is reached; an answer is not answered again. */
void WithdrawalSet::acknowledge(
    const std::vector<Withdrawal>& withdrawals, const VmId& from, ConfigurationOutput& output) const
{
    const bool isAnswer = std::any_of(withdrawals.begin(), withdrawals.end(),
        [&](const Withdrawal& withdrawal) { return this->reach.isFollowed(withdrawal.key); });
    if (!isAnswer)
        output.sends.push_back({ from, WithdrawalNotice { withdrawals, false } });
}

void WithdrawalSet::answerWhatIsMissing(
    const WithdrawalNotice& notice, const VmId& from, ConfigurationOutput& output) const
{
    const std::set<Withdrawal> told(notice.withdrawals.begin(), notice.withdrawals.end());
    WithdrawalNotice answer;
    for (const Withdrawal& withdrawal : this->table.getAll()) {
        if (told.count(withdrawal) == 0)
            answer.withdrawals.push_back(withdrawal);
    }
    if (!answer.withdrawals.empty())
        output.sends.push_back({ from, std::move(answer) });
}

void WithdrawalSet::sendWholeSet(const VmId& to, ConfigurationOutput& output) const
{
    const std::vector<Withdrawal> all = this->table.getAll();
    const bool isWhole = all.size() <= mostEntriesInNotice;
    WithdrawalNotice notice { {}, isWhole };
    for (const Withdrawal& withdrawal : all) {
        notice.withdrawals.push_back(withdrawal);
        if (notice.withdrawals.size() == mostEntriesInNotice)
            output.sends.push_back({ to, std::exchange(notice, WithdrawalNotice { {}, isWhole }) });
    }
    if (!notice.withdrawals.empty() || all.empty())
        output.sends.push_back({ to, std::move(notice) });
}

void WithdrawalSet::notifyUnreachedRegions(Milliseconds now, ConfigurationOutput& output)
{
    this->nextNotice = Milliseconds::never();
    for (const auto& [key, until] : this->followedUntil) {
        const std::optional<Withdrawal> withdrawal = this->table.find(key);
        if (now >= until || !withdrawal)
            continue;
        const std::vector<VmId> chosen = this->reach.chooseUnreached(key);
        for (const VmId& vm : chosen)
            output.sends.push_back({ vm, WithdrawalNotice { { *withdrawal }, false } });
        if (!chosen.empty())
            this->nextNotice = now + this->settings.noticeInterval;
    }
}

void WithdrawalSet::forgetOldReaches(Milliseconds now)
{
    std::erase_if(this->followedUntil, [&](const auto& followed) {
        const bool isOld = now >= followed.second + reachKept;
        if (isOld)
            this->reach.forget(followed.first);
        return isOld;
    });
}

bool WithdrawalSet::isNeighbour(const VmId& vm) const
{
    return std::find(this->neighbours.begin(), this->neighbours.end(), vm) != this->neighbours.end();
}

} // namespace papayashelf
