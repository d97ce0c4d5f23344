#include "shares/epochs/EpochKeeper.h"

#include "foundation/hashing/StableHash.h"
#include <algorithm>

namespace papayashelf {

namespace {

/** After this long a reply of the store counts as lost. */
constexpr Milliseconds storeReplyLimit { 10'000 };

} // namespace

EpochKeeper::EpochKeeper(
    ShareHolder self, RegionId region, const ShareSettings& settings, OwnerMap& owners, std::uint64_t seed)
    : self(std::move(self))
    , region(std::move(region))
    , settings(settings)
    , owners(owners)
    , random(seed)
{
}

void EpochKeeper::setMembers(Milliseconds now, const std::vector<ShareMember>& given)
{
    std::map<VmId, Presence> next;
    for (const ShareMember& member : given) {
        if (member.vm == this->self.vm)
            continue;
        const auto known = this->members.find(member.vm);
        const bool isSame = known != this->members.end() && known->second.member.incarnation == member.incarnation
            && known->second.member.isLive == member.isLive;
        next[member.vm] = { member, isSame ? known->second.since : now };
    }
    this->members = std::move(next);
}

void EpochKeeper::setVmList(Milliseconds now, const VmList& list)
{
    const ShareEpoch* current = this->getCurrent();
    if (!current)
        return;
    std::map<VmId, Milliseconds> next;
    for (const ShareHolder& holder : current->holders) {
        const bool isListed
            = std::any_of(list.begin(), list.end(), [&](const VmRecord& listed) { return listed.vm == holder.vm; });
        if (isListed)
            continue;
        const auto known = this->unlistedSince.find(holder.vm);
        next[holder.vm] = known == this->unlistedSince.end() ? now : known->second;
    }
    this->unlistedSince = std::move(next);
    this->listedAt = now;
}

EpochOutput EpochKeeper::handleNews(Milliseconds, const VmId& from, const ShareEpochNews& message)
{
    EpochOutput output;
    this->learn(message.epoch, output);
    if (message.epoch.region == this->region) {
        ShareEpochAdopted reply { this->region, this->getAdoptedEpoch(), this->self.incarnation, {} };
        // A holder that the asker can't reach may have told this VM.
        for (const auto& [holder, epoch] : this->adopted) {
            if (!this->isReleased && epoch != releasedShareEpoch && epoch >= reply.epoch)
                reply.others.push_back(holder);
        }
        output.actions.sends.push_back({ from, reply });
    }
    return output;
}

EpochOutput EpochKeeper::handleAdopted(Milliseconds, const VmId& from, const ShareEpochAdopted& message)
{
    EpochOutput output;
    if (message.region != this->region)
        return output;
    output.adoptions.emplace_back(ShareHolder { from, message.incarnation }, message.epoch);
    if (message.epoch != releasedShareEpoch) {
        for (const ShareHolder& other : message.others)
            output.adoptions.emplace_back(other, message.epoch);
    }
    for (const auto& [holder, epoch] : output.adoptions)
        this->adopted[holder] = std::max(this->adopted[holder], epoch);
    if (message.epoch == releasedShareEpoch)
        return output;
    this->seenEpoch = std::max(this->seenEpoch, message.epoch);
    if (message.epoch > this->getCurrentNumber())
        output.actions.sends.push_back({ from, this->makeDigest(false) });
    return output;
}

EpochOutput EpochKeeper::handleDigest(Milliseconds, const VmId& from, const ShareEpochDigest& message)
{
    EpochOutput output;
    std::map<RegionId, std::uint64_t> theirs;
    for (const ShareEpochNumber& number : message.epochs)
        theirs[number.region] = number.epoch;
    bool isBehind = false;
    for (const auto& [other, number] : theirs) {
        const OwnerMap::Entry* known = this->owners.find(other);
        isBehind = isBehind || !known || known->epoch.epoch < number;
    }
    for (const auto& [other, entry] : this->owners.getAll()) {
        if (entry.epoch.epoch > theirs[other])
            output.actions.sends.push_back({ from, ShareEpochNews { entry.epoch } });
    }
    if (isBehind && !message.isReply)
        output.actions.sends.push_back({ from, this->makeDigest(true) });
    return output;
}

EpochOutput EpochKeeper::handleStoreReply(Milliseconds now, std::uint64_t call, const StoreReply& reply)
{
    EpochOutput output;
    if (call != this->pendingCall || call == 0)
        return output;
    this->pendingCall = 0;
    const std::optional<ShareEpoch> written = std::move(this->proposed);
    this->proposed.reset();
    if (!reply) {
        // A write that may have taken effect shows in the next read, which comes before any further write.
        const bool wasBeaten = reply.error().code == ErrorCode::Conflict;
        this->storeNotBefore = wasBeaten ? now : now + this->settings.storeRetry;
        return output;
    }
    if (written) {
        output.actions.events.push_back({ "share_epoch_proposed", std::to_string(written->epoch) });
        this->learn(*written, output);
        return output;
    }
    this->handleRead(now, reply.value().empty() ? StoreEntry {} : reply.value().front(), output);
    return output;
}

EpochOutput EpochKeeper::tick(Milliseconds now, const std::vector<ShareHolder>& awaited)
{
    EpochOutput output;
    if (!this->startedAt) {
        this->startedAt = now;
        this->nextCheck = now + this->settings.epochSettle;
        this->nextDigest = now;
    }
    if (now >= this->nextDigest) {
        this->sendDigest(output);
        this->nextDigest = now + this->settings.digestPeriod;
    }
    if (now < this->nextCheck)
        return output;
    this->nextCheck = now + this->settings.epochPeriod;
    if (this->isReleased)
        this->announceRelease(output);
    std::set<VmId> asked;
    for (const ShareHolder& holder : awaited)
        asked.insert(holder.vm);
    if (this->isLeader(now)) {
        this->askForAdoptions(asked);
        this->propose(now, output);
    }
    if (const ShareEpoch* current = this->getCurrent()) {
        for (const VmId& vm : asked)
            output.actions.sends.push_back({ vm, ShareEpochNews { *current } });
    }
    return output;
}

Milliseconds EpochKeeper::getNextDeadline() const
{
    if (!this->startedAt)
        return {};
    return std::min(this->nextCheck, this->nextDigest);
}

EpochOutput EpochKeeper::release()
{
    EpochOutput output;
    this->isReleased = true;
    this->announceRelease(output);
    return output;
}

void EpochKeeper::announceRelease(EpochOutput& output) const
{
    const ShareEpoch* current = this->getCurrent();
    if (!current)
        return;
    for (const ShareHolder& holder : current->holders) {
        if (holder.vm != this->self.vm)
            output.actions.sends.push_back(
                { holder.vm, ShareEpochAdopted { this->region, releasedShareEpoch, this->self.incarnation, {} } });
    }
}

std::uint64_t EpochKeeper::getAdoptedEpoch() const
{
    return this->isReleased ? releasedShareEpoch : this->getCurrentNumber();
}

bool EpochKeeper::isLeader(Milliseconds now) const
{
    if (this->isReleased)
        return false;
    std::vector<std::uint64_t> candidates { stableHash(this->self.vm.string()) };
    for (const auto& [vm, presence] : this->members) {
        const bool isSettled = now - presence.since >= this->settings.epochSettle;
        if (presence.member.region == this->region && presence.member.isLive && isSettled)
            candidates.push_back(stableHash(vm.string()));
    }
    return rendezvousOrder(stableHash(this->region.string()), candidates, 1).front() == 0;
}

bool EpochKeeper::isProvenDead(const ShareHolder& holder) const
{
    if (holder.vm == this->self.vm)
        return holder.incarnation < this->self.incarnation;
    const auto member = this->members.find(holder.vm);
    if (member != this->members.end() && member->second.member.incarnation > holder.incarnation)
        return true;
    const auto unlisted = this->unlistedSince.find(holder.vm);
    return unlisted != this->unlistedSince.end() && this->listedAt - unlisted->second >= this->settings.unlistedGrace;
}

bool EpochKeeper::isReleasedHolder(const ShareHolder& holder) const
{
    const auto known = this->adopted.find(holder);
    return known != this->adopted.end() && known->second == releasedShareEpoch;
}

bool EpochKeeper::isReplacementSettling(Milliseconds now) const
{
    // One epoch for a restarted VM is better than one without it and another with it.
    const ShareEpoch* current = this->getCurrent();
    return std::any_of(current->holders.begin(), current->holders.end(), [&](const ShareHolder& holder) {
        const auto member = this->members.find(holder.vm);
        return member != this->members.end() && member->second.member.isLive
            && member->second.member.incarnation > holder.incarnation
            && now - member->second.since < this->settings.epochSettle;
    });
}

std::vector<ShareHolder> EpochKeeper::computeHolders(Milliseconds now) const
{
    std::set<ShareHolder> holders;
    if (const ShareEpoch* current = this->getCurrent()) {
        for (const ShareHolder& holder : current->holders) {
            if (!this->isProvenDead(holder) && !this->isReleasedHolder(holder))
                holders.insert(holder);
        }
    }
    for (const auto& [vm, presence] : this->members) {
        const ShareHolder holder { vm, presence.member.incarnation };
        const bool isSettled = now - presence.since >= this->settings.epochSettle;
        if (presence.member.region == this->region && presence.member.isLive && isSettled
            && !this->isReleasedHolder(holder))
            holders.insert(holder);
    }
    holders.insert(this->self);
    return { holders.begin(), holders.end() };
}

std::vector<ShareHolder> EpochKeeper::getUnadopted() const
{
    std::vector<ShareHolder> unadopted;
    const ShareEpoch* current = this->getCurrent();
    if (!current)
        return unadopted;
    for (const ShareHolder& holder : current->holders) {
        const auto known = this->adopted.find(holder);
        const bool hasAdopted = known != this->adopted.end() && known->second >= current->epoch;
        if (holder != this->self && !hasAdopted && !this->isProvenDead(holder))
            unadopted.push_back(holder);
    }
    return unadopted;
}

void EpochKeeper::askForAdoptions(std::set<VmId>& asked)
{
    const std::vector<ShareHolder> unadopted = this->getUnadopted();
    for (const ShareHolder& holder : unadopted)
        asked.insert(holder.vm);
    if (unadopted.empty())
        return;
    for (const VmId& vm : this->pickLiveVms(this->settings.epochFanout))
        asked.insert(vm);
}

void EpochKeeper::propose(Milliseconds now, EpochOutput& output)
{
    if (this->pendingCall != 0 && now - this->pendingSince >= storeReplyLimit) {
        this->pendingCall = 0;
        this->proposed.reset();
    }
    if (this->pendingCall != 0 || now < this->storeNotBefore)
        return;
    const ShareEpoch* current = this->getCurrent();
    if (current && (this->computeHolders(now) == current->holders || this->isReplacementSettling(now)))
        return;
    // Some VM knows a later epoch than this one, which then can't tell what that epoch's holders own.
    if (this->seenEpoch > this->getCurrentNumber() || !this->getUnadopted().empty())
        return;
    this->callStore(now, { StoreOperation::Get, shareEpochKey(this->region), {}, 0, {} }, output);
}

void EpochKeeper::callStore(Milliseconds now, StoreRequest request, EpochOutput& output)
{
    this->pendingCall = ++this->lastCall;
    this->pendingSince = now;
    output.actions.storeCalls.push_back({ this->pendingCall, std::move(request) });
}

void EpochKeeper::handleRead(Milliseconds now, const StoreEntry& entry, EpochOutput& output)
{
    std::uint64_t storedNumber = 0;
    if (entry.version != 0) {
        const Outcome<ShareEpoch> stored = readShareEpoch(entry.value);
        if (!stored || stored.value().region != this->region) {
            output.actions.events.push_back(
                { "share_epoch_set_aside", stored ? "it is of another region" : stored.error().detail });
            return;
        }
        storedNumber = stored.value().epoch;
        this->learn(stored.value(), output);
    }
    const std::uint64_t known = this->getCurrentNumber();
    if (storedNumber < known)
        output.actions.events.push_back({ "share_epoch_older_in_store", std::to_string(storedNumber) });

    const ShareEpoch* current = this->getCurrent();
    const std::vector<ShareHolder> holders = this->computeHolders(now);
    const bool isUnchanged = current && holders == current->holders;
    if (isUnchanged || this->seenEpoch > known || !this->getUnadopted().empty() || !this->isLeader(now))
        return;
    this->proposed
        = ShareEpoch { this->region, known + 1, holders, current ? current->holders : std::vector<ShareHolder> {} };
    this->callStore(now,
        { StoreOperation::CompareAndSwap, shareEpochKey(this->region), writeShareEpoch(*this->proposed), entry.version,
            {} },
        output);
}

void EpochKeeper::learn(const ShareEpoch& epoch, EpochOutput& output)
{
    if (!this->owners.setEpoch(epoch))
        return;
    output.hasLearnt = true;
    this->spread(epoch, output);
    if (epoch.region != this->region)
        return;
    output.adopted = epoch;
    std::set<ShareHolder> concerned(epoch.holders.begin(), epoch.holders.end());
    std::erase_if(this->adopted,
        [&](const auto& entry) { return !concerned.contains(entry.first) && !this->members.contains(entry.first.vm); });
    std::erase_if(this->unlistedSince, [&](const auto& entry) {
        return std::none_of(epoch.holders.begin(), epoch.holders.end(),
            [&](const ShareHolder& holder) { return holder.vm == entry.first; });
    });
    const ShareEpochAdopted adoption { this->region, this->getAdoptedEpoch(), this->self.incarnation, {} };
    for (const ShareHolder& holder : concerned) {
        if (holder.vm != this->self.vm)
            output.actions.sends.push_back({ holder.vm, adoption });
    }
}

void EpochKeeper::spread(const ShareEpoch& epoch, EpochOutput& output)
{
    for (const VmId& vm : this->pickLiveVms(this->settings.epochFanout))
        output.actions.sends.push_back({ vm, ShareEpochNews { epoch } });
}

void EpochKeeper::sendDigest(EpochOutput& output)
{
    for (const VmId& vm : this->pickLiveVms(1))
        output.actions.sends.push_back({ vm, this->makeDigest(false) });
}

std::vector<VmId> EpochKeeper::pickLiveVms(std::size_t count)
{
    std::vector<VmId> live;
    for (const auto& [vm, presence] : this->members) {
        if (presence.member.isLive)
            live.push_back(vm);
    }
    std::vector<VmId> picked;
    while (picked.size() < count && !live.empty()) {
        const std::size_t index = this->random() % live.size();
        picked.push_back(live[index]);
        live.erase(live.begin() + static_cast<std::ptrdiff_t>(index));
    }
    return picked;
}

ShareEpochDigest EpochKeeper::makeDigest(bool isReply) const
{
    ShareEpochDigest digest;
    digest.isReply = isReply;
    for (const auto& [other, entry] : this->owners.getAll())
        digest.epochs.push_back({ other, entry.epoch.epoch });
    return digest;
}

const ShareEpoch* EpochKeeper::getCurrent() const
{
    const OwnerMap::Entry* entry = this->owners.find(this->region);
    return entry ? &entry->epoch : nullptr;
}

std::uint64_t EpochKeeper::getCurrentNumber() const
{
    const ShareEpoch* current = this->getCurrent();
    return current ? current->epoch : 0;
}

} // namespace papayashelf
