#include "shares/ledger/ShareBorrower.h"

#include <algorithm>
#include <cassert>

namespace papayashelf {

namespace {

/**
    Call numbers start at the incarnation shifted left by this many bits.

    Incarnations are wall clock milliseconds, so call numbers of different incarnations do not overlap.
*/
constexpr int callBitsPerIncarnation = 20;
constexpr Milliseconds callRetention { 10'000 };
constexpr Milliseconds probePeriod { 250 };
constexpr Milliseconds minimumTimerDelay { 5 };
constexpr Milliseconds minimumRetryAfter { 100 };
constexpr std::int64_t permille = 1000;

} // namespace

ShareBorrower::ShareBorrower(ShareHolder self, RegionId region, const ShareSettings& settings,
    const WorkspaceShares& workspaceShares, const OwnerMap& owners, ShareOwnership& ownership)
    : self(std::move(self))
    , region(std::move(region))
    , settings(settings)
    , workspaceShares(workspaceShares)
    , owners(owners)
    , ownership(ownership)
    , lastCall(this->self.incarnation << callBitsPerIncarnation)
    , returns(this->self.incarnation, settings.returnPeriod)
{
}

void ShareBorrower::reserve(Milliseconds now, const ReservationRequest& reservation, ShareOutput& output)
{
    assert(!this->reservations.contains(reservation.request));
    const WorkspaceShare* share = this->workspaceShares.find(reservation.workspace);
    if (!share) {
        this->refuse(reservation.request, reservation.workspace, ShareRefusal::UnknownWorkspace, 0, output);
        return;
    }
    if (reservation.tokens > share->whole.burstTokens) {
        this->refuse(reservation.request, reservation.workspace, ShareRefusal::TooLarge, 0, output);
        return;
    }
    Account& account = this->getAccount(reservation.workspace);
    if (account.waiting.size() >= this->settings.maximumWaitingReservations) {
        this->refuse(
            reservation.request, reservation.workspace, ShareRefusal::TooManyWaiting, reservation.tokens, output);
        return;
    }
    this->reservations[reservation.request] = { reservation.workspace, {}, false };
    const Milliseconds deadline = std::min(reservation.deadline, now + this->settings.maximumWait);
    account.waiting.push_back({ reservation.request, std::max<std::int64_t>(0, reservation.tokens), now, deadline });
    this->serve(now, reservation.workspace, output);
}

void ShareBorrower::settle(Milliseconds now, RequestId request, std::int64_t usedTokens, ShareOutput& output)
{
    const auto found = this->reservations.find(request);
    if (found == this->reservations.end())
        return;
    const Reservation reservation = std::move(found->second);
    this->reservations.erase(found);
    Account& account = this->getAccount(reservation.workspace);
    if (!reservation.isGranted) {
        std::erase_if(account.waiting, [&](const WaitingReservation& waiting) { return waiting.request == request; });
        this->serve(now, reservation.workspace, output);
        return;
    }

    std::int64_t unused = -usedTokens;
    for (const Part& part : reservation.parts)
        unused += part.tokens;
    TokenBucket* bucket = this->ownership.find(reservation.workspace);
    if (unused < 0 && bucket)
        bucket->chargeBeyondReservation(now, -unused);
    else if (unused < 0 && !reservation.parts.empty())
        this->returnTokens(now, reservation.workspace, reservation.parts.front(), unused);
    for (const Part& part : reservation.parts) {
        if (!part.lender.isEmpty() || unused <= 0)
            continue;
        // Tokens that this VM's bucket no longer accepts count as used, so more of the borrowed tokens are unused.
        TokenBucket* owned = this->ownership.findOwnedSince(reservation.workspace, part.epoch);
        if (owned)
            unused -= owned->refund(now, part.chargedAt, std::min(unused, part.tokens));
    }
    for (const Part& part : reservation.parts) {
        if (part.lender.isEmpty() || unused <= 0)
            continue;
        const std::int64_t tokens = std::min(unused, part.tokens);
        this->returnTokens(now, reservation.workspace, part, tokens);
        unused -= tokens;
    }
    if (!account.waiting.empty())
        this->serve(now, reservation.workspace, output);
}

OwnDemand ShareBorrower::getDemand(Milliseconds now, const WorkspaceId& workspace) const
{
    const auto account = this->accounts.find(workspace);
    if (account == this->accounts.end() || account->second.waiting.empty())
        return {};
    OwnDemand demand { 0, now - account->second.waiting.front().since };
    for (const WaitingReservation& waiting : account->second.waiting)
        demand.tokens += waiting.tokens;
    return demand;
}

void ShareBorrower::serveWaiting(Milliseconds now, const std::set<WorkspaceId>& workspaces, ShareOutput& output)
{
    for (const WorkspaceId& workspace : workspaces) {
        const auto account = this->accounts.find(workspace);
        if (account != this->accounts.end() && !account->second.waiting.empty())
            this->serve(now, workspace, output);
    }
}

void ShareBorrower::handleGrant(Milliseconds now, const VmId& lender, const ShareGrant& message, ShareOutput& output)
{
    const auto found = this->calls.find(message.call);
    // An unknown call was already answered, has been discarded or is from an earlier incarnation. Its tokens stay
    // charged at the lender.
    if (found == this->calls.end() || found->second.owner != lender)
        return;
    const PendingCall call = found->second;
    this->calls.erase(found);
    Account& account = this->getAccount(call.workspace);
    if (OwnerView* view = account.owners.find(lender)) {
        view->left = message.left;
        view->answeredAt = now;
        view->pausedUntil = {};
        view->unansweredCalls = 0;
        if (view->call == message.call)
            view->call = 0;
    }
    const Part part { lender, message.tokens, message.grantedAt, message.epoch };
    const Milliseconds expiry = call.sentAt + this->settings.grantLifetime;
    if (message.tokens > 0 && now > expiry)
        this->returnTokens(now, call.workspace, part, part.tokens);
    else if (message.tokens > 0)
        account.loans.push_back({ part, expiry });
    this->serve(now, call.workspace, output);
}

void ShareBorrower::setLiveVms(std::set<VmId> vms)
{
    this->liveVms = std::move(vms);
}

void ShareBorrower::invalidateOwners(Milliseconds now, ShareOutput& output)
{
    std::set<WorkspaceId> waiting;
    for (auto& [workspace, account] : this->accounts) {
        account.areOwnersCurrent = false;
        if (!account.waiting.empty())
            waiting.insert(workspace);
    }
    for (const WorkspaceId& workspace : waiting)
        this->serve(now, workspace, output);
}

void ShareBorrower::tick(Milliseconds now, ShareOutput& output)
{
    std::vector<WorkspaceId> due;
    for (const auto& [time, workspace] : this->timers) {
        if (time > now)
            break;
        due.push_back(workspace);
    }
    for (const WorkspaceId& workspace : due)
        this->serve(now, workspace, output);
    this->discardOldCalls(now);
    if (now < this->returns.getDueTime())
        return;
    for (auto& message : this->returns.flush())
        output.sends.push_back(std::move(message));
}

Milliseconds ShareBorrower::getNextDeadline() const
{
    const Milliseconds timer = this->timers.empty() ? Milliseconds::never() : this->timers.begin()->first;
    return std::min(timer, this->returns.getDueTime());
}

void ShareBorrower::serve(Milliseconds now, const WorkspaceId& workspace, ShareOutput& output)
{
    Account& account = this->getAccount(workspace);
    this->returnExpiredLoans(now, workspace, account);
    account.owners.expireCalls(now, this->settings);
    this->grantWaiting(now, workspace, account, output);
    this->refuseOverdue(now, workspace, account, output);
    this->grantWaiting(now, workspace, account, output);
    if (account.waiting.empty()) {
        this->depositLoans(now, workspace, account);
        this->askForStock(now, workspace, account, output);
    } else {
        this->askOwners(now, workspace, account, output);
    }
    this->setTimer(now, workspace, account);
}

void ShareBorrower::grantWaiting(Milliseconds now, const WorkspaceId& workspace, Account& account, ShareOutput& output)
{
    while (!account.waiting.empty()) {
        const WaitingReservation head = account.waiting.front();
        const std::int64_t own = this->getOwnTokens(now, workspace);
        if (own + this->sumLoans(account) < head.tokens)
            return;
        Reservation& reservation = this->reservations[head.request];
        std::int64_t missing = head.tokens;
        this->consumeLoans(now, account, missing, reservation.parts);
        if (missing > 0) {
            this->ownership.find(workspace)->charge(now, missing);
            reservation.parts.push_back({ {}, missing, now, this->ownership.getEpoch() });
        }
        reservation.isGranted = true;
        output.granted.push_back({ head.request });
        account.waiting.pop_front();
    }
}

void ShareBorrower::refuseOverdue(Milliseconds now, const WorkspaceId& workspace, Account& account, ShareOutput& output)
{
    const WorkspaceShare* share = this->workspaceShares.find(workspace);
    std::deque<WaitingReservation> kept;
    for (const WaitingReservation& waiting : account.waiting) {
        if (share && waiting.tokens <= share->whole.burstTokens && waiting.deadline > now) {
            kept.push_back(waiting);
            continue;
        }
        ShareRefusal reason = ShareRefusal::OverShare;
        if (!share)
            reason = ShareRefusal::UnknownWorkspace;
        else if (waiting.tokens > share->whole.burstTokens)
            reason = ShareRefusal::TooLarge;
        this->reservations.erase(waiting.request);
        this->refuse(waiting.request, workspace, reason, waiting.tokens, output);
    }
    account.waiting = std::move(kept);
}

void ShareBorrower::askOwners(Milliseconds now, const WorkspaceId& workspace, Account& account, ShareOutput& output)
{
    const std::int64_t expectedTokens
        = this->getOwnTokens(now, workspace) + this->sumLoans(account) + account.owners.countAskedTokens();
    std::int64_t wanted = -expectedTokens;
    for (const WaitingReservation& waiting : account.waiting)
        wanted += waiting.tokens;
    const WaitingReservation& head = account.waiting.front();
    const std::vector<OwnerView*> askable = account.owners.getAskable(now, this->liveVms);
    std::int64_t obtainable = expectedTokens;
    for (const OwnerView* view : askable)
        obtainable += view->estimateAvailable(now);

    // Borrowed tokens that do not complete the first reservation would stay unused on this VM. If the owners seem to
    // have too little, requests for 0 tokens only update the estimates.
    const bool canComplete = obtainable >= head.tokens;
    for (OwnerView* view : askable) {
        const std::int64_t tokens = canComplete ? std::min(wanted, view->estimateAvailable(now)) : 0;
        const bool isStale = now - view->answeredAt >= probePeriod;
        if (tokens <= 0 && (canComplete || !isStale))
            continue;
        ShareRequest request;
        request.workspace = workspace;
        request.tokens = tokens;
        request.waited = now - head.since;
        this->sendRequest(now, workspace, *view, request, output);
        wanted -= tokens;
    }
}

void ShareBorrower::askForStock(Milliseconds now, const WorkspaceId& workspace, Account& account, ShareOutput& output)
{
    TokenBucket* bucket = this->ownership.find(workspace);
    const std::int64_t burst = bucket ? bucket->getLimit().burstTokens : 0;
    if (burst <= 0 || now < account.nextStockRequest)
        return;
    const std::int64_t ownPermille = bucket->getTokens(now) * permille / burst;
    if (ownPermille >= this->settings.stockRequestBelowPermille)
        return;
    OwnerView* fullest = nullptr;
    std::int64_t fullestPermille
        = std::max(ownPermille + this->settings.stockMinimumGapPermille, this->settings.stockMinimumLenderPermille);
    for (OwnerView& view : account.owners.getAll()) {
        const std::int64_t other
            = view.limit.burstTokens > 0 ? view.estimateAvailable(now) * permille / view.limit.burstTokens : 0;
        if (other < fullestPermille || !this->liveVms.contains(view.vm))
            continue;
        fullest = &view;
        fullestPermille = other + 1;
    }
    if (!fullest)
        return;
    ShareRequest request;
    request.workspace = workspace;
    request.stockPermille = (ownPermille + fullestPermille) / 2;
    request.stockTokens = (request.stockPermille - ownPermille) * burst / permille;
    account.nextStockRequest = now + this->settings.stockRequestPeriod;
    this->sendRequest(now, workspace, *fullest, request, output);
}

void ShareBorrower::sendRequest(
    Milliseconds now, const WorkspaceId& workspace, OwnerView& owner, const ShareRequest& request, ShareOutput& output)
{
    ShareRequest numbered = request;
    numbered.call = ++this->lastCall;
    this->calls[numbered.call] = { workspace, owner.vm, now, request.tokens };
    owner.call = numbered.call;
    owner.askedAt = now;
    owner.requestedTokensPerSecond = request.tokens;
    output.sends.push_back({ owner.vm, numbered });
}

void ShareBorrower::returnExpiredLoans(Milliseconds now, const WorkspaceId& workspace, Account& account)
{
    std::erase_if(account.loans, [&](const Loan& loan) {
        if (now <= loan.expiry)
            return false;
        this->returnTokens(now, workspace, loan.part, loan.part.tokens);
        return true;
    });
}

void ShareBorrower::consumeLoans(Milliseconds now, Account& account, std::int64_t& missing, std::vector<Part>& parts)
{
    for (Loan& loan : account.loans) {
        const std::int64_t tokens = now <= loan.expiry ? std::min(missing, loan.part.tokens) : 0;
        if (tokens == 0)
            continue;
        Part used = loan.part;
        used.tokens = tokens;
        parts.push_back(used);
        loan.part.tokens -= tokens;
        missing -= tokens;
    }
    std::erase_if(account.loans, [](const Loan& loan) { return loan.part.tokens == 0; });
}

void ShareBorrower::depositLoans(Milliseconds now, const WorkspaceId& workspace, Account& account)
{
    TokenBucket* bucket = this->ownership.find(workspace);
    if (!bucket)
        return;
    for (Loan& loan : account.loans) {
        if (now <= loan.expiry)
            loan.part.tokens -= bucket->deposit(now, loan.part.tokens);
    }
    std::erase_if(account.loans, [](const Loan& loan) { return loan.part.tokens == 0; });
}

void ShareBorrower::setTimer(Milliseconds now, const WorkspaceId& workspace, Account& account)
{
    Milliseconds next = Milliseconds::never();
    for (const Loan& loan : account.loans)
        next = std::min(next, loan.expiry + Milliseconds(1));
    for (const OwnerView& view : account.owners.getAll()) {
        if (view.call != 0)
            next = std::min(next, view.askedAt + this->settings.grantLifetime + Milliseconds(1));
    }
    if (!account.waiting.empty()) {
        for (const WaitingReservation& waiting : account.waiting)
            next = std::min(next, waiting.deadline);
        bool hasPendingCall = false;
        for (const OwnerView& view : account.owners.getAll())
            hasPendingCall = hasPendingCall || view.call != 0;
        const std::int64_t missing
            = account.waiting.front().tokens - this->getOwnTokens(now, workspace) - this->sumLoans(account);
        TokenBucket* bucket = this->ownership.find(workspace);
        const std::int64_t rate = bucket ? bucket->getLimit().tokensPerSecond : 0;
        if (rate > 0)
            next = std::min(next, now + Milliseconds(missing * 1000 / rate + 1));
        if (!hasPendingCall)
            next = std::min(next, account.owners.estimateAvailabilityTime(now, this->liveVms, missing));
        next = std::max(std::min(next, now + probePeriod), now + minimumTimerDelay);
    }
    if (next == account.timer)
        return;
    this->timers.erase({ account.timer, workspace });
    account.timer = next;
    if (next != Milliseconds::never())
        this->timers.insert({ next, workspace });
}

void ShareBorrower::refuse(
    RequestId request, const WorkspaceId& workspace, ShareRefusal reason, std::int64_t missing, ShareOutput& output)
{
    Milliseconds retryAfter;
    const WorkspaceShare* share = this->workspaceShares.find(workspace);
    const bool isOver = reason == ShareRefusal::OverShare || reason == ShareRefusal::TooManyWaiting;
    if (isOver && share && share->whole.tokensPerSecond > 0)
        retryAfter = std::max(minimumRetryAfter, Milliseconds(missing * 1000 / share->whole.tokensPerSecond));
    output.refused.push_back({ request, reason, retryAfter });
}

void ShareBorrower::returnTokens(Milliseconds now, const WorkspaceId& workspace, const Part& part, std::int64_t tokens)
{
    this->returns.add(now, part.lender, { workspace, tokens, part.chargedAt, part.epoch });
}

void ShareBorrower::discardOldCalls(Milliseconds now)
{
    while (!this->calls.empty() && this->calls.begin()->second.sentAt + callRetention < now)
        this->calls.erase(this->calls.begin());
}

ShareBorrower::Account& ShareBorrower::getAccount(const WorkspaceId& workspace)
{
    Account& account = this->accounts[workspace];
    const WorkspaceShare* share = this->workspaceShares.find(workspace);
    if (!account.areOwnersCurrent && share) {
        account.owners.rebuild(workspace, *share, this->owners, this->settings, this->self.vm, this->region);
        account.areOwnersCurrent = true;
    }
    return account;
}

std::int64_t ShareBorrower::sumLoans(const Account& account) const
{
    std::int64_t tokens = 0;
    for (const Loan& loan : account.loans)
        tokens += loan.part.tokens;
    return tokens;
}

std::int64_t ShareBorrower::getOwnTokens(Milliseconds now, const WorkspaceId& workspace)
{
    TokenBucket* bucket = this->ownership.find(workspace);
    return bucket ? std::max<std::int64_t>(0, bucket->getTokens(now)) : 0;
}

} // namespace papayashelf
