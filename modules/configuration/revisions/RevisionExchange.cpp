#include "configuration/revisions/RevisionExchange.h"

#include "configuration/storage/RevisionChange.h"

#include <algorithm>
#include <utility>

namespace papayashelf {

namespace {

/** Parts that claim a larger part count are ignored. */
constexpr std::uint32_t maximumPartCount = 4096;

std::size_t sizeOf(const RevisionDelta& delta)
{
    std::size_t bytes = 0;
    for (const Document& document : delta.changed)
        bytes += document.path.size() + document.body.size();
    for (const std::string& path : delta.removed)
        bytes += path.size();
    return bytes;
}

} // namespace

RevisionExchange::RevisionExchange(const ConfigurationSettings& settings, std::uint64_t seed)
    : settings(settings)
    , random(seed)
    , history(settings.maximumKeptDeltas)
{
}

void RevisionExchange::handleAnnouncement(
    Milliseconds now, const RevisionAnnouncement& announcement, const VmId& from, ConfigurationOutput& output)
{
    this->reportIfConflicting(announcement.number, announcement.digest, from, output);
    this->recordHolder(now, announcement.number, from, output);
}

void RevisionExchange::reportIfConflicting(
    RevisionNumber number, const std::string& digest, const VmId& from, ConfigurationOutput& output) const
{
    const auto& newest = this->history.getNewest();
    if (newest && number == newest->number && digest != newest->digest)
        output.events.push_back(
            { ConfigurationEventKind::ConflictingDigest, number, from, "the peer announced digest " + digest });
}

void RevisionExchange::recordHolder(
    Milliseconds now, RevisionNumber number, const VmId& from, ConfigurationOutput& output)
{
    if (number <= std::max(this->history.getNumber(), this->highestRefused))
        return;
    this->holders[from] = number;
    this->pullIfBehind(now, output);
}

void RevisionExchange::handlePull(const RevisionPull& pull, const VmId& from, ConfigurationOutput& output) const
{
    for (RevisionPart& part : this->history.makePartsSince(pull.held, this->settings.maximumPartBytes))
        output.sends.push_back({ from, std::move(part) });
}

std::optional<RevisionCandidate> RevisionExchange::handlePart(
    Milliseconds now, const RevisionPart& part, const VmId& from, ConfigurationOutput& output)
{
    this->reportIfConflicting(part.delta.to, part.delta.digest, from, output);
    const bool isNewer = part.delta.to > std::max(this->history.getNumber(), this->highestRefused);
    if (!isNewer || part.parts == 0 || part.parts > maximumPartCount || part.part >= part.parts)
        return std::nullopt;
    if (!this->pull || this->pull->from != from)
        return this->handlePushedDelta(now, part, from, output);
    Pull& pull = *this->pull;
    if (pull.to != part.delta.to)
        pull.received.clear(); // The sender now answers with a different revision, so the earlier parts are useless.
    pull.to = part.delta.to;
    pull.deadline = now + this->settings.pullTimeout;
    pull.received[part.part] = part.delta;
    if (pull.received.size() < part.parts)
        return std::nullopt;
    return this->completePull(now, output);
}

std::optional<RevisionCandidate> RevisionExchange::handlePushedDelta(
    Milliseconds now, const RevisionPart& part, const VmId& from, ConfigurationOutput& output)
{
    const auto& newest = this->history.getNewest();
    const bool isApplicable = newest && part.parts == 1 && part.delta.from == newest->number;
    if (isApplicable) {
        Outcome<Revision> revision = applyDelta(*newest, part.delta);
        if (revision)
            return RevisionCandidate { std::make_shared<const Revision>(std::move(revision.value())),
                AdoptionSource::Peer, from };
        output.events.push_back(
            { ConfigurationEventKind::DamagedTransfer, part.delta.to, from, revision.error().detail });
    }
    this->recordHolder(now, part.delta.to, from, output);
    return std::nullopt;
}

std::optional<RevisionCandidate> RevisionExchange::completePull(Milliseconds now, ConfigurationOutput& output)
{
    const VmId from = this->pull->from;
    RevisionDelta merged;
    for (auto& [index, delta] : this->pull->received) {
        merged.from = delta.from;
        merged.to = delta.to;
        merged.digest = delta.digest;
        std::move(delta.changed.begin(), delta.changed.end(), std::back_inserter(merged.changed));
        std::move(delta.removed.begin(), delta.removed.end(), std::back_inserter(merged.removed));
    }
    const auto& newest = this->history.getNewest();
    Outcome<Revision> revision = applyDelta(newest ? *newest : Revision {}, merged);
    if (revision) {
        this->dropPull(false);
        return RevisionCandidate { std::make_shared<const Revision>(std::move(revision.value())), AdoptionSource::Peer,
            from };
    }
    output.events.push_back({ ConfigurationEventKind::DamagedTransfer, merged.to, from, revision.error().detail });
    this->dropPull(true);
    this->pullIfBehind(now, output);
    return std::nullopt;
}

void RevisionExchange::tick(Milliseconds now, ConfigurationOutput& output)
{
    if (!this->pull || now < this->pull->deadline)
        return;
    this->dropPull(false);
    this->pullIfBehind(now, output);
}

void RevisionExchange::adopt(Milliseconds now, const RevisionCandidate& candidate, ConfigurationOutput& output)
{
    this->history.add(candidate.revision);
    this->needsFullRevision = false;
    if (this->pull && this->pull->to <= candidate.revision->number)
        this->pull.reset();
    std::erase_if(this->holders, [&](const auto& holder) { return holder.second <= candidate.revision->number; });
    const ConfigurationMessage message = this->makeUpdateMessage();
    for (const VmId& vm : this->neighbours) {
        if (vm != candidate.from)
            output.sends.push_back({ vm, message });
    }
    this->pullIfBehind(now, output);
}

/**
    Pushes a small delta instead of announcing it, which saves the round trip of a pull. Losing the message is
    tolerable, as other neighbours send the change too.
*/
ConfigurationMessage RevisionExchange::makeUpdateMessage() const
{
    const Revision& newest = *this->history.getNewest();
    const RevisionDelta* delta = this->history.getLastDelta();
    if (!delta || sizeOf(*delta) > this->settings.maximumPushedDeltaBytes)
        return RevisionAnnouncement { newest.number, newest.digest };
    return RevisionPart { *delta, 0, 1 };
}

void RevisionExchange::refuse(Milliseconds now, RevisionNumber number, ConfigurationOutput& output)
{
    this->highestRefused = std::max(this->highestRefused, number);
    std::erase_if(this->holders, [&](const auto& holder) { return holder.second <= this->highestRefused; });
    this->pullIfBehind(now, output);
}

Milliseconds RevisionExchange::getNextDeadline() const
{
    return this->pull ? this->pull->deadline : Milliseconds::never();
}

void RevisionExchange::pullIfBehind(Milliseconds now, ConfigurationOutput& output)
{
    if (this->pull)
        return;
    const std::optional<VmId> holder = this->chooseHolder();
    if (!holder)
        return;
    this->pull = Pull { *holder, now + this->settings.pullTimeout, 0, {} };
    output.sends.push_back({ *holder, RevisionPull { this->needsFullRevision ? 0 : this->history.getNumber() } });
}

/** Chooses a random holder of the newest revision, which spreads the pulls over the holders. */
std::optional<VmId> RevisionExchange::chooseHolder()
{
    RevisionNumber newest = 0;
    std::vector<VmId> best;
    for (const auto& [vm, number] : this->holders) {
        if (number > newest)
            best.clear();
        newest = std::max(newest, number);
        if (number == newest)
            best.push_back(vm);
    }
    if (best.empty())
        return std::nullopt;
    return best[std::uniform_int_distribution<std::size_t>(0, best.size() - 1)(this->random)];
}

/** Ends the pull and removes its holder. A later heartbeat adds the holder again if its revision is still newer. */
void RevisionExchange::dropPull(bool wasDamaged)
{
    this->holders.erase(this->pull->from);
    this->pull.reset();
    this->needsFullRevision = this->needsFullRevision || wasDamaged;
}

} // namespace papayashelf
