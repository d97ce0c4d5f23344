#include "configuration/withdrawals/WithdrawalSet.h"

#include <algorithm>
#include <set>
#include <utility>

namespace papayashelf {

namespace {

/** Consecutive digest mismatches before the whole set is sent. A notice in transit can cause a single one. */
constexpr int differingDigestsBeforeWholeSet = 2;

/** Time for which the coverage of a withdrawal stays available after its notices end. */
constexpr Milliseconds trackingRetention = Milliseconds::fromSeconds(3600);

/** Maximum number of entries in one notice, which keeps it well below a megabyte. */
constexpr std::size_t maximumEntriesPerNotice = 2500;

} // namespace

WithdrawalSet::WithdrawalSet(VmId self, const ConfigurationSettings& settings, std::uint64_t seed)
    : self(std::move(self))
    , settings(settings)
    , table(settings.withdrawalRetentionRevisions)
    , tracker(seed)
    , synchronizer(settings, seed + 1)
{
}

void WithdrawalSet::setMembers(std::vector<VmId> newNeighbours, const std::map<VmId, Member>& members)
{
    this->neighbours = std::move(newNeighbours);
    this->tracker.setMembers(members);
    std::erase_if(this->neighbourSyncs, [&](const auto& sync) { return !this->isNeighbour(sync.first); });
}

void WithdrawalSet::setGovernance(std::shared_ptr<const Governance> governance)
{
    this->table.setGovernance(std::move(governance));
}

ConfigurationOutput WithdrawalSet::withdraw(Milliseconds now, const Withdrawal& withdrawal)
{
    ConfigurationOutput output;
    this->stopExpiredTracking(now);
    this->addAndForward(now, { withdrawal }, this->self, output);
    this->tracker.startTracking(this->self, withdrawal.key);
    this->notifyUntil[withdrawal.key] = now + this->settings.noticeDuration;
    this->notifyUnreachedRegions(now, output);
    return output;
}

ConfigurationOutput WithdrawalSet::handleNotice(Milliseconds now, const WithdrawalNotice& notice, const VmId& from)
{
    ConfigurationOutput output;
    this->addAndForward(now, notice.withdrawals, from, output);
    for (const Withdrawal& withdrawal : notice.withdrawals)
        this->tracker.confirm(withdrawal.key, from);
    if (notice.isWholeSet)
        this->sendMissingWithdrawals(notice, from, output);
    else if (!this->isNeighbour(from))
        this->acknowledge(notice.withdrawals, from, output);
    return output;
}

ConfigurationOutput WithdrawalSet::handleHeartbeat(Milliseconds now, std::uint64_t digest, const VmId& from)
{
    ConfigurationOutput output;
    NeighbourSync& sync = this->neighbourSyncs[from];
    if (digest == this->table.getDigest()) {
        sync.consecutiveMismatches = 0;
        this->tracker.confirmAll(from);
        return output;
    }
    const bool isTooSoon = sync.wholeSetSentAt && now - *sync.wholeSetSentAt < this->settings.minimumWholeSetInterval;
    if (++sync.consecutiveMismatches < differingDigestsBeforeWholeSet || isTooSoon)
        return output;
    sync.wholeSetSentAt = now;
    this->sendWholeSet(from, output);
    return output;
}

ConfigurationOutput WithdrawalSet::handleStoreReply(Milliseconds now, std::uint64_t call, const StoreReply& reply)
{
    ConfigurationOutput output;
    this->addAndForward(now, this->synchronizer.handleReply(now, call, reply, output), this->self, output);
    return output;
}

ConfigurationOutput WithdrawalSet::tick(Milliseconds now)
{
    ConfigurationOutput output;
    this->synchronizer.tick(now, this->table, output);
    if (now >= this->nextNotice)
        this->notifyUnreachedRegions(now, output);
    return output;
}

Milliseconds WithdrawalSet::getNextDeadline() const
{
    return std::min(this->synchronizer.getNextDeadline(), this->nextNotice);
}

/** Adds the new withdrawals and forwards them at once to every neighbour except the sender. */
void WithdrawalSet::addAndForward(
    Milliseconds now, const std::vector<Withdrawal>& withdrawals, const VmId& from, ConfigurationOutput& output)
{
    WithdrawalNotice newWithdrawals;
    for (const Withdrawal& withdrawal : withdrawals) {
        const bool wasKnown = this->table.contains(withdrawal.key);
        if (!this->table.add(withdrawal))
            continue;
        newWithdrawals.withdrawals.push_back(withdrawal);
        if (!wasKnown)
            output.withdrawn.push_back(withdrawal);
    }
    if (newWithdrawals.withdrawals.empty())
        return;
    this->synchronizer.scheduleWrite(now);
    for (const VmId& vm : this->neighbours) {
        if (vm != from)
            output.sends.push_back({ vm, newWithdrawals });
    }
}

/**
    Confirms withdrawals to a VM that is not a neighbour, which sent them to find out whether this region is reached.
    A notice about a withdrawal tracked here is such a confirmation itself and is not answered again.
*/
void WithdrawalSet::acknowledge(
    const std::vector<Withdrawal>& withdrawals, const VmId& from, ConfigurationOutput& output) const
{
    const bool isAnswer = std::any_of(withdrawals.begin(), withdrawals.end(),
        [&](const Withdrawal& withdrawal) { return this->tracker.isTracked(withdrawal.key); });
    if (!isAnswer)
        output.sends.push_back({ from, WithdrawalNotice { withdrawals, false } });
}

void WithdrawalSet::sendMissingWithdrawals(
    const WithdrawalNotice& notice, const VmId& from, ConfigurationOutput& output) const
{
    const std::set<Withdrawal> known(notice.withdrawals.begin(), notice.withdrawals.end());
    WithdrawalNotice answer;
    for (const Withdrawal& withdrawal : this->table.getAll()) {
        if (known.count(withdrawal) == 0)
            answer.withdrawals.push_back(withdrawal);
    }
    if (!answer.withdrawals.empty())
        output.sends.push_back({ from, std::move(answer) });
}

void WithdrawalSet::sendWholeSet(const VmId& to, ConfigurationOutput& output) const
{
    const std::vector<Withdrawal> all = this->table.getAll();
    const bool isWhole = all.size() <= maximumEntriesPerNotice;
    WithdrawalNotice notice { {}, isWhole };
    for (const Withdrawal& withdrawal : all) {
        notice.withdrawals.push_back(withdrawal);
        if (notice.withdrawals.size() == maximumEntriesPerNotice)
            output.sends.push_back({ to, std::exchange(notice, WithdrawalNotice { {}, isWhole }) });
    }
    if (!notice.withdrawals.empty() || all.empty())
        output.sends.push_back({ to, std::move(notice) });
}

void WithdrawalSet::notifyUnreachedRegions(Milliseconds now, ConfigurationOutput& output)
{
    this->nextNotice = Milliseconds::never();
    for (const auto& [key, until] : this->notifyUntil) {
        const std::optional<Withdrawal> withdrawal = this->table.find(key);
        if (now >= until || !withdrawal)
            continue;
        const std::vector<VmId> chosen = this->tracker.chooseVmsInUnreachedRegions(key);
        for (const VmId& vm : chosen)
            output.sends.push_back({ vm, WithdrawalNotice { { *withdrawal }, false } });
        if (!chosen.empty())
            this->nextNotice = now + this->settings.noticeInterval;
    }
}

void WithdrawalSet::stopExpiredTracking(Milliseconds now)
{
    std::erase_if(this->notifyUntil, [&](const auto& tracked) {
        const bool isExpired = now >= tracked.second + trackingRetention;
        if (isExpired)
            this->tracker.stopTracking(tracked.first);
        return isExpired;
    });
}

bool WithdrawalSet::isNeighbour(const VmId& vm) const
{
    return std::find(this->neighbours.begin(), this->neighbours.end(), vm) != this->neighbours.end();
}

} // namespace papayashelf
