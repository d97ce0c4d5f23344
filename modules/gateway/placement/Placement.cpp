#include "gateway/placement/Placement.h"

#include <algorithm>
#include <limits>

namespace papayashelf {

namespace {

constexpr double fullLoad = 1.0; /**< Requests for each slot; what goes beyond waits inside the engine. */
constexpr double cacheBound = 1.35; /**< A cached prompt is worth a third more requests than the mean. */
constexpr double cacheSlack = 0.06; /**< Of the slots, so that an idle region still keeps prompts together. */
constexpr double relayFrom = 0.55; /**< Load of this region above which others are looked at. */
constexpr double relayGain = 0.25; /**< By which another region must be emptier: it costs two long ways. */
constexpr double tieWidth = 0.02; /**< Loads closer than this are equal; VMs then choose at random, not alike. */

} // namespace

Placement::Placement(VmId vm, RegionId region, const UpstreamTable& table, const VmRegistry& vms,
    const DigestBook& digests, std::uint64_t seed)
    : vm(vm)
    , region(std::move(region))
    , table(table)
    , vms(vms)
    , digests(digests)
    , random(seed)
    , coldLimit(std::move(vm))
{
}

PlacementDecision Placement::choose(Milliseconds now, const PlacementQuery& query, const ServingService& service)
{
    NoPlaceCause cause = NoPlaceCause::NoUpstream;
    std::vector<Candidate> candidates;
    if (isHome(query.homes, this->region))
        candidates = this->findCandidates(now, query, service, cause);
    const Candidate* best = this->pick(candidates, query.cacheKey);
    this->inputs = { candidates.size(), best ? best->load : 0,
        best ? now - best->upstream->reportedAt : Milliseconds(0) };
    const bool isRoomHere = best && best->load < relayFrom;
    if (!isRoomHere && query.mayRelay) {
        if (const auto relay = this->findRelay(now, query, best ? best->load : std::numeric_limits<double>::infinity()))
            return *relay;
    }
    if (!best)
        return NoPlace { cause };
    return UseUpstream { best->upstream->record, best->upstream->health.isSuspect(now) };
}

std::vector<Placement::Candidate> Placement::findCandidates(
    Milliseconds now, const PlacementQuery& query, const ServingService& service, NoPlaceCause& cause)
{
    const std::vector<VmId> sharers = this->vmsOfRegion();
    std::vector<Candidate> sound;
    std::vector<Candidate> suspect;
    for (const KnownUpstream* upstream : this->table.usable(query.service, this->region)) {
        if (query.tried.contains(upstream->record.id))
            continue;
        const double slots = std::max(1, upstream->record.slots);
        const Candidate candidate { upstream, estimateLoad(*upstream, sharers.size(), now) / slots };
        const bool isColdBound = upstream->isCold(now) && service.coldRequestsPerSecond > 0;
        if (candidate.load >= fullLoad) {
            cause = NoPlaceCause::AllFull;
        } else if (isColdBound
            && !this->coldLimit.mayUse(now, upstream->record.id, service.coldRequestsPerSecond, sharers)) {
            cause = cause == NoPlaceCause::NoUpstream ? NoPlaceCause::AllCold : cause;
        } else if (!upstream->health.isSuspect(now)) {
            sound.push_back(candidate);
        } else {
            suspect.push_back(candidate);
        }
    }
    for (const Candidate& candidate : suspect) {
        if (sound.empty() || candidate.upstream->health.isTrialDue(now))
            return { candidate };
    }
    return sound;
}

const Placement::Candidate* Placement::pick(const std::vector<Candidate>& candidates, std::uint64_t cacheKey)
{
    if (candidates.empty())
        return nullptr;
    double total = 0;
    double least = candidates.front().load;
    for (const Candidate& candidate : candidates) {
        total += candidate.load;
        least = std::min(least, candidate.load);
    }
    if (cacheKey != 0) {
        const double bound = total / static_cast<double>(candidates.size()) * cacheBound + cacheSlack;
        std::vector<std::uint64_t> hashes;
        hashes.reserve(candidates.size());
        for (const Candidate& candidate : candidates)
            hashes.push_back(stableHash(candidate.upstream->record.id.string()));
        for (const std::size_t index : rendezvousOrder(cacheKey, hashes, candidates.size())) {
            if (candidates[index].load <= bound)
                return &candidates[index];
        }
    }
    std::vector<const Candidate*> equal;
    for (const Candidate& candidate : candidates) {
        if (candidate.load <= least + tieWidth)
            equal.push_back(&candidate);
    }
    return equal[std::uniform_int_distribution<std::size_t>(0, equal.size() - 1)(this->random)];
}

std::optional<UseRelay> Placement::findRelay(Milliseconds now, const PlacementQuery& query, double ownLoad)
{
    const VmAnnouncement* chosen = nullptr;
    double lowest = std::min(fullLoad, ownLoad - relayGain);
    std::set<RegionId> regions;
    for (const auto& [id, status] : this->vms.getAll())
        regions.insert(status.region);
    for (const RegionId& other : regions) {
        if (other == this->region || query.triedRegions.contains(other) || !isHome(query.homes, other))
            continue;
        const int slots = this->table.countSlots(query.service, other);
        if (slots == 0)
            continue;
        const double load = static_cast<double>(this->digests.countRunning(other, query.service)) / slots;
        const VmAnnouncement* vm = load < lowest ? this->pickVm(now, other) : nullptr;
        if (vm) {
            chosen = vm;
            lowest = load;
        }
    }
    if (!chosen)
        return std::nullopt;
    return UseRelay { chosen->vm, chosen->region, chosen->relays, chosen->relayKey };
}

const VmAnnouncement* Placement::pickVm(Milliseconds now, const RegionId& other)
{
    std::vector<const VmAnnouncement*> usable = this->vms.readyIn(other);
    std::erase_if(usable, [&](const VmAnnouncement* status) {
        const auto avoided = this->avoidedVms.find(status->vm);
        return avoided != this->avoidedVms.end() && now < avoided->second;
    });
    if (usable.empty())
        return nullptr;
    return usable[std::uniform_int_distribution<std::size_t>(0, usable.size() - 1)(this->random)];
}

std::vector<VmId> Placement::vmsOfRegion() const
{
    std::vector<VmId> found;
    for (const auto& [id, status] : this->vms.getAll()) {
        if (status.region == this->region)
            found.push_back(id);
    }
    if (std::find(found.begin(), found.end(), this->vm) == found.end())
        found.push_back(this->vm);
    return found;
}

void Placement::noteUse(Milliseconds now, const UpstreamId& upstream)
{
    const KnownUpstream* found = this->table.find(upstream);
    if (found && found->isCold(now))
        this->coldLimit.noteUse(now, upstream);
}

} // namespace papayashelf
