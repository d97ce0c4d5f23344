#include "shares/epochs/EpochCoordinator.h"

#include "foundation/hashing/StableHash.h"
#include <algorithm>

namespace papayashelf {

namespace {

/** A store call without a reply for this long counts as failed. */
constexpr Milliseconds storeReplyTimeout { 10'000 };

} // namespace

EpochCoordinator::EpochCoordinator(
    ShareHolder self, RegionId region, const ShareSettings& settings, OwnerMap& owners, std::uint64_t seed)
    : self(std::move(self))
    , region(std::move(region))
    , settings(settings)
    , owners(owners)
    , random(seed)
{
}

void EpochCoordinator::setMembers(Milliseconds now, const std::vector<ShareMember>& newMembers)
{
    std::map<VmId, MemberState> next;
    for (const ShareMember& member : newMembers) {
        if (member.vm == this->self.vm)
            continue;
        const auto known = this->members.find(member.vm);
        const bool isSame = known != this->members.end() && known->second.member.incarnation == member.incarnation
            && known->second.member.isLive == member.isLive;
        next[member.vm] = { member, isSame ? known->second.unchangedSince : now };
    }
    this->members = std::move(next);
}

void EpochCoordinator::setVmList(Milliseconds now, const VmList& list)
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
    this->vmListFetchedAt = now;
}

EpochOutput EpochCoordinator::handleNews(Milliseconds, const VmId& from, const ShareEpochNews& message)
{
    EpochOutput output;
    this->applyEpoch(message.epoch, output);
    if (message.epoch.region == this->region) {
        ShareEpochAdopted reply { this->region, this->getAdoptedEpoch(), this->self.incarnation, {} };
        // Includes adoptions that the sender may have missed because it cannot reach the holder.
        for (const auto& [holder, epoch] : this->adopted) {
            if (!this->isReleased && epoch != releasedShareEpoch && epoch >= reply.epoch)
                reply.others.push_back(holder);
        }
        output.actions.sends.push_back({ from, reply });
    }
    return output;
}

EpochOutput EpochCoordinator::handleAdopted(Milliseconds, const VmId& from, const ShareEpochAdopted& message)
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
    this->highestReportedEpoch = std::max(this->highestReportedEpoch, message.epoch);
    if (message.epoch > this->getCurrentNumber())
        output.actions.sends.push_back({ from, this->makeDigest(false) });
    return output;
}

EpochOutput EpochCoordinator::handleDigest(Milliseconds, const VmId& from, const ShareEpochDigest& message)
{
    EpochOutput output;
    std::map<RegionId, std::uint64_t> senderEpochs;
    for (const ShareEpochNumber& number : message.epochs)
        senderEpochs[number.region] = number.epoch;
    bool isBehind = false;
    for (const auto& [other, number] : senderEpochs) {
        const OwnerMap::Entry* known = this->owners.find(other);
        isBehind = isBehind || !known || known->epoch.epoch < number;
    }
    for (const auto& [other, entry] : this->owners.getAll()) {
        if (entry.epoch.epoch > senderEpochs[other])
            output.actions.sends.push_back({ from, ShareEpochNews { entry.epoch } });
    }
    if (isBehind && !message.isReply)
        output.actions.sends.push_back({ from, this->makeDigest(true) });
    return output;
}

EpochOutput EpochCoordinator::handleStoreReply(Milliseconds now, std::uint64_t call, const StoreReply& reply)
{
    EpochOutput output;
    if (call != this->pendingCall || call == 0)
        return output;
    this->pendingCall = 0;
    const std::optional<ShareEpoch> writtenEpoch = std::move(this->proposed);
    this->proposed.reset();
    if (!reply) {
        // A failed write may still have taken effect. The next proposal reads the store first and finds it.
        const bool isConflict = reply.error().code == ErrorCode::Conflict;
        this->nextStoreCallAt = isConflict ? now : now + this->settings.storeRetryPause;
        return output;
    }
    if (writtenEpoch) {
        output.actions.events.push_back({ "share_epoch_proposed", std::to_string(writtenEpoch->epoch) });
        this->applyEpoch(*writtenEpoch, output);
        return output;
    }
    this->handleStoredEpoch(now, reply.value().empty() ? StoreEntry {} : reply.value().front(), output);
    return output;
}

