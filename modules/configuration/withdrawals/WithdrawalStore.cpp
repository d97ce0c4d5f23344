#include "configuration/withdrawals/WithdrawalStore.h"

#include "configuration/storage/StoredWithdrawals.h"

#include <algorithm>
#include <utility>

namespace papayashelf {

WithdrawalStore::WithdrawalStore(const ConfigurationSettings& settings, std::uint64_t seed)
    : settings(settings)
    , random(seed)
    , backoff(settings)
{
}

void WithdrawalStore::setWatcher(Milliseconds now, bool isWatcher)
{
    if (this->watcher == isWatcher)
        return;
    this->watcher = isWatcher;
    this->isRead = false;
    this->waitFor(now);
    if (isWatcher)
        this->noteGrowth(now);
}

void WithdrawalStore::noteGrowth(Milliseconds now)
{
    if (this->writeAt)
        return;
    const std::int64_t longest = this->settings.writeSpread.count();
    this->writeAt = now + Milliseconds(std::uniform_int_distribution<std::int64_t>(0, longest)(this->random));
    if (this->step != Step::Writing && !this->backoff.isFailing())
        this->deadline = std::min(this->deadline, *this->writeAt);
}

void WithdrawalStore::tick(Milliseconds now, const WithdrawalTable& table, ConfigurationOutput& output)
{
    if (!this->watcher || now < this->deadline)
        return;
    const Milliseconds watchEnd = this->watchStarted + this->settings.watchWait + this->settings.storeTimeout;
    const bool isOverdue = this->step == Step::Writing || (this->step == Step::Watching && now >= watchEnd);
    if (isOverdue) {
        this->fail(now, { ErrorCode::TimedOut, "no answer in time" }, output);
        return;
    }
    const bool isWriteDue = this->isRead && this->writeAt && now >= *this->writeAt;
    if (isWriteDue)
        this->writeAt.reset();
    if (isWriteDue && this->isStoreBehind(table))
        this->startWrite(now, table, output);
    else if (this->step == Step::Waiting)
        this->startWatch(now, output);
    else
        this->deadline = watchEnd;
}

std::vector<Withdrawal> WithdrawalStore::handleReply(
    Milliseconds now, std::uint64_t replied, const StoreReply& reply, ConfigurationOutput& output)
{
    if (this->call != replied)
        return {};
    const bool wasWrite = this->step == Step::Writing;
    const bool isConflict = !reply && reply.error().code == ErrorCode::Conflict;
    if (wasWrite && isConflict) {
        // Somebody else wrote: read what there is and see whether anything is still missing.
        this->isRead = false;
        this->waitFor(now);
        this->noteGrowth(now);
        return {};
    }
    if (!reply || (reply.value().empty() && !wasWrite)) {
        this->fail(now, reply ? Error { ErrorCode::Damaged, "an empty answer" } : reply.error(), output);
        return {};
    }
    if (this->backoff.succeed())
        output.events.push_back({ ConfigurationEventKind::StoreAvailable, 0, {}, {} });
    if (!wasWrite)
        return this->takeEntry(now, reply.value().front(), output);
    this->isRead = !reply.value().empty();
    this->version = this->isRead ? reply.value().front().version : 0;
    this->stored = std::set<Withdrawal>(this->writing.begin(), this->writing.end());
    this->waitFor(now);
    return {};
}

void WithdrawalStore::startWatch(Milliseconds now, ConfigurationOutput& output)
{
    this->step = Step::Watching;
    this->watchStarted = now;
    this->deadline = now + this->settings.watchWait + this->settings.storeTimeout;
    if (this->writeAt && this->isRead)
        this->deadline = std::min(this->deadline, *this->writeAt);
    this->call = ++this->lastCall;
    const StoreVersion expected = this->isRead ? this->version : 0;
    // Before the first read nothing is expected, so a watch that would wait on a missing key waits for nothing.
    const Milliseconds wait = this->isRead ? this->settings.watchWait : Milliseconds();
    output.storeCalls.push_back(
        { this->lastCall, { StoreOperation::Watch, std::string(withdrawalsKey), {}, expected, wait } });
}

bool WithdrawalStore::isStoreBehind(const WithdrawalTable& table) const
{
    const std::vector<Withdrawal> held = table.getAll();
    return !this->isSetAside && std::any_of(held.begin(), held.end(), [&](const Withdrawal& withdrawal) {
        return this->stored.count(withdrawal) == 0;
    });
}

void WithdrawalStore::startWrite(Milliseconds now, const WithdrawalTable& table, ConfigurationOutput& output)
{
    // What the store holds was merged into the table when it was read; the rest of it was superfluous.
    this->writing = table.getAll();
    Outcome<std::string> value = encodeWithdrawals(this->writing);
    if (!value) {
        this->fail(now, value.error(), output);
        return;
    }
    this->step = Step::Writing;
    this->deadline = now + this->settings.storeTimeout;
    this->call = ++this->lastCall;
    output.storeCalls.push_back({ this->lastCall,
        { StoreOperation::CompareAndSwap, std::string(withdrawalsKey), std::move(value.value()), this->version, {} } });
}

/** After any failure, also of a write that may have taken effect, the next step is to read. */
void WithdrawalStore::fail(Milliseconds now, const Error& error, ConfigurationOutput& output)
{
    if (!this->backoff.isFailing())
        output.events.push_back({ ConfigurationEventKind::StoreUnavailable, 0, {}, error.detail });
    this->isRead = false;
    if (!this->writeAt)
        this->writeAt = now;
    this->waitFor(now + this->backoff.fail(this->random));
}

void WithdrawalStore::waitFor(Milliseconds until)
{
    this->step = Step::Waiting;
    this->deadline = until;
    this->call.reset();
}

std::vector<Withdrawal> WithdrawalStore::takeEntry(
    Milliseconds now, const StoreEntry& entry, ConfigurationOutput& output)
{
    const bool isUnchanged = this->isRead && entry.version == this->version;
    this->waitFor(std::max(now, this->watchStarted + this->settings.minimumWatchInterval));
    if (isUnchanged)
        return {};
    this->isRead = true;
    this->version = entry.version;
    this->isSetAside = false;
    this->stored.clear();
    if (entry.version == 0) {
        this->noteGrowth(now);
        return {};
    }
    Outcome<std::vector<Withdrawal>> decoded = decodeWithdrawals(entry.value);
    if (!decoded) {
        this->isSetAside = true;
        output.events.push_back({ ConfigurationEventKind::StoredValueSetAside, 0, {}, decoded.error().detail });
        return {};
    }
    this->stored = std::set<Withdrawal>(decoded.value().begin(), decoded.value().end());
    this->noteGrowth(now);
    return std::move(decoded.value());
}

} // namespace papayashelf
