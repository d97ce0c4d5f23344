#include "configuration/withdrawals/WithdrawalSynchronizer.h"

#include "configuration/storage/StoredWithdrawals.h"

#include <algorithm>
#include <utility>

namespace papayashelf {

WithdrawalSynchronizer::WithdrawalSynchronizer(const ConfigurationSettings& settings, std::uint64_t seed)
    : settings(settings)
    , random(seed)
    , backoff(settings)
{
}

void WithdrawalSynchronizer::setWatcher(Milliseconds now, bool isWatcher)
{
    if (this->isEnabled == isWatcher)
        return;
    this->isEnabled = isWatcher;
    this->isStoredSetKnown = false;
    this->waitUntil(now);
    if (isWatcher)
        this->scheduleWrite(now);
}

void WithdrawalSynchronizer::scheduleWrite(Milliseconds now)
{
    if (this->nextWriteAt)
        return;
    const std::int64_t maximumDelay = this->settings.maximumWriteDelay.count();
    this->nextWriteAt = now + Milliseconds(std::uniform_int_distribution<std::int64_t>(0, maximumDelay)(this->random));
    if (this->step != Step::Writing && !this->backoff.isFailing())
        this->deadline = std::min(this->deadline, *this->nextWriteAt);
}

void WithdrawalSynchronizer::tick(Milliseconds now, const WithdrawalTable& table, ConfigurationOutput& output)
{
    if (!this->isEnabled || now < this->deadline)
        return;
    const Milliseconds watchEnd = this->watchStarted + this->settings.watchTimeout + this->settings.storeTimeout;
    const bool isOverdue = this->step == Step::Writing || (this->step == Step::Watching && now >= watchEnd);
    if (isOverdue) {
        this->recordFailure(now, { ErrorCode::TimedOut, "the store call timed out" }, output);
        return;
    }
    const bool isWriteDue = this->isStoredSetKnown && this->nextWriteAt && now >= *this->nextWriteAt;
    if (isWriteDue)
        this->nextWriteAt.reset();
    if (isWriteDue && this->isStoreBehind(table))
        this->startWrite(now, table, output);
    else if (this->step == Step::Waiting)
        this->startWatch(now, output);
    else
        this->deadline = watchEnd;
}

std::vector<Withdrawal> WithdrawalSynchronizer::handleReply(
    Milliseconds now, std::uint64_t repliedCall, const StoreReply& reply, ConfigurationOutput& output)
{
    if (this->call != repliedCall)
        return {};
    const bool wasWrite = this->step == Step::Writing;
    const bool isConflict = !reply && reply.error().code == ErrorCode::Conflict;
    if (wasWrite && isConflict) {
        // Another VM wrote first: read the stored set again, then write only if entries are still missing from it.
        this->isStoredSetKnown = false;
        this->waitUntil(now);
        this->scheduleWrite(now);
        return {};
    }
    if (!reply || (reply.value().empty() && !wasWrite)) {
        this->recordFailure(
            now, reply ? Error { ErrorCode::Damaged, "the store sent an empty reply" } : reply.error(), output);
        return {};
    }
    if (this->backoff.recordSuccess())
        output.events.push_back({ ConfigurationEventKind::StoreAvailable, 0, {}, {} });
    if (!wasWrite)
        return this->handleEntry(now, reply.value().front(), output);
    this->isStoredSetKnown = !reply.value().empty();
    this->version = this->isStoredSetKnown ? reply.value().front().version : 0;
    this->stored = std::set<Withdrawal>(this->submittedWithdrawals.begin(), this->submittedWithdrawals.end());
    this->waitUntil(now);
    return {};
}

void WithdrawalSynchronizer::startWatch(Milliseconds now, ConfigurationOutput& output)
{
    this->step = Step::Watching;
    this->watchStarted = now;
    this->deadline = now + this->settings.watchTimeout + this->settings.storeTimeout;
    if (this->nextWriteAt && this->isStoredSetKnown)
        this->deadline = std::min(this->deadline, *this->nextWriteAt);
    this->call = ++this->lastCall;
    const StoreVersion expected = this->isStoredSetKnown ? this->version : 0;
    // Until the stored set is known, the watch does not wait: it would otherwise block if the key is missing.
    const Milliseconds wait = this->isStoredSetKnown ? this->settings.watchTimeout : Milliseconds();
    output.storeCalls.push_back(
        { this->lastCall, { StoreOperation::Watch, std::string(withdrawalsKey), {}, expected, wait } });
}

bool WithdrawalSynchronizer::isStoreBehind(const WithdrawalTable& table) const
{
    const std::vector<Withdrawal> held = table.getAll();
    return !this->isStoredSetUnreadable && std::any_of(held.begin(), held.end(), [&](const Withdrawal& withdrawal) {
        return this->stored.count(withdrawal) == 0;
    });
}

void WithdrawalSynchronizer::startWrite(Milliseconds now, const WithdrawalTable& table, ConfigurationOutput& output)
{
    // The stored set was merged into the table when it was read, so this write drops only obsolete entries.
    this->submittedWithdrawals = table.getAll();
    Outcome<std::string> value = encodeWithdrawals(this->submittedWithdrawals);
    if (!value) {
        this->recordFailure(now, value.error(), output);
        return;
    }
    this->step = Step::Writing;
    this->deadline = now + this->settings.storeTimeout;
    this->call = ++this->lastCall;
    output.storeCalls.push_back({ this->lastCall,
        { StoreOperation::CompareAndSwap, std::string(withdrawalsKey), std::move(value.value()), this->version, {} } });
}

/** Schedules a new read after a failure, also after that of a write, which may have taken effect. */
void WithdrawalSynchronizer::recordFailure(Milliseconds now, const Error& error, ConfigurationOutput& output)
{
    if (!this->backoff.isFailing())
        output.events.push_back({ ConfigurationEventKind::StoreUnavailable, 0, {}, error.detail });
    this->isStoredSetKnown = false;
    if (!this->nextWriteAt)
        this->nextWriteAt = now;
    this->waitUntil(now + this->backoff.recordFailure(this->random));
}

void WithdrawalSynchronizer::waitUntil(Milliseconds until)
{
    this->step = Step::Waiting;
    this->deadline = until;
    this->call.reset();
}

std::vector<Withdrawal> WithdrawalSynchronizer::handleEntry(
    Milliseconds now, const StoreEntry& entry, ConfigurationOutput& output)
{
    const bool isUnchanged = this->isStoredSetKnown && entry.version == this->version;
    this->waitUntil(std::max(now, this->watchStarted + this->settings.minimumWatchInterval));
    if (isUnchanged)
        return {};
    this->isStoredSetKnown = true;
    this->version = entry.version;
    this->isStoredSetUnreadable = false;
    this->stored.clear();
    if (entry.version == 0) {
        this->scheduleWrite(now);
        return {};
    }
    Outcome<std::vector<Withdrawal>> decoded = decodeWithdrawals(entry.value);
    if (!decoded) {
        this->isStoredSetUnreadable = true;
        output.events.push_back({ ConfigurationEventKind::StoredValueRejected, 0, {}, decoded.error().detail });
        return {};
    }
    this->stored = std::set<Withdrawal>(decoded.value().begin(), decoded.value().end());
    this->scheduleWrite(now);
    return std::move(decoded.value());
}

} // namespace papayashelf