EpochOutput EpochCoordinator::tick(Milliseconds now, const std::vector<ShareHolder>& awaited)
{
    EpochOutput output;
    if (!this->startedAt) {
        this->startedAt = now;
        this->nextCheck = now + this->settings.epochStabilityPeriod;
        this->nextDigest = now;
    }
    if (now >= this->nextDigest) {
        this->sendDigest(output);
        this->nextDigest = now + this->settings.digestPeriod;
    }
    if (now < this->nextCheck)
        return output;
    this->nextCheck = now + this->settings.epochCheckPeriod;
    if (this->isReleased)
        this->announceRelease(output);
    std::set<VmId> queriedVms;
    for (const ShareHolder& holder : awaited)
        queriedVms.insert(holder.vm);
    if (this->isLeader(now)) {
        this->addAdoptionQueries(queriedVms);
        this->propose(now, output);
    }
    if (const ShareEpoch* current = this->getCurrent()) {
        for (const VmId& vm : queriedVms)
            output.actions.sends.push_back({ vm, ShareEpochNews { *current } });
    }
    return output;
}

Milliseconds EpochCoordinator::getNextDeadline() const
{
    if (!this->startedAt)
        return {};
    return std::min(this->nextCheck, this->nextDigest);
}

EpochOutput EpochCoordinator::release()
{
    EpochOutput output;
    this->isReleased = true;
    this->announceRelease(output);
    return output;
}

void EpochCoordinator::announceRelease(EpochOutput& output) const
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

std::uint64_t EpochCoordinator::getAdoptedEpoch() const
{
    return this->isReleased ? releasedShareEpoch : this->getCurrentNumber();
}

bool EpochCoordinator::isLeader(Milliseconds now) const
{
    if (this->isReleased)
        return false;
    std::vector<std::uint64_t> candidates { stableHash(this->self.vm.string()) };
    for (const auto& [vm, state] : this->members) {
        const bool isStable = now - state.unchangedSince >= this->settings.epochStabilityPeriod;
        if (state.member.region == this->region && state.member.isLive && isStable)
            candidates.push_back(stableHash(vm.string()));
    }
    return rendezvousOrder(stableHash(this->region.string()), candidates, 1).front() == 0;
}

bool EpochCoordinator::isProvenDead(const ShareHolder& holder) const
{
    if (holder.vm == this->self.vm)
        return holder.incarnation < this->self.incarnation;
    const auto member = this->members.find(holder.vm);
    if (member != this->members.end() && member->second.member.incarnation > holder.incarnation)
        return true;
    const auto unlisted = this->unlistedSince.find(holder.vm);
    return unlisted != this->unlistedSince.end()
        && this->vmListFetchedAt - unlisted->second >= this->settings.unlistedGrace;
}

bool EpochCoordinator::isReleasedHolder(const ShareHolder& holder) const
{
    const auto known = this->adopted.find(holder);
    return known != this->adopted.end() && known->second == releasedShareEpoch;
}

bool EpochCoordinator::isReplacementStabilizing(Milliseconds now) const
{
    // Waiting avoids two epochs for one restart: one without the VM and another with its new incarnation.
    const ShareEpoch* current = this->getCurrent();
    return std::any_of(current->holders.begin(), current->holders.end(), [&](const ShareHolder& holder) {
        const auto member = this->members.find(holder.vm);
        return member != this->members.end() && member->second.member.isLive
            && member->second.member.incarnation > holder.incarnation
            && now - member->second.unchangedSince < this->settings.epochStabilityPeriod;
    });
}

std::vector<ShareHolder> EpochCoordinator::computeHolders(Milliseconds now) const
{
    std::set<ShareHolder> holders;
    if (const ShareEpoch* current = this->getCurrent()) {
        for (const ShareHolder& holder : current->holders) {
            if (!this->isProvenDead(holder) && !this->isReleasedHolder(holder))
                holders.insert(holder);
        }
    }
    for (const auto& [vm, state] : this->members) {
        const ShareHolder holder { vm, state.member.incarnation };
        const bool isStable = now - state.unchangedSince >= this->settings.epochStabilityPeriod;
        if (state.member.region == this->region && state.member.isLive && isStable && !this->isReleasedHolder(holder))
            holders.insert(holder);
    }
    holders.insert(this->self);
    return { holders.begin(), holders.end() };
}

std::vector<ShareHolder> EpochCoordinator::getUnadopted() const
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

void EpochCoordinator::addAdoptionQueries(std::set<VmId>& queriedVms)
{
    const std::vector<ShareHolder> unadopted = this->getUnadopted();
    for (const ShareHolder& holder : unadopted)
        queriedVms.insert(holder.vm);
    if (unadopted.empty())
        return;
    for (const VmId& vm : this->pickLiveVms(this->settings.epochFanout))
        queriedVms.insert(vm);
}

