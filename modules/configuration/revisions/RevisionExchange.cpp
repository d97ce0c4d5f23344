#include "configuration/revisions/RevisionExchange.h"

#include "configuration/storage/RevisionChange.h"

#include <algorithm>
#include <utility>

namespace papayashelf {

namespace {

/** A sender that claims more parts than this is not believed. */
constexpr std::uint32_t mostParts = 4096;

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
    , history(settings.keptDeltas)
{
}

void RevisionExchange::handleAnnouncement(
    Milliseconds now, const RevisionAnnouncement& announcement, const VmId& from, ConfigurationOutput& output)
{
    this->reportIfConflicting(announcement.number, announcement.digest, from, output);
    this->noteHolder(now, announcement.number, from, output);
}

void RevisionExchange::reportIfConflicting(
    RevisionNumber number, const std::string& digest, const VmId& from, ConfigurationOutput& output) const
{
    const auto& newest = this->history.getNewest();
    if (newest && number == newest->number && digest != newest->digest)
        output.events.push_back({ ConfigurationEventKind::ConflictingDigest, number, from, "announced " + digest });
}

void RevisionExchange::noteHolder(
    Milliseconds now, RevisionNumber number, const VmId& from, ConfigurationOutput& output)
{
    if (number <= std::max(this->history.getNumber(), this->refused))
        return;
    this->holders[from] = number;
    this->pullIfBehind(now, output);
}

void RevisionExchange::handlePull(const RevisionPull& pull, const VmId& from, ConfigurationOutput& output) const
{
    for (RevisionPart& part : this->history.answer(pull.held, this->settings.partBytes))
        output.sends.push_back({ from, std::move(part) });
}

std::optional<RevisionCandidate> RevisionExchange::handlePart(
    Milliseconds now, const RevisionPart& part, const VmId& from, ConfigurationOutput& output)
{
    this->reportIfConflicting(part.delta.to, part.delta.digest, from, output);
    const bool isNewer = part.delta.to > std::max(this->history.getNumber(), this->refused);
    if (!isNewer || part.parts == 0 || part.parts > mostParts || part.part >= part.parts)
        return std::nullopt;
    if (!this->pull || this->pull->from != from)
        return this->takePush(now, part, from, output);
    Pull& pull = *this->pull;
    if (pull.to != part.delta.to)
        pull.received.clear(); // The sender went on to a later revision.
    pull.to = part.delta.to;
    pull.deadline = now + this->settings.pullTimeout;
    pull.received[part.part] = part.delta;
    if (pull.received.size() < part.parts)
        return std::nullopt;
    return this->complete(now, output);
}

std::optional<RevisionCandidate> RevisionExchange::takePush(
    Milliseconds now, const RevisionPart& part, const VmId& from, ConfigurationOutput& output)
{
    const auto& newest = this->history.getNewest();
    const bool fits = newest && part.parts == 1 && part.delta.from == newest->number;
    if (fits) {
        Outcome<Revision> revision = applyDelta(*newest, part.delta);
        if (revision)
            return RevisionCandidate { std::make_shared<const Revision>(std::move(revision.value())),
                AdoptionSource::Peer, from };
        output.events.push_back(
            { ConfigurationEventKind::DamagedTransfer, part.delta.to, from, revision.error().detail });
    }
    this->noteHolder(now, part.delta.to, from, output);
    return std::nullopt;
}

std::optional<RevisionCandidate> RevisionExchange::complete(Milliseconds now, ConfigurationOutput& output)
{
    const VmId from = this->pull->from;
    RevisionDelta whole;
    for (auto& [index, delta] : this->pull->received) {
        whole.from = delta.from;
        whole.to = delta.to;
        whole.digest = delta.digest;
        std::move(delta.changed.begin(), delta.changed.end(), std::back_inserter(whole.changed));
        std::move(delta.removed.begin(), delta.removed.end(), std::back_inserter(whole.removed));
    }
    const auto& newest = this->history.getNewest();
    Outcome<Revision> revision = applyDelta(newest ? *newest : Revision {}, whole);
    if (revision) {
        this->dropPull(false);
        return RevisionCandidate { std::make_shared<const Revision>(std::move(revision.value())), AdoptionSource::Peer,
            from };
    }
    output.events.push_back({ ConfigurationEventKind::DamagedTransfer, whole.to, from, revision.error().detail });
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
    this->needsWhole = false;
    if (this->pull && this->pull->to <= candidate.revision->number)
        this->pull.reset();
    std::erase_if(this->holders, [&](const auto& holder) { return holder.second <= candidate.revision->number; });
    const ConfigurationMessage news = this->makeNews();
    for (const VmId& vm : this->neighbours) {
        if (vm != candidate.from)
            output.sends.push_back({ vm, news });
    }
    this->pullIfBehind(now, output);
}

/** A small change goes out at once: it saves the round trip of a pull, and a lost message is one of many. */
ConfigurationMessage RevisionExchange::makeNews() const
{
    const Revision& newest = *this->history.getNewest();
    const RevisionDelta* delta = this->history.getLastDelta();
    if (!delta || sizeOf(*delta) > this->settings.pushedBytes)
        return RevisionAnnouncement { newest.number, newest.digest };
    return RevisionPart { *delta, 0, 1 };
}

void RevisionExchange::refuse(Milliseconds now, RevisionNumber number, ConfigurationOutput& output)
{
    this->refused = std::max(this->refused, number);
    std::erase_if(this->holders, [&](const auto& holder) { return holder.second <= this->refused; });
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
    output.sends.push_back({ *holder, RevisionPull { this->needsWhole ? 0 : this->history.getNumber() } });
}

/** Any of those that hold the newest, so that not everybody asks the same one. */
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

/** The holder failed or has answered; its next heartbeat makes it a holder again if it is still ahead. */
void RevisionExchange::dropPull(bool wasDamaged)
{
    this->holders.erase(this->pull->from);
    this->pull.reset();
    this->needsWhole = this->needsWhole || wasDamaged;
}

} // namespace papayashelf
