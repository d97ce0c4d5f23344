#include "standins/platform/FakeStore.h"

#include "platform/http/StoreWire.h"
#include <algorithm>
#include <cassert>
#include <utility>

namespace papayashelf {

namespace {

StoreReply lostReply(const StoreRequest& request)
{
    if (isWrite(request.operation))
        return Error { ErrorCode::OutcomeUnknown, "the answer was lost" };
    return Error { ErrorCode::Unavailable, "the answer was lost" };
}

} // namespace

FakeStore::FakeStore(FakeStoreLimits limits)
{
    this->setLimits(limits);
}

void FakeStore::setLimits(const FakeStoreLimits& newLimits)
{
    this->limits = newLimits;
    this->reads = { static_cast<double>(newLimits.readsPerSecond), this->now };
    this->writes = { static_cast<double>(newLimits.writesPerSecond), this->now };
}

StoreReply FakeStore::apply(const StoreRequest& request, Milliseconds lease)
{
    if (this->currentFaults.isSilent || this->loseRequest())
        return lostReply(request);
    if (const auto refused = this->refusal(request))
        return *refused;
    StoreReply reply = this->perform(request, lease);
    return this->loseAnswer(request, reply) ? lostReply(request) : reply;
}

void FakeStore::submit(std::uint64_t ticket, const StoreRequest& request, Milliseconds lease)
{
    if (this->currentFaults.isSilent)
        return;
    if (this->loseRequest()) {
        this->queueAnswer(ticket, lostReply(request), true);
        return;
    }
    if (auto refused = this->refusal(request)) {
        this->queueAnswer(ticket, std::move(*refused), false);
        return;
    }
    if (request.operation == StoreOperation::Watch) {
        this->watches.push_back({ ticket, request, this->now + request.wait });
        return;
    }
    StoreReply reply = this->perform(request, lease);
    const bool isLost = this->loseAnswer(request, reply);
    this->queueAnswer(ticket, isLost ? lostReply(request) : std::move(reply), isLost);
}

std::vector<FakeStoreAnswer> FakeStore::advanceTo(Milliseconds time)
{
    assert(time.count() >= this->now.count());
    this->now = time;
    this->endLeases();
    this->settleWatches();
    const auto isLater = [time](const PendingAnswer& pending) { return pending.due.count() > time.count(); };
    const auto later = std::stable_partition(
        this->answers.begin(), this->answers.end(), [&](const PendingAnswer& pending) { return !isLater(pending); });
    std::stable_sort(this->answers.begin(), later,
        [](const PendingAnswer& left, const PendingAnswer& right) { return left.due.count() < right.due.count(); });
    std::vector<FakeStoreAnswer> due;
    for (auto pending = this->answers.begin(); pending != later; ++pending)
        due.push_back(std::move(pending->answer));
    this->answers.erase(this->answers.begin(), later);
    return due;
}

std::optional<Milliseconds> FakeStore::nextDue() const
{
    std::optional<Milliseconds> next;
    const auto consider = [&next](Milliseconds time) {
        if (!next || time.count() < next->count())
            next = time;
    };
    for (const PendingAnswer& pending : this->answers)
        consider(pending.due);
    for (const PendingWatch& watch : this->watches)
        consider(this->read(watch.request.key).version != watch.request.expectedVersion ? this->now : watch.end);
    for (const auto& [key, cell] : this->cells) {
        if (cell.leaseEnd)
            consider(*cell.leaseEnd);
    }
    return next;
}

void FakeStore::setFaults(const FakeStoreFaults& newFaults)
{
    this->currentFaults = newFaults;
}

void FakeStore::restoreState()
{
    this->cells = this->savedCells;
}

std::optional<StoreReply> FakeStore::refusal(const StoreRequest& request)
{
    if (this->currentFaults.isOut)
        return Error { ErrorCode::Unavailable, "the key-value service is out" };
    const bool writes = isWrite(request.operation);
    const bool isWithinRate = writes ? this->takeFrom(this->writes, this->limits.writesPerSecond)
                                     : this->takeFrom(this->reads, this->limits.readsPerSecond);
    if (!isWithinRate) {
        ++this->currentCounts.refused;
        return Error { ErrorCode::Unavailable, "the key-value service is over its rate" };
    }
    ++(writes ? this->currentCounts.writes : this->currentCounts.reads);
    return std::nullopt;
}

bool FakeStore::takeFrom(Allowance& allowance, std::int64_t perSecond)
{
    if (perSecond == 0)
        return true;
    const double gained = (this->now - allowance.filledAt).seconds() * static_cast<double>(perSecond);
    allowance.tokens = std::min(allowance.tokens + gained, static_cast<double>(perSecond));
    allowance.filledAt = this->now;
    if (allowance.tokens < 1)
        return false;
    allowance.tokens -= 1;
    return true;
}

StoreReply FakeStore::perform(const StoreRequest& request, Milliseconds lease)
{
    switch (request.operation) {
    case StoreOperation::CompareAndSwap:
        return this->compareAndSwap(request, lease);
    case StoreOperation::Remove:
        return this->remove(request);
    case StoreOperation::List:
        return this->list(request.key);
    case StoreOperation::Get:
    case StoreOperation::Watch:
        break;
    }
    return std::vector<StoreEntry> { this->read(request.key) };
}

StoreReply FakeStore::compareAndSwap(const StoreRequest& request, Milliseconds lease)
{
    if (request.value.size() > maximumStoreValueBytes)
        return Error { ErrorCode::TooLarge, "the value is over a megabyte" };
    const StoreVersion version = this->read(request.key).version;
    if (version != request.expectedVersion)
        return Error { ErrorCode::Conflict, "the version is " + std::to_string(version) };
    Cell& cell = this->cells[request.key];
    cell.value = request.value;
    cell.version = version + 1;
    cell.leaseEnd = lease.count() > 0 ? std::optional(this->now + lease) : std::nullopt;
    return std::vector<StoreEntry> { { request.key, {}, cell.version } };
}

StoreReply FakeStore::remove(const StoreRequest& request)
{
    const StoreVersion version = this->read(request.key).version;
    if (version != request.expectedVersion)
        return Error { ErrorCode::Conflict, "the version is " + std::to_string(version) };
    this->cells.erase(request.key);
    return std::vector<StoreEntry> { { request.key, {}, 0 } };
}

StoreReply FakeStore::list(const std::string& prefix) const
{
    std::vector<StoreEntry> entries;
    for (auto cell = this->cells.lower_bound(prefix); cell != this->cells.end(); ++cell) {
        if (!cell->first.starts_with(prefix))
            break;
        entries.push_back({ cell->first, {}, cell->second.version });
    }
    return entries;
}

StoreEntry FakeStore::read(const std::string& key) const
{
    const auto cell = this->cells.find(key);
    if (cell == this->cells.end())
        return { key, {}, 0 };
    return { key, cell->second.value, cell->second.version };
}

bool FakeStore::loseRequest()
{
    if (this->currentFaults.lostRequests == 0)
        return false;
    --this->currentFaults.lostRequests;
    return true;
}

bool FakeStore::loseAnswer(const StoreRequest& request, const StoreReply& reply)
{
    if (this->currentFaults.lostAnswers == 0 || !isWrite(request.operation) || !reply)
        return false;
    --this->currentFaults.lostAnswers;
    return true;
}

void FakeStore::queueAnswer(std::uint64_t ticket, StoreReply reply, bool isLost)
{
    this->answers.push_back({ { ticket, std::move(reply), isLost }, this->now + this->currentFaults.delay });
}

void FakeStore::settleWatches()
{
    // While the service is out, waiting watches hear nothing and end when their time does.
    std::vector<PendingWatch> waiting;
    for (PendingWatch& watch : this->watches) {
        const StoreEntry entry = this->read(watch.request.key);
        const bool isOver = watch.end.count() <= this->now.count();
        if (this->currentFaults.isOut && isOver)
            this->queueAnswer(watch.ticket, lostReply(watch.request), true);
        else if (!this->currentFaults.isOut && (isOver || entry.version != watch.request.expectedVersion))
            this->queueAnswer(watch.ticket, std::vector<StoreEntry> { entry }, false);
        else
            waiting.push_back(std::move(watch));
    }
    this->watches = std::move(waiting);
}

void FakeStore::endLeases()
{
    std::erase_if(this->cells, [this](const auto& item) {
        return item.second.leaseEnd && item.second.leaseEnd->count() <= this->now.count();
    });
}

} // namespace papayashelf