void EpochCoordinator::propose(Milliseconds now, EpochOutput& output)
{
    if (this->pendingCall != 0 && now - this->pendingSince >= storeReplyTimeout) {
        this->pendingCall = 0;
        this->proposed.reset();
    }
    if (this->pendingCall != 0 || now < this->nextStoreCallAt)
        return;
    const ShareEpoch* current = this->getCurrent();
    if (current && (this->computeHolders(now) == current->holders || this->isReplacementStabilizing(now)))
        return;
    // If another VM has a newer epoch, this VM does not know its holders and must not propose a successor.
    if (this->highestReportedEpoch > this->getCurrentNumber() || !this->getUnadopted().empty())
        return;
    this->callStore(now, { StoreOperation::Get, shareEpochKey(this->region), {}, 0, {} }, output);
}

void EpochCoordinator::callStore(Milliseconds now, StoreRequest request, EpochOutput& output)
{
    this->pendingCall = ++this->lastCall;
    this->pendingSince = now;
    output.actions.storeCalls.push_back({ this->pendingCall, std::move(request) });
}

void EpochCoordinator::handleStoredEpoch(Milliseconds now, const StoreEntry& entry, EpochOutput& output)
{
    std::uint64_t storedNumber = 0;
    if (entry.version != 0) {
        const Outcome<ShareEpoch> stored = readShareEpoch(entry.value);
        if (!stored || stored.value().region != this->region) {
            output.actions.events.push_back({ "share_epoch_set_aside",
                stored ? "the stored epoch belongs to another region" : stored.error().detail });
            return;
        }
        storedNumber = stored.value().epoch;
        this->applyEpoch(stored.value(), output);
    }
    const std::uint64_t known = this->getCurrentNumber();
    if (storedNumber < known)
        output.actions.events.push_back({ "share_epoch_older_in_store", std::to_string(storedNumber) });

    const ShareEpoch* current = this->getCurrent();
    const std::vector<ShareHolder> holders = this->computeHolders(now);
    const bool isUnchanged = current && holders == current->holders;
    if (isUnchanged || this->highestReportedEpoch > known || !this->getUnadopted().empty() || !this->isLeader(now))
        return;
    this->proposed
        = ShareEpoch { this->region, known + 1, holders, current ? current->holders : std::vector<ShareHolder> {} };
    this->callStore(now,
        { StoreOperation::CompareAndSwap, shareEpochKey(this->region), writeShareEpoch(*this->proposed), entry.version,
            {} },
        output);
}

void EpochCoordinator::applyEpoch(const ShareEpoch& epoch, EpochOutput& output)
{
    if (!this->owners.setEpoch(epoch))
        return;
    output.hasOwnerMapChanged = true;
    this->forwardEpoch(epoch, output);
    if (epoch.region != this->region)
        return;
    output.adopted = epoch;
    std::set<ShareHolder> currentHolders(epoch.holders.begin(), epoch.holders.end());
    std::erase_if(this->adopted, [&](const auto& entry) {
        return !currentHolders.contains(entry.first) && !this->members.contains(entry.first.vm);
    });
    std::erase_if(this->unlistedSince, [&](const auto& entry) {
        return std::none_of(epoch.holders.begin(), epoch.holders.end(),
            [&](const ShareHolder& holder) { return holder.vm == entry.first; });
    });
    const ShareEpochAdopted adoption { this->region, this->getAdoptedEpoch(), this->self.incarnation, {} };
    for (const ShareHolder& holder : currentHolders) {
        if (holder.vm != this->self.vm)
            output.actions.sends.push_back({ holder.vm, adoption });
    }
}

void EpochCoordinator::forwardEpoch(const ShareEpoch& epoch, EpochOutput& output)
{
    for (const VmId& vm : this->pickLiveVms(this->settings.epochFanout))
        output.actions.sends.push_back({ vm, ShareEpochNews { epoch } });
}

void EpochCoordinator::sendDigest(EpochOutput& output)
{
    for (const VmId& vm : this->pickLiveVms(1))
        output.actions.sends.push_back({ vm, this->makeDigest(false) });
}

std::vector<VmId> EpochCoordinator::pickLiveVms(std::size_t count)
{
    std::vector<VmId> live;
    for (const auto& [vm, state] : this->members) {
        if (state.member.isLive)
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

ShareEpochDigest EpochCoordinator::makeDigest(bool isReply) const
{
    ShareEpochDigest digest;
    digest.isReply = isReply;
    for (const auto& [other, entry] : this->owners.getAll())
        digest.epochs.push_back({ other, entry.epoch.epoch });
    return digest;
}

const ShareEpoch* EpochCoordinator::getCurrent() const
{
    const OwnerMap::Entry* entry = this->owners.find(this->region);
    return entry ? &entry->epoch : nullptr;
}

std::uint64_t EpochCoordinator::getCurrentNumber() const
{
    const ShareEpoch* current = this->getCurrent();
    return current ? current->epoch : 0;
}

} // namespace papayashelf
