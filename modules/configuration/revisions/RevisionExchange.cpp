#include "configuration/revisions/RevisionExchange.h"

#include "configuration/storage/RevisionChange.h"

#include <algorithm>
#include <utility>

namespace papayashelf {

namespace {

/** A sender that claims more parts than this is not believed. */
constexpr std::uint32_t mostParts = 4096;

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
    const auto& newest = this->history.getNewest();
    if (newest && announcement.number == newest->number && announcement.digest != newest->digest) {
        const ConfigurationEventKind kind = ConfigurationEventKind::ConflictingDigest;
        output.events.push_back({ kind, announcement.number, from, "announced " + announcement.digest });
        return;
    }
    this->noteHolder(now, announcement.number, from, output);
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
    const bool isExpected = this->pull && this->pull->from == from && part.delta.to > this->history.getNumber();
    if (!isExpected || part.parts == 0 || part.parts > mostParts || part.part >= part.parts)
        return std::nullopt;
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
    const RevisionAnnouncement announcement { candidate.revision->number, candidate.revision->digest };
    for (const VmId& vm : this->neighbours) {
        if (vm != candidate.from)
            output.sends.push_back({ vm, announcement });
    }
    this->pullIfBehind(now, output);
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
