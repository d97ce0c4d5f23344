#include "dispatch/claims/ClaimTracker.h"

#include <algorithm>
#include <cassert>

namespace papayashelf {

namespace {

constexpr Milliseconds storeRetryDelay { 200 };
constexpr Milliseconds settlementTimeout { 600000 };
constexpr double claimBurstSeconds = 2;

} // namespace

ClaimTracker::ClaimTracker(
    const DispatchSettings& settings, VmId self, Incarnation incarnation, Milliseconds wallClockAtZero)
    : settings(settings)
    , self(std::move(self))
    , incarnation(incarnation)
    , wallClockAtZero(wallClockAtZero)
    , claimPermits(settings.claimsPerSecond * claimBurstSeconds)
{
}

ClaimOutput ClaimTracker::claim(Milliseconds now, RequestId request, const ClaimedOperation& operation)
{
    ClaimOutput output;
    const std::string key = operation.storeKey();
    const auto existing = this->claims.find(key);
    if (existing != this->claims.end()) {
        output.decisions.push_back(this->decideRepeat(request, existing->second));
        return output;
    }
    if (!this->tryTakeClaimPermit(now)) {
        output.decisions.push_back({ request, ClaimState::Unavailable, {} });
        return output;
    }
    Claim claim;
    claim.request = request;
    claim.value.vm = this->self;
    claim.value.incarnation = this->incarnation;
    claim.value.nonce = ++this->lastNonce;
    claim.value.claimedAt = this->wallClockAtZero + now;
    claim.giveUpAt = now + this->settings.claimTimeout;
    const auto inserted = this->claims.emplace(key, std::move(claim)).first;
    this->keys[request] = key;
    this->send(now, inserted, StoreOperation::CompareAndSwap, output);
    return output;
}

ClaimDecision ClaimTracker::decideRepeat(RequestId request, const Claim& claim) const
{
    if (claim.step == Step::Releasing)
        return { request, ClaimState::Unavailable, {} };
    if (claim.value.isConfirmed)
        return { request, ClaimState::Confirmed, claim.value };
    return { request, ClaimState::Unknown, claim.value };
}

ClaimOutput ClaimTracker::confirm(
    Milliseconds now, RequestId request, int status, bool isBodyHeld, std::string contentType, std::string body)
{
    ClaimOutput output;
    const auto key = this->keys.find(request);
    assert(key != this->keys.end());
    const auto claim = this->claims.find(key->second);
    assert(claim->second.step == Step::Held);
    claim->second.value.isConfirmed = true;
    claim->second.value.status = status;
    claim->second.value.isBodyHeld = isBodyHeld && body.size() <= this->settings.keptAnswerBytes;
    if (claim->second.value.isBodyHeld) {
        claim->second.value.contentType = std::move(contentType);
        claim->second.value.body = std::move(body);
    }
    claim->second.step = Step::Confirming;
    claim->second.giveUpAt = now + settlementTimeout;
    this->send(now, claim, StoreOperation::CompareAndSwap, output);
    return output;
}

ClaimOutput ClaimTracker::release(Milliseconds now, RequestId request)
{
    ClaimOutput output;
    const auto key = this->keys.find(request);
    if (key == this->keys.end())
        return output;
    const auto claim = this->claims.find(key->second);
    const bool isHeld = claim->second.step == Step::Held;
    assert(isHeld || claim->second.step == Step::Writing || claim->second.step == Step::Reading);
    claim->second.step = Step::Releasing;
    claim->second.giveUpAt = now + settlementTimeout;
    if (claim->second.call == 0)
        this->send(now, claim, isHeld ? StoreOperation::Remove : StoreOperation::Get, output);
    return output;
}

void ClaimTracker::leaveUnknown(Milliseconds now, RequestId request)
{
    const auto key = this->keys.find(request);
    if (key != this->keys.end())
        this->retain(now, this->claims.find(key->second));
}

ClaimOutput ClaimTracker::handleReply(Milliseconds now, std::uint64_t call, const StoreReply& reply)
{
    ClaimOutput output;
    const auto found = this->calls.find(call);
    if (found == this->calls.end())
        return output;
    const auto claim = this->claims.find(found->second);
    this->calls.erase(found);
    // A claim that has been erased or has a newer call pending ignores this reply.
    if (claim == this->claims.end() || claim->second.call != call)
        return output;
    claim->second.call = 0;
    switch (claim->second.operation) {
    case StoreOperation::CompareAndSwap:
        this->handleSwapReply(now, claim, reply, output);
        break;
    case StoreOperation::Remove:
        this->handleRemoveReply(now, claim, reply, output);
        break;
    default:
        this->handleGetReply(now, claim, reply, output);
        break;
    }
    return output;
}

void ClaimTracker::handleSwapReply(
    Milliseconds now, Claims::iterator claim, const StoreReply& reply, ClaimOutput& output)
{
    Claim& record = claim->second;
    if (reply && !reply.value().empty()) {
        record.version = reply.value().front().version;
        if (record.step == Step::Writing)
            this->grant(claim, output);
        else if (record.step == Step::Releasing)
            this->send(now, claim, StoreOperation::Remove, output);
        else
            this->retain(now, claim);
        return;
    }
    const ErrorCode code = reply ? ErrorCode::Damaged : reply.error().code;
    if (code == ErrorCode::Unavailable) {
        this->setTimer(claim, now + storeRetryDelay);
        return;
    }
    record.hadConflict = record.hadConflict || code == ErrorCode::Conflict;
    record.mayBeWritten = record.mayBeWritten || code != ErrorCode::Conflict;
    if (record.step == Step::Writing)
        record.step = Step::Reading;
    this->send(now, claim, StoreOperation::Get, output);
}

void ClaimTracker::handleGetReply(
    Milliseconds now, Claims::iterator claim, const StoreReply& reply, ClaimOutput& output)
{
    if (!reply && reply.error().code != ErrorCode::NotFound) {
        this->setTimer(claim, now + storeRetryDelay);
        return;
    }
    if (!reply || reply.value().empty() || reply.value().front().version == 0) {
        this->handleMissingClaim(now, claim, output);
        return;
    }
    const StoreEntry& entry = reply.value().front();
    const Outcome<ClaimValue> found = decodeClaim(entry.value);
    if (!found || !this->isOwnClaim(claim->second, found.value())) {
        this->handleForeignClaim(now, claim, found, output);
        return;
    }
    claim->second.version = entry.version;
    this->handleOwnClaim(now, claim, found.value(), output);
}

void ClaimTracker::handleOwnClaim(
    Milliseconds now, Claims::iterator claim, const ClaimValue& found, ClaimOutput& output)
{
    if (claim->second.step == Step::Reading)
        this->grant(claim, output);
    else if (claim->second.step == Step::Releasing)
        this->send(now, claim, StoreOperation::Remove, output);
    else if (found.isConfirmed)
        this->retain(now, claim);
    else
        this->send(now, claim, StoreOperation::CompareAndSwap, output);
}

void ClaimTracker::handleForeignClaim(
    Milliseconds now, Claims::iterator claim, const Outcome<ClaimValue>& found, ClaimOutput& output)
{
    switch (claim->second.step) {
    case Step::Confirming:
        this->retain(now, claim);
        return;
    case Step::Reading: {
        // A claim that cannot be decoded may belong to a request that ran, so the outcome is unknown.
        const bool isConfirmed = found && found.value().isConfirmed;
        const ClaimState state = isConfirmed ? ClaimState::Confirmed : ClaimState::Unknown;
        output.decisions.push_back({ claim->second.request, state, found ? found.value() : ClaimValue() });
        break;
    }
    default:
        break;
    }
    this->erase(claim);
}

void ClaimTracker::handleMissingClaim(Milliseconds now, Claims::iterator claim, ClaimOutput& output)
{
    claim->second.version = 0;
    if (claim->second.step == Step::Releasing) {
        this->erase(claim);
        return;
    }
    if (claim->second.step == Step::Reading)
        claim->second.step = Step::Writing;
    this->send(now, claim, StoreOperation::CompareAndSwap, output);
}

void ClaimTracker::handleRemoveReply(
    Milliseconds now, Claims::iterator claim, const StoreReply& reply, ClaimOutput& output)
{
    const bool isGone = reply || reply.error().code == ErrorCode::NotFound;
    if (isGone || claim->second.step == Step::Retained) {
        this->erase(claim);
        return;
    }
    if (reply.error().code == ErrorCode::Unavailable)
        this->setTimer(claim, now + storeRetryDelay);
    else
        this->send(now, claim, StoreOperation::Get, output);
}

ClaimOutput ClaimTracker::tick(Milliseconds now)
{
    ClaimOutput output;
    while (!this->timers.empty() && this->timers.begin()->first <= now) {
        const auto claim = this->claims.find(this->timers.begin()->second);
        this->setTimer(claim, Milliseconds::never());
        this->handleTimer(now, claim, output);
    }
    return output;
}

void ClaimTracker::handleTimer(Milliseconds now, Claims::iterator claim, ClaimOutput& output)
{
    Claim& record = claim->second;
    const bool isLate = now >= record.giveUpAt;
    switch (record.step) {
    case Step::Writing:
    case Step::Reading:
        if (isLate)
            this->giveUp(now, claim, output);
        else
            this->send(now, claim, record.step == Step::Writing ? StoreOperation::CompareAndSwap : StoreOperation::Get,
                output);
        break;
    case Step::Confirming:
        if (isLate)
            this->retain(now, claim);
        else
            this->send(now, claim, StoreOperation::Get, output);
        break;
    case Step::Releasing:
        if (isLate)
            this->erase(claim);
        else
            this->send(now, claim, StoreOperation::Get, output);
        break;
    case Step::Retained:
        if (record.version == 0)
            this->erase(claim);
        else
            this->send(now, claim, StoreOperation::Remove, output);
        break;
    case Step::Held:
        break;
    }
}

void ClaimTracker::grant(Claims::iterator claim, ClaimOutput& output)
{
    claim->second.step = Step::Held;
    this->setTimer(claim, Milliseconds::never());
    output.decisions.push_back({ claim->second.request, ClaimState::Granted, {} });
}

void ClaimTracker::giveUp(Milliseconds now, Claims::iterator claim, ClaimOutput& output)
{
    Claim& record = claim->second;
    // After a conflict, another request with this key may have run, so the operation cannot be reported as not run.
    const ClaimState state = record.hadConflict ? ClaimState::Unknown : ClaimState::Unavailable;
    output.decisions.push_back({ record.request, state, {} });
    this->keys.erase(record.request);
    const bool isWriting = record.call != 0 && record.operation == StoreOperation::CompareAndSwap;
    if (!record.mayBeWritten && !isWriting) {
        this->erase(claim);
        return;
    }
    record.step = Step::Releasing;
    record.giveUpAt = now + settlementTimeout;
    this->setTimer(claim, now + storeRetryDelay);
}

void ClaimTracker::send(Milliseconds now, Claims::iterator claim, StoreOperation operation, ClaimOutput& output)
{
    Claim& record = claim->second;
    StoreCall call;
    call.call = ++this->lastCall;
    call.request.operation = operation;
    call.request.key = claim->first;
    call.request.expectedVersion = record.version;
    if (operation == StoreOperation::CompareAndSwap)
        call.request.value = encodeClaim(record.value);
    record.call = call.call;
    record.operation = operation;
    this->calls[call.call] = claim->first;
    // If the store never replies, the timer sends a new call or ends the step.
    this->setTimer(
        claim, std::max(now + storeRetryDelay, std::min(record.giveUpAt, now + this->settings.claimTimeout)));
    output.calls.push_back(std::move(call));
}

void ClaimTracker::retain(Milliseconds now, Claims::iterator claim)
{
    this->keys.erase(claim->second.request);
    claim->second.step = Step::Retained;
    claim->second.giveUpAt = Milliseconds::never();
    this->setTimer(claim, now + this->settings.claimRetention);
    this->eraseOldest();
}

void ClaimTracker::eraseOldest()
{
    constexpr std::size_t maxClaims = 20000;
    if (this->claims.size() <= maxClaims)
        return;
    const auto oldest = std::find_if(this->timers.begin(), this->timers.end(),
        [&](const auto& timer) { return this->claims.at(timer.second).step == Step::Retained; });
    if (oldest != this->timers.end())
        this->erase(this->claims.find(oldest->second));
}

void ClaimTracker::setTimer(Claims::iterator claim, Milliseconds at)
{
    this->timers.erase({ claim->second.timerDueAt, claim->first });
    claim->second.timerDueAt = at;
    if (at != Milliseconds::never())
        this->timers.emplace(at, claim->first);
}

void ClaimTracker::erase(Claims::iterator claim)
{
    this->timers.erase({ claim->second.timerDueAt, claim->first });
    const auto key = this->keys.find(claim->second.request);
    if (key != this->keys.end() && key->second == claim->first)
        this->keys.erase(key);
    this->claims.erase(claim);
}

bool ClaimTracker::isOwnClaim(const Claim& claim, const ClaimValue& value) const
{
    return value.vm == this->self && value.incarnation == this->incarnation && value.nonce == claim.value.nonce;
}

bool ClaimTracker::tryTakeClaimPermit(Milliseconds now)
{
    const double earned = (now - this->permitsRefilledAt).seconds() * this->settings.claimsPerSecond;
    this->claimPermits = std::min(this->settings.claimsPerSecond * claimBurstSeconds, this->claimPermits + earned);
    this->permitsRefilledAt = now;
    if (this->claimPermits < 1)
        return false;
    this->claimPermits -= 1;
    return true;
}

Milliseconds ClaimTracker::getNextDeadline() const
{
    return this->timers.empty() ? Milliseconds::never() : this->timers.begin()->first;
}

bool ClaimTracker::hasUnsettledClaims() const
{
    return std::any_of(this->claims.begin(), this->claims.end(), [](const auto& entry) {
        return entry.second.step == Step::Confirming || entry.second.step == Step::Releasing;
    });
}

} // namespace papayashelf
