#include "configuration/revisions/ManifestReader.h"

#include <algorithm>
#include <utility>

namespace papayashelf {

ManifestReader::ManifestReader(const ConfigurationSettings& settings, std::uint64_t seed)
    : settings(settings)
    , random(seed)
    , backoff(settings)
{
}

void ManifestReader::setWatcher(Milliseconds now, bool isWatcher)
{
    if (this->isEnabled == isWatcher)
        return;
    this->isEnabled = isWatcher;
    this->lastSeenVersion = 0;
    this->parts.clear();
    this->waitUntil(now);
}

void ManifestReader::tick(Milliseconds now, ConfigurationOutput& output)
{
    if (!this->isEnabled || now < this->deadline)
        return;
    if (this->step == Step::Waiting) {
        this->startWatch(now, output);
        return;
    }
    this->recordFailure(now, "the store call timed out", output);
}

std::optional<RevisionCandidate> ManifestReader::handleReply(Milliseconds now, std::uint64_t call,
    const StoreReply& reply, const std::shared_ptr<const Revision>& inForce, ConfigurationOutput& output)
{
    const bool isWatch = this->watchCall == call;
    const auto part = this->partKeysByCall.find(call);
    if (!isWatch && part == this->partKeysByCall.end())
        return std::nullopt;
    if (!reply || reply.value().empty()) {
        this->recordFailure(now, reply ? "the store sent an empty reply" : reply.error().detail, output);
        return std::nullopt;
    }
    if (this->backoff.recordSuccess())
        output.events.push_back({ ConfigurationEventKind::StoreAvailable, 0, {}, {} });
    const StoreEntry& entry = reply.value().front();
    if (isWatch)
        return this->handleManifest(now, entry, inForce, output);
    const std::string key = part->second;
    this->partKeysByCall.erase(part);
    return this->handlePartValue(now, key, entry, output);
}

void ManifestReader::startWatch(Milliseconds now, ConfigurationOutput& output)
{
    this->step = Step::Watching;
    this->watchStarted = now;
    this->deadline = now + this->settings.watchTimeout + this->settings.storeTimeout;
    this->watchCall = ++this->lastCall;
    output.storeCalls.push_back({ this->lastCall,
        { StoreOperation::Watch, std::string(manifestKey), {}, this->lastSeenVersion, this->settings.watchTimeout } });
}

void ManifestReader::recordFailure(Milliseconds now, const std::string& detail, ConfigurationOutput& output)
{
    if (!this->backoff.isFailing())
        output.events.push_back({ ConfigurationEventKind::StoreUnavailable, 0, {}, detail });
    this->lastSeenVersion = 0; // Makes the next watch return the current value at once.
    this->waitUntil(now + this->backoff.recordFailure(this->random));
}

void ManifestReader::waitUntil(Milliseconds until)
{
    this->step = Step::Waiting;
    this->deadline = until;
    this->watchCall.reset();
    this->partKeysByCall.clear();
}

std::optional<RevisionCandidate> ManifestReader::handleManifest(Milliseconds now, const StoreEntry& entry,
    const std::shared_ptr<const Revision>& inForce, ConfigurationOutput& output)
{
    const bool isMissing = entry.version == 0;
    const bool isUnchanged = entry.version == this->lastSeenVersion && !(isMissing && inForce);
    this->waitUntil(std::max(now, this->watchStarted + this->settings.minimumWatchInterval));
    if (isUnchanged)
        return std::nullopt;
    this->lastSeenVersion = entry.version;
    Outcome<Manifest> decoded = isMissing ? Outcome<Manifest>(Manifest {}) : decodeManifest(entry.value);
    if (!decoded) {
        if (this->reportedValues.insert(entry.value).second)
            output.events.push_back({ ConfigurationEventKind::StoredValueRejected, 0, {}, decoded.error().detail });
        return std::nullopt;
    }
    if (inForce && decoded.value().number <= inForce->number) {
        this->reportOlderOrConflicting(decoded.value(), *inForce, output);
        this->deadline = now + this->settings.staleRetryInterval;
        return std::nullopt;
    }
    if (isMissing)
        return std::nullopt;
    this->reportedValues.clear();
    this->manifest = std::move(decoded.value());
    return this->startReadingParts(now, inForce, output);
}

void ManifestReader::reportOlderOrConflicting(
    const Manifest& stored, const Revision& inForce, ConfigurationOutput& output)
{
    const bool isOlder = stored.number < inForce.number;
    if (!isOlder && stored.digest == inForce.digest)
        return;
    const std::string reportedValue = std::to_string(stored.number) + " " + stored.digest;
    if (!this->reportedValues.insert(reportedValue).second)
        return;
    const auto kind = isOlder ? ConfigurationEventKind::StoreOlder : ConfigurationEventKind::ConflictingDigest;
    output.events.push_back({ kind, stored.number, {}, "revision in force: " + std::to_string(inForce.number) });
}

std::optional<RevisionCandidate> ManifestReader::startReadingParts(
    Milliseconds now, const std::shared_ptr<const Revision>& inForce, ConfigurationOutput& output)
{
    this->step = Step::Reading;
    this->unrequestedParts.clear();
    for (const ManifestPart& part : this->manifest.parts)
        this->unrequestedParts.insert(part.key);
    if (inForce) {
        Outcome<StoredRevision> held = encodeRevision(*inForce);
        for (StoredPart& part : held ? held.value().parts : std::vector<StoredPart> {})
            this->parts[part.key] = std::move(part.value);
    }
    std::erase_if(this->parts, [&](const auto& part) { return this->unrequestedParts.count(part.first) == 0; });
    for (const auto& [key, value] : this->parts)
        this->unrequestedParts.erase(key);
    this->requestMoreParts(now, output);
    return this->partKeysByCall.empty() ? this->assemble(now, output) : std::nullopt;
}

void ManifestReader::requestMoreParts(Milliseconds now, ConfigurationOutput& output)
{
    this->deadline = now + this->settings.storeTimeout;
    while (!this->unrequestedParts.empty() && this->partKeysByCall.size() < this->settings.maximumConcurrentReads) {
        const std::string key = *this->unrequestedParts.begin();
        this->unrequestedParts.erase(this->unrequestedParts.begin());
        this->partKeysByCall[++this->lastCall] = key;
        output.storeCalls.push_back({ this->lastCall, { StoreOperation::Get, key, {}, 0, {} } });
    }
}

std::optional<RevisionCandidate> ManifestReader::handlePartValue(
    Milliseconds now, const std::string& key, const StoreEntry& entry, ConfigurationOutput& output)
{
    if (entry.version == 0) {
        this->recordFailure(now, key + " is not in the store", output);
        return std::nullopt;
    }
    this->parts[key] = entry.value;
    this->requestMoreParts(now, output);
    return this->partKeysByCall.empty() ? this->assemble(now, output) : std::nullopt;
}

std::optional<RevisionCandidate> ManifestReader::assemble(Milliseconds now, ConfigurationOutput& output)
{
    Outcome<Revision> revision = assembleRevision(this->manifest, this->parts);
    this->parts.clear();
    if (!revision) {
        output.events.push_back(
            { ConfigurationEventKind::StoredValueRejected, this->manifest.number, {}, revision.error().detail });
        this->recordFailure(now, revision.error().detail, output);
        return std::nullopt;
    }
    this->waitUntil(std::max(now, this->watchStarted + this->settings.minimumWatchInterval));
    return RevisionCandidate { std::make_shared<const Revision>(std::move(revision.value())), AdoptionSource::Store,
        {} };
}

} // namespace papayashelf
