#pragma once

#include "configuration/ConfigurationSettings.h"
#include "configuration/output/ConfigurationOutput.h"
#include "configuration/revisions/RevisionExchange.h"
#include "configuration/storage/StoredRevision.h"
#include "configuration/store/StoreBackoff.h"
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>

namespace papayashelf {

/**
    Watches the manifest in the store and reads the parts that changed, on VMs that are store watchers.

    Each store call has a deadline, so that a missing reply causes only a bounded delay. Thread safety: none; owned by
    one thread.
*/
class ManifestReader {
public:
    ManifestReader(const ConfigurationSettings& settings, std::uint64_t seed);

    /** Starts or stops watching. Replies to earlier calls are ignored afterwards. */
    void setWatcher(Milliseconds now, bool isWatcher);

    /** Returns whether this VM watches the store. */
    bool isWatcher() const { return this->isEnabled; }

    /** Starts the next watch when it is due, and fails calls that were not answered in time. */
    void tick(Milliseconds now, ConfigurationOutput& output);

    /**
        Handles the reply to a store call. Replies to unknown calls are ignored.

        @param inForce  the revision in force, or null
        @returns a candidate when the reply completes one
    */
    std::optional<RevisionCandidate> handleReply(Milliseconds now, std::uint64_t call, const StoreReply& reply,
        const std::shared_ptr<const Revision>& inForce, ConfigurationOutput& output);

    /** Returns when tick() must be called next; never() while this VM is no watcher. */
    Milliseconds getNextDeadline() const { return this->isEnabled ? this->deadline : Milliseconds::never(); }

private:
    enum class Step {
        Waiting, /**< No call is pending; a watch starts at the deadline. */
        Watching, /**< A watch is pending. */
        Reading, /**< Reads of parts are pending. */
    };

    void startWatch(Milliseconds now, ConfigurationOutput& output);
    void recordFailure(Milliseconds now, const std::string& detail, ConfigurationOutput& output);
    void waitUntil(Milliseconds until);
    std::optional<RevisionCandidate> handleManifest(Milliseconds now, const StoreEntry& entry,
        const std::shared_ptr<const Revision>& inForce, ConfigurationOutput& output);
    void reportOlderOrConflicting(const Manifest& manifest, const Revision& inForce, ConfigurationOutput& output);
    std::optional<RevisionCandidate> startReadingParts(
        Milliseconds now, const std::shared_ptr<const Revision>& inForce, ConfigurationOutput& output);
    void requestMoreParts(Milliseconds now, ConfigurationOutput& output);
    std::optional<RevisionCandidate> handlePartValue(
        Milliseconds now, const std::string& key, const StoreEntry& entry, ConfigurationOutput& output);
    std::optional<RevisionCandidate> assemble(Milliseconds now, ConfigurationOutput& output);

    ConfigurationSettings settings;
    std::mt19937_64 random;
    StoreBackoff backoff;
    bool isEnabled = false;
    Step step = Step::Waiting;
    Milliseconds deadline;
    Milliseconds watchStarted;
    StoreVersion lastSeenVersion = 0;
    std::uint64_t lastCall = 0;
    std::optional<std::uint64_t> watchCall;
    std::map<std::uint64_t, std::string> partKeysByCall; // Keys of the parts being read, by call.
    Manifest manifest;
    std::map<std::string, std::string>
        parts; // Values by key, read from the store or encoded from the revision in force.
    std::set<std::string> unrequestedParts;
    std::set<std::string> reportedValues; // Manifests already reported, so that each is reported once.
};

} // namespace papayashelf
