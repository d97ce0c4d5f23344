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
    if (this->watcher == isWatcher)
        return;
    this->watcher = isWatcher;
    this->seenVersion = 0;
    this->parts.clear();
    this->waitFor(now);
}

void ManifestReader::tick(Milliseconds now, ConfigurationOutput& output)
{
    if (!this->watcher || now < this->deadline)
        return;
    if (this->step == Step::Waiting) {
        this->startWatch(now, output);
        return;
    }
    this->fail(now, "no answer in time", output);
}

std::optional<RevisionCandidate> ManifestReader::handleReply(Milliseconds now, std::uint64_t call,
    const StoreReply& reply, const std::shared_ptr<const Revision>& inForce, ConfigurationOutput& output)
{
    const bool isWatch = this->watchCall == call;
    const auto part = this->partCalls.find(call);
    if (!isWatch && part == this->partCalls.end())
        return std::nullopt;
    if (!reply || reply.value().empty()) {
        this->fail(now, reply ? "an empty answer" : reply.error().detail, output);
        return std::nullopt;
    }
    if (this->backoff.succeed())
        output.events.push_back({ ConfigurationEventKind::StoreAvailable, 0, {}, {} });
    const StoreEntry& entry = reply.value().front();
    if (isWatch)
        return this->takeManifest(now, entry, inForce, output);
    const std::string key = part->second;
    this->partCalls.erase(part);
    return this->takePart(now, key, entry, output);
}

void ManifestReader::startWatch(Milliseconds now, ConfigurationOutput& output)
{
    this->step = Step::Watching;
    this->watchStarted = now;
    this->deadline = now + this->settings.watchWait + this->settings.storeTimeout;
    this->watchCall = ++this->lastCall;
    output.storeCalls.push_back({ this->lastCall,
        { StoreOperation::Watch, std::string(manifestKey), {}, this->seenVersion, this->settings.watchWait } });
}

void ManifestReader::fail(Milliseconds now, const std::string& detail, ConfigurationOutput& output)
{
    if (!this->backoff.isFailing())
        output.events.push_back({ ConfigurationEventKind::StoreUnavailable, 0, {}, detail });
    this->seenVersion = 0; // The next watch then answers at once with what there is.
    this->waitFor(now + this->backoff.fail(this->random));
}

void ManifestReader::waitFor(Milliseconds until)
{
    this->step = Step::Waiting;
    this->deadline = until;
    this->watchCall.reset();
    this->partCalls.clear();
}

std::optional<RevisionCandidate> ManifestReader::takeManifest(Milliseconds now, const StoreEntry& entry,
    const std::shared_ptr<const Revision>& inForce, ConfigurationOutput& output)
{
    const bool isMissing = entry.version == 0;
    const bool isUnchanged = entry.version == this->seenVersion && !(isMissing && inForce);
    this->waitFor(std::max(now, this->watchStarted + this->settings.minimumWatchInterval));
    if (isUnchanged)
        return std::nullopt;
    this->seenVersion = entry.version;
    Outcome<Manifest> decoded = isMissing ? Outcome<Manifest>(Manifest {}) : decodeManifest(entry.value);
    if (!decoded) {
        if (this->reported.insert(entry.value).second)
            output.events.push_back({ ConfigurationEventKind::StoredValueSetAside, 0, {}, decoded.error().detail });
        return std::nullopt;
    }
    if (inForce && decoded.value().number <= inForce->number) {
        this->reportNotNewer(decoded.value(), *inForce, output);
        this->deadline = now + this->settings.staleInterval;
        return std::nullopt;
    }
    if (isMissing)
        return std::nullopt;
    this->reported.clear();
    this->manifest = std::move(decoded.value());
    return this->startReading(now, inForce, output);
}

void ManifestReader::reportNotNewer(const Manifest& stored, const Revision& inForce, ConfigurationOutput& output)
{
    const bool isOlder = stored.number < inForce.number;
    if (!isOlder && stored.digest == inForce.digest)
        return;
    const std::string what = std::to_string(stored.number) + " " + stored.digest;
    if (!this->reported.insert(what).second)
        return;
    const auto kind = isOlder ? ConfigurationEventKind::StoreOlder : ConfigurationEventKind::ConflictingDigest;
    output.events.push_back({ kind, stored.number, {}, "in force: " + std::to_string(inForce.number) });
}

std::optional<RevisionCandidate> ManifestReader::startReading(
    Milliseconds now, const std::shared_ptr<const Revision>& inForce, ConfigurationOutput& output)
{
    this->step = Step::Reading;
    this->unread.clear();
    for (const ManifestPart& part : this->manifest.parts)
        this->unread.insert(part.key);
    if (inForce) {
        Outcome<StoredRevision> held = encodeRevision(*inForce);
        for (StoredPart& part : held ? held.value().parts : std::vector<StoredPart> {})
            this->parts[part.key] = std::move(part.value);
    }
    std::erase_if(this->parts, [&](const auto& part) { return this->unread.count(part.first) == 0; });
    for (const auto& [key, value] : this->parts)
        this->unread.erase(key);
    this->readMore(now, output);
    return this->partCalls.empty() ? this->assemble(now, output) : std::nullopt;
}

void ManifestReader::readMore(Milliseconds now, ConfigurationOutput& output)
{
    this->deadline = now + this->settings.storeTimeout;
    while (!this->unread.empty() && this->partCalls.size() < this->settings.readsAtOnce) {
        const std::string key = *this->unread.begin();
        this->unread.erase(this->unread.begin());
        this->partCalls[++this->lastCall] = key;
        output.storeCalls.push_back({ this->lastCall, { StoreOperation::Get, key, {}, 0, {} } });
    }
}

std::optional<RevisionCandidate> ManifestReader::takePart(
    Milliseconds now, const std::string& key, const StoreEntry& entry, ConfigurationOutput& output)
{
    if (entry.version == 0) {
        this->fail(now, key + " is not in the store", output);
        return std::nullopt;
    }
    this->parts[key] = entry.value;
    this->readMore(now, output);
    return this->partCalls.empty() ? this->assemble(now, output) : std::nullopt;
}

std::optional<RevisionCandidate> ManifestReader::assemble(Milliseconds now, ConfigurationOutput& output)
{
    Outcome<Revision> revision = assembleRevision(this->manifest, this->parts);
    this->parts.clear();
    if (!revision) {
        output.events.push_back(
            { ConfigurationEventKind::StoredValueSetAside, this->manifest.number, {}, revision.error().detail });
        this->fail(now, revision.error().detail, output);
        return std::nullopt;
    }
    this->waitFor(std::max(now, this->watchStarted + this->settings.minimumWatchInterval));
    return RevisionCandidate { std::make_shared<const Revision>(std::move(revision.value())), AdoptionSource::Store,
        {} };
}

} // namespace papayashelf
