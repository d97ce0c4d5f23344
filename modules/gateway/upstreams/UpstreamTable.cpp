#include "gateway/upstreams/UpstreamTable.h"

#include <algorithm>

namespace papayashelf {

namespace {

/** Responses of a busy upstream arrive more often than this; an upstream without responses has no load. */
constexpr Milliseconds reportLifetime { 1500 };
/** Time in which a statement reaches all VMs of a region, also if some messages are lost. */
constexpr Milliseconds statementExchangeTime { 5'000 };
/** Longer than the store may be away plus the age of what it may return with. */
constexpr Milliseconds endedMemory { 120'000 };
constexpr std::size_t maximumEnded = 10'000; /**< Bounds the memory if upstreams start and end very often. */
/** An entry that its upstream no longer renews is removed sooner. */
constexpr Milliseconds staleEntryLifetime { 10'000 };
/** Messages take less, so that times of different VMs differ by less. */
constexpr Milliseconds messageDelay { 100 };
/** An entry that stays listed for longer is renewed, so whatever renews it has started by then. */
constexpr Milliseconds endLifetime { 6'000 };
/** Older than any statement of a limit that counts. */
constexpr Milliseconds unknownAge { 86'400'000 };
/** Covers the exchange of a few load reports, after which other VMs know what the upstream is busy with. */
constexpr Milliseconds rejectionPause { 1'000 };
constexpr Milliseconds coldMargin { 300 }; /**< Covers the upstream's clock error and the delay of the list. */

} // namespace

bool UpstreamOrder::precludes(const UpstreamRecord& record, bool hasEarlierSequence) const
{
    const bool isEarlierIncarnation = record.startedAt != 0 && record.startedAt < this->startedAt;
    if (isEarlierIncarnation || (this->hasLeft(record) && !record.isLeaving))
        return true;
    if (record.startedAt != this->startedAt || record.endpoint != this->endpoint)
        return false;
    return this->sequence != 0 && record.sequence != 0 && hasEarlierSequence;
}

bool UpstreamOrder::hasLeft(const UpstreamRecord& record) const
{
    return this->isLeaving && this->startedAt != 0 && record.startedAt == this->startedAt
        && record.endpoint == this->endpoint;
}

std::optional<UpstreamOrder> UpstreamTable::put(Milliseconds now, const UpstreamRecord& record)
{
    if (std::optional<UpstreamOrder> later = this->findLaterOrder(record)) {
        this->passedOver.try_emplace(record.id, PassedOverEntry { {}, now }).first->second.record = record;
        return later;
    }
    this->store(now, record);
    return std::nullopt;
}

std::optional<UpstreamOrder> UpstreamTable::findLaterOrder(const UpstreamRecord& record) const
{
    if (const KnownUpstream* known = this->find(record.id)) {
        const UpstreamRecord& last = known->record;
        const UpstreamOrder order { last.endpoint, last.startedAt, last.sequence, last.isLeaving };
        return order.precludes(record, record.sequence < order.sequence) ? std::optional(order) : std::nullopt;
    }
    const auto found = this->ended.find(record.id);
    if (found == this->ended.end())
        return std::nullopt;
    const UpstreamOrder& order = found->second.order;
    return order.precludes(record, record.sequence <= order.sequence) ? std::optional(order) : std::nullopt;
}

void UpstreamTable::store(Milliseconds now, const UpstreamRecord& record)
{
    this->passedOver.erase(record.id);
    this->ended.erase(record.id);
    this->followedSince = this->followedSince.value_or(now);
    KnownUpstream& upstream = this->upstreams[record.id];
    if (upstream.record.service != record.service || upstream.record.version != record.version) {
        this->versionsChangedAt[{ upstream.record.service, upstream.record.version }] = now;
        this->versionsChangedAt[{ record.service, record.version }] = now;
    }
    const bool hasRestarted
        = upstream.record.startedAt != record.startedAt || upstream.record.endpoint != record.endpoint;
    if (hasRestarted) {
        const int running = upstream.running;
        const std::int64_t pendingTokens = upstream.pendingPrefillTokens;
        const std::optional<double> rejectionLimit = upstream.rejectionLimit;
        const Milliseconds rejectionLimitStatedAt = upstream.rejectionLimitStatedAt;
        upstream = KnownUpstream {};
        upstream.running = running;
        upstream.pendingPrefillTokens = pendingTokens;
        // It may have failed by its rejections. Its first answer tells whether the limit still holds.
        upstream.rejectionLimit = rejectionLimit;
        upstream.rejectionLimitStatedAt = rejectionLimitStatedAt;
    }
    upstream.record = record;
    upstream.goneAt.reset();
    const Milliseconds none;
    const Milliseconds coldUntil = record.coldFor > none ? now + record.coldFor + coldMargin : none;
    // An entry of the process that has ended says nothing of the one that follows it.
    const bool isOfEarlierProcess = upstream.endedAt || upstream.laterStart != 0;
    upstream.coldUntil = isOfEarlierProcess ? std::max(upstream.coldUntil, coldUntil) : coldUntil;
}

void UpstreamTable::remove(const UpstreamId& id, Milliseconds goneAt)
{
    KnownUpstream* upstream = this->get(id);
    if (upstream)
        upstream->goneAt = std::min(goneAt, upstream->goneAt.value_or(goneAt));
    this->passedOver.erase(id);
}

std::vector<UpstreamId> UpstreamTable::expire(Milliseconds now)
{
    std::vector<UpstreamId> gone;
    std::erase_if(this->upstreams, [&](const auto& entry) {
        const bool isExpired = entry.second.goneAt && *entry.second.goneAt <= now;
        if (isExpired) {
            gone.push_back(entry.first);
            this->rememberEnded(now, entry.second);
        }
        return isExpired;
    });
    std::erase_if(this->ended, [now](const auto& entry) { return entry.second.endedAt + endedMemory <= now; });
    std::erase_if(this->versionsChangedAt, [now](const auto& entry) { return entry.second + endedMemory <= now; });
    this->applyOldPassedOver(now);
    return gone;
}

void UpstreamTable::rememberEnded(Milliseconds now, const KnownUpstream& upstream)
{
    const UpstreamRecord& last = upstream.record;
    this->versionsChangedAt[{ last.service, last.version }] = now;
    if (this->ended.size() >= maximumEnded) {
        this->ended.erase(std::min_element(this->ended.begin(), this->ended.end(),
            [](const auto& left, const auto& right) { return left.second.endedAt < right.second.endedAt; }));
    }
    const bool isLeaving = last.isLeaving || upstream.leavingSince;
    this->ended[last.id] = { { last.endpoint, last.startedAt, last.sequence, isLeaving }, now };
}

void UpstreamTable::applyOldPassedOver(Milliseconds now)
{
    std::vector<UpstreamRecord> listed;
    std::erase_if(this->passedOver, [&](const auto& entry) {
        const bool isOld = entry.second.since + staleEntryLifetime <= now;
        if (isOld)
            listed.push_back(entry.second.record);
        return isOld;
    });
    for (const UpstreamRecord& record : listed) {
        const std::optional<UpstreamOrder> later = this->findLaterOrder(record);
        if (!later || !later->hasLeft(record))
            this->store(now, record);
    }
}

void UpstreamTable::noteStarted(const UpstreamId& id, std::int64_t promptTokens)
{
    if (KnownUpstream* upstream = this->get(id)) {
        ++upstream->running;
        upstream->sentSinceLimited += upstream->requestsPerSecond ? 1 : 0;
        upstream->pendingPrefillTokens += promptTokens;
    }
}

void UpstreamTable::notePrefillDone(const UpstreamId& id, std::int64_t promptTokens)
{
    if (KnownUpstream* upstream = this->get(id))
        upstream->pendingPrefillTokens = std::max<std::int64_t>(0, upstream->pendingPrefillTokens - promptTokens);
}

void UpstreamTable::noteEnded(const UpstreamId& id)
{
    if (KnownUpstream* upstream = this->get(id))
        upstream->running = std::max(0, upstream->running - 1);
}

void UpstreamTable::noteBytes(Milliseconds now, const UpstreamId& id)
{
    if (KnownUpstream* upstream = this->get(id))
        upstream->lastBytesAt = now;
}

void UpstreamTable::noteHealthObservation(Milliseconds now, const UpstreamId& id, HealthObservation observation)
{
    if (KnownUpstream* upstream = this->get(id))
        upstream->health.addObservation(now, observation);
}

void UpstreamTable::noteTrial(Milliseconds now, const UpstreamId& id)
{
    if (KnownUpstream* upstream = this->get(id))
        upstream->health.noteTrial(now);
}

StatementChange UpstreamTable::noteStatement(
    Milliseconds now, const UpstreamRecord& upstream, const UpstreamStatement& statement)
{
    KnownUpstream* known = this->get(upstream.id);
    if (!known || known->record.startedAt != upstream.startedAt || known->record.endpoint != upstream.endpoint)
        return {};
    StatementChange change;
    change.leaving = statement.isLeaving && !known->leavingSince;
    if (change.leaving)
        known->leavingSince = now;
    const Milliseconds rejectsUntil = now + statement.rejectsFor;
    change.rejecting = statement.rejectsFor > Milliseconds(0) && rejectsUntil > known->rejectsUntil;
    if (change.rejecting)
        known->rejectsUntil = rejectsUntil;
    change.limit = statement.isLimitKnown && noteLimit(now, *known, statement.requestsPerSecond);
    change.rejectionLimit
        = statement.isRejectionLimitKnown && noteRejectionLimit(now, *known, statement.rejectionLimit);
    return change;
}

bool UpstreamTable::noteLimit(Milliseconds at, KnownUpstream& upstream, std::optional<double> requestsPerSecond)
{
    upstream.statedAt = at;
    if (upstream.requestsPerSecond == requestsPerSecond)
        return false;
    if (!requestsPerSecond) {
        upstream.limitEndedAt = at;
        upstream.sentSinceLimited = 0;
    }
    upstream.requestsPerSecond = requestsPerSecond;
    return true;
}

bool UpstreamTable::noteRejectionLimit(Milliseconds at, KnownUpstream& upstream, std::optional<double> rejectionLimit)
{
    upstream.rejectionLimitStatedAt = at;
    if (upstream.rejectionLimit == rejectionLimit)
        return false;
    if (!rejectionLimit)
        upstream.rejectionLimitEndedAt = at;
    upstream.rejectionLimit = rejectionLimit;
    return true;
}

void UpstreamTable::noteRejection(Milliseconds now, const UpstreamId& id)
{
    KnownUpstream* upstream = this->get(id);
    if (upstream && upstream->rejectionLimit)
        upstream->rejectsUntil = std::max(upstream->rejectsUntil, now + rejectionPause);
}

bool UpstreamTable::noteProcessEnded(Milliseconds now, const UpstreamRecord& upstream)
{
    KnownUpstream* known = this->get(upstream.id);
    if (!known || known->record.startedAt != upstream.startedAt || known->record.endpoint != upstream.endpoint)
        return false;
    const bool isNews = !known->hasEnded();
    known->endedAt = now;
    known->returnedAt.reset();
    known->isEndUncertain = false;
    known->coldUntil = now + endLifetime;
    return isNews;
}

bool UpstreamTable::noteProbableEnd(Milliseconds now, const UpstreamRecord& upstream)
{
    const KnownUpstream* known = this->find(upstream.id);
    const bool isCertain = known && known->hasEnded() && !known->isEndUncertain;
    const bool isNews = this->noteProcessEnded(now, upstream);
    if (KnownUpstream* ended = this->get(upstream.id))
        ended->isEndUncertain = ended->hasEnded() && !isCertain;
    return isNews;
}

void UpstreamTable::confirmEnd(const UpstreamId& id)
{
    if (KnownUpstream* upstream = this->get(id))
        upstream->isEndUncertain = false;
}

void UpstreamTable::refuteEnd(const UpstreamId& id)
{
    KnownUpstream* upstream = this->get(id);
    if (!upstream || !upstream->isEndUncertain)
        return;
    forgetEnd(*upstream);
    upstream->coldUntil = Milliseconds(0);
}

void UpstreamTable::forgetEnd(KnownUpstream& upstream)
{
    upstream.endedAt.reset();
    upstream.returnedAt.reset();
    upstream.isEndUncertain = false;
}

void UpstreamTable::discardHealth(const RegionId& region)
{
    for (auto& [id, upstream] : this->upstreams) {
        if (upstream.record.region == region)
            upstream.health = {};
    }
}

void UpstreamTable::noteContact(
    Milliseconds now, const UpstreamRecord& upstream, Milliseconds connectedAt, Milliseconds coldFor)
{
    KnownUpstream* known = this->get(upstream.id);
    if (!known || known->record.startedAt != upstream.startedAt || known->record.endpoint != upstream.endpoint)
        return;
    // The times of other VMs are late by the delay of messages, and bytes that arrived before the end may be read
    // after.
    const bool refutesEnd
        = known->endedAt && connectedAt + messageDelay < *known->endedAt && now > *known->endedAt + messageDelay;
    if (refutesEnd) {
        forgetEnd(*known);
        known->coldUntil = Milliseconds(0);
    } else if (known->hasEnded() && connectedAt + messageDelay >= *known->endedAt) {
        known->returnedAt = now;
        known->coldUntil = now + coldFor;
    }
    known->contactSince
        = connectedAt <= known->lastContactAt ? std::min(known->contactSince, connectedAt) : connectedAt;
    known->lastContactAt = now;
}

void UpstreamTable::mergeEnd(
    KnownUpstream& upstream, Milliseconds endedAt, std::optional<Milliseconds> returnedAt, Milliseconds coldFor)
{
    const bool hasContact = upstream.lastContactAt > Milliseconds(0);
    const bool isRefuted = hasContact && upstream.contactSince + messageDelay < endedAt
        && upstream.lastContactAt > endedAt + messageDelay;
    if (isRefuted)
        return;
    // The same end comes again from each VM that has heard of it, a little later each time.
    const Milliseconds lastKnown = upstream.returnedAt.value_or(upstream.endedAt.value_or(endedAt - messageDelay * 2));
    if (endedAt > lastKnown + messageDelay) {
        upstream.endedAt = endedAt;
        upstream.returnedAt.reset();
        upstream.isEndUncertain = false;
        upstream.coldUntil = endedAt + endLifetime;
    }
    // This VM may have had answers of the next process without knowing that it was another one.
    if (hasContact && upstream.contactSince + messageDelay >= *upstream.endedAt)
        returnedAt = std::min(upstream.contactSince, returnedAt.value_or(upstream.contactSince));
    if (!returnedAt || *returnedAt + messageDelay < *upstream.endedAt)
        return;
    if (!upstream.returnedAt || *returnedAt + messageDelay < *upstream.returnedAt) {
        upstream.returnedAt = *returnedAt;
        upstream.coldUntil = *returnedAt + coldFor;
    }
}

void UpstreamTable::mergeLaterStart(
    Milliseconds now, KnownUpstream& upstream, std::int64_t startedAt, Milliseconds coldFor)
{
    if (coldFor <= Milliseconds(0) || startedAt <= std::max(upstream.record.startedAt, upstream.laterStart))
        return;
    // Unlike an end that was observed, a listed start is not refuted by any answer.
    forgetEnd(upstream);
    upstream.laterStart = startedAt;
    upstream.coldUntil = now + coldFor;
}

void UpstreamTable::noteStatement(Milliseconds now, const SharedStatement& statement, Milliseconds coldFor)
{
    KnownUpstream* upstream = this->get(statement.upstream);
    if (upstream && upstream->record.startedAt != 0)
        mergeLaterStart(now, *upstream, statement.startedAt, statement.coldFor);
    if (!upstream || upstream->record.startedAt != statement.startedAt)
        return;
    if (statement.endedFor) {
        mergeEnd(*upstream, now - *statement.endedFor,
            statement.returnedFor ? std::optional(now - *statement.returnedFor) : std::nullopt, coldFor);
    }
    const Milliseconds statedAt = now - statement.age;
    if (statement.isLeaving && !upstream->leavingSince)
        upstream->leavingSince = now;
    if (statedAt > upstream->statedAt)
        noteLimit(statedAt, *upstream, statement.requestsPerSecond);
    if (statement.rejectionLimitAge && now - *statement.rejectionLimitAge > upstream->rejectionLimitStatedAt)
        noteRejectionLimit(now - *statement.rejectionLimitAge, *upstream, statement.rejectionLimit);
}

std::vector<SharedStatement> UpstreamTable::getSharedStatements(Milliseconds now, const RegionId& region) const
{
    std::vector<SharedStatement> statements;
    for (const auto& [id, upstream] : this->upstreams) {
        if (upstream.record.region != region)
            continue;
        const auto isRecent
            = [now](Milliseconds at) { return at > Milliseconds(0) && now - at <= statementExchangeTime; };
        const bool hasLimitNews
            = isRecent(upstream.statedAt) && (upstream.requestsPerSecond || isRecent(upstream.limitEndedAt));
        const bool hasRejectionLimitNews = isRecent(upstream.rejectionLimitStatedAt)
            && (upstream.rejectionLimit || isRecent(upstream.rejectionLimitEndedAt));
        const bool hasLeavingNews = upstream.leavingSince && now - *upstream.leavingSince <= statementExchangeTime;
        const auto getAge
            = [now](const std::optional<Milliseconds>& at) { return at ? std::optional(now - *at) : std::nullopt; };
        const bool isCold = upstream.isCold(now) && !upstream.isEndUncertain;
        if (!hasLimitNews && !hasRejectionLimitNews && !hasLeavingNews && !isCold)
            continue;
        if (isCold && upstream.laterStart != 0 && !upstream.endedAt) {
            SharedStatement started { id, upstream.laterStart, std::nullopt, false, unknownAge };
            started.coldFor = upstream.coldUntil - now;
            statements.push_back(std::move(started));
            continue;
        }
        SharedStatement statement { id, upstream.record.startedAt, upstream.requestsPerSecond,
            upstream.leavingSince.has_value(),
            upstream.statedAt > Milliseconds(0) ? now - upstream.statedAt : unknownAge };
        if (isCold && upstream.endedAt) {
            statement.endedFor = getAge(upstream.endedAt);
            statement.returnedFor = getAge(upstream.returnedAt);
        } else if (isCold) {
            statement.coldFor = upstream.coldUntil - now;
        }
        if (hasRejectionLimitNews) {
            statement.rejectionLimit = upstream.rejectionLimit;
            statement.rejectionLimitAge = now - upstream.rejectionLimitStatedAt;
        }
        statements.push_back(std::move(statement));
    }
    return statements;
}

void UpstreamTable::noteLoad(Milliseconds now, const UpstreamId& id, const ReportedLoad& load)
{
    KnownUpstream* upstream = this->get(id);
    if (!upstream)
        return;
    upstream->reported = load;
    upstream->reportedAt = now;
    upstream->runningAtReport = upstream->running;
}

const KnownUpstream* UpstreamTable::find(const UpstreamId& id) const
{
    const auto found = this->upstreams.find(id);
    return found == this->upstreams.end() ? nullptr : &found->second;
}

SoftwareVersion UpstreamTable::findVersion(const UpstreamRecord& upstream) const
{
    const KnownUpstream* known = this->find(upstream.id);
    // Without a later entry, nothing else has used its id.
    if (!known)
        return upstream.version;
    const UpstreamRecord& last = known->record;
    const bool isSame = last.startedAt == upstream.startedAt && last.endpoint == upstream.endpoint
        && last.version == upstream.version;
    return isSame && known->isEntryOfProcess() ? upstream.version : SoftwareVersion();
}

std::optional<SoftwareVersion> UpstreamTable::findOnlyVersion(
    Milliseconds now, const ServiceId& service, Milliseconds memory) const
{
    if (!this->followedSince || now - *this->followedSince < memory)
        return std::nullopt;
    std::set<SoftwareVersion> versions;
    for (const auto& [id, upstream] : this->upstreams) {
        if (upstream.record.service == service)
            versions.insert(upstream.record.version);
    }
    for (const auto& [version, changedAt] : this->versionsChangedAt) {
        if (version.first == service && now - changedAt < memory)
            versions.insert(version.second);
    }
    return versions.size() == 1 && !versions.begin()->isEmpty() ? std::optional(*versions.begin()) : std::nullopt;
}

KnownUpstream* UpstreamTable::get(const UpstreamId& id)
{
    const auto found = this->upstreams.find(id);
    return found == this->upstreams.end() ? nullptr : &found->second;
}

bool UpstreamTable::isUsable(const KnownUpstream& upstream) const
{
    return !upstream.record.isLeaving && !upstream.leavingSince
        && !this->evacuated.contains(upstream.record.failureDomain);
}

std::vector<const KnownUpstream*> UpstreamTable::getUsableUpstreams(
    const ServiceId& service, const RegionId& region) const
{
    std::vector<const KnownUpstream*> found;
    for (const auto& [id, upstream] : this->upstreams) {
        if (upstream.record.service == service && upstream.record.region == region && this->isUsable(upstream))
            found.push_back(&upstream);
    }
    return found;
}

int UpstreamTable::countSlots(const ServiceId& service, const RegionId& region) const
{
    int slots = 0;
    for (const KnownUpstream* upstream : this->getUsableUpstreams(service, region))
        slots += upstream->record.slots;
    return slots;
}

std::map<ServiceId, ServiceLoad> UpstreamTable::measureLoad(const RegionId& region) const
{
    std::map<ServiceId, ServiceLoad> loads;
    for (const auto& [id, upstream] : this->upstreams) {
        if (upstream.record.region != region || upstream.running == 0)
            continue;
        ServiceLoad& load = loads[upstream.record.service];
        load.running += upstream.running;
        load.pendingPrefillTokens += upstream.pendingPrefillTokens;
    }
    return loads;
}

std::map<UpstreamId, UpstreamLoad> UpstreamTable::measureUpstreamLoads(const RegionId& region) const
{
    std::map<UpstreamId, UpstreamLoad> loads;
    for (const auto& [id, upstream] : this->upstreams) {
        if (upstream.record.region == region && upstream.running > 0)
            loads[id] = { upstream.running, upstream.pendingPrefillTokens };
    }
    return loads;
}

double estimateLoad(const KnownUpstream& upstream, double running, Milliseconds now)
{
    if (now - upstream.reportedAt > reportLifetime || upstream.reported.slots == 0)
        return running;
    const double reported = upstream.reported.running + upstream.reported.waiting;
    return std::max<double>(upstream.running, reported + upstream.running - upstream.runningAtReport);
}

} // namespace papayashelf
