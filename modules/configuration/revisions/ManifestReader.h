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
    Watches the manifest in the store and reads the parts that changed, at VMs that are store watchers.

    Every call is timed here, so that an answer that never comes costs a bounded time. Thread safety: none; owned by
    one thread.
*/
class ManifestReader {
public:
    ManifestReader(const ConfigurationSettings& settings, std::uint64_t seed);

    /** Starts or stops watching; answers to earlier calls are then ignored. */
    void setWatcher(Milliseconds now, bool isWatcher);

    bool isWatcher() const { return this->watcher; }

    /** Starts the next watch when it is due, and gives up calls that were not answered in time. */
    void tick(Milliseconds now, ConfigurationOutput& output);

    /**
        @param inForce  the revision in force, or null
        @returns a candidate when the reply completes one; replies to unknown calls are ignored
    */
    std::optional<RevisionCandidate> handleReply(Milliseconds now, std::uint64_t call, const StoreReply& reply,
        const std::shared_ptr<const Revision>& inForce, ConfigurationOutput& output);

    Milliseconds getNextDeadline() const { return this->watcher ? this->deadline : Milliseconds::never(); }

private:
    enum class Step {
        Waiting, /**< Until the deadline, then a watch starts. */
        Watching, /**< A watch is with the store. */
        Reading, /**< Parts are being read. */
    };

    void startWatch(Milliseconds now, ConfigurationOutput& output);
    void fail(Milliseconds now, const std::string& detail, ConfigurationOutput& output);
    void waitFor(Milliseconds until);
    std::optional<RevisionCandidate> takeManifest(Milliseconds now, const StoreEntry& entry,
        const std::shared_ptr<const Revision>& inForce, ConfigurationOutput& output);
    void reportNotNewer(const Manifest& manifest, const Revision& inForce, ConfigurationOutput& output);
    std::optional<RevisionCandidate> startReading(
        Milliseconds now, const std::shared_ptr<const Revision>& inForce, ConfigurationOutput& output);
    void readMore(Milliseconds now, ConfigurationOutput& output);
    std::optional<RevisionCandidate> takePart(
        Milliseconds now, const std::string& key, const StoreEntry& entry, ConfigurationOutput& output);
    std::optional<RevisionCandidate> assemble(Milliseconds now, ConfigurationOutput& output);

    ConfigurationSettings settings;
    std::mt19937_64 random;
    StoreBackoff backoff;
    bool watcher = false;
    Step step = Step::Waiting;
    Milliseconds deadline;
    Milliseconds watchStarted;
    StoreVersion seenVersion = 0;
    std::uint64_t lastCall = 0;
    std::optional<std::uint64_t> watchCall;
    std::map<std::uint64_t, std::string> partCalls; // Key by call.
    Manifest manifest;
    std::map<std::string, std::string> parts; // Value by key, read or taken from the revision in force.
    std::set<std::string> unread;
    std::set<std::string> reported; // What was told about the store's present value.
};

} // namespace papayashelf
