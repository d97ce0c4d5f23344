#pragma once

#include "foundation/time/Clock.h"
#include "gateway/model/StorePosition.h"
#include <optional>

namespace papayashelf {

/** A configuration that a VM has in force. */
struct ConfigurationNotice {
    std::uint64_t version = 0; /**< 0 if none is in force. */
    StorePosition storedAt; /**< Where the store last held it, as far as the VM knows. */

    bool operator==(const ConfigurationNotice&) const = default;
};

/**
    Decides whether a read of the store proves that the configuration in force is current.

    A store that came back from an older copy may lack configurations that it has acknowledged. Until they are written
    again, its reads say nothing about keys that those configurations withdrew.

    Thread safety: none; owned by one thread.
*/
class StoredConfiguration {
public:
    /** Longest time in which operators and upstreams write again what a restored store lacks. */
    static constexpr Milliseconds rewriteTime { 2'300 };

    /** Records that the store came back from an older copy, and where it was when this VM first read the copy. */
    void noteRestoration(Milliseconds now, StorePosition position)
    {
        this->restoration = { now, position };
        this->wasWrittenAgain = false;
    }

    /** Records the version that the store holds, with the position of its write; version 0 if the copy lacks it. */
    void noteStored(ConfigurationNotice latest)
    {
        // A copy holds a version under the revision that it had before.
        this->wasWrittenAgain = this->stored && latest.version == this->stored->version
            && latest.storedAt.era > this->stored->storedAt.era
            && latest.storedAt.revision != this->stored->storedAt.revision;
        this->stored = latest;
    }

    /** Returns true if a read sent at the given time would have returned every version that the store acknowledged. */
    bool isProvenBy(Milliseconds readSentAt, std::uint64_t versionInForce) const
    {
        if (this->stored && this->stored->version < versionInForce)
            return false;
        if (!this->restoration || readSentAt >= this->restoration->at + rewriteTime)
            return true;
        // Operators write the newest configuration whole, so that one write brings back all that was lost.
        return this->wasWrittenAgain || (this->stored && this->stored->storedAt > this->restoration->position);
    }

private:
    struct Restoration {
        Milliseconds at;
        StorePosition position;
    };

    std::optional<ConfigurationNotice> stored;
    std::optional<Restoration> restoration;
    bool wasWrittenAgain = false; /**< Whether the version held was written in the era of the copy. */
};

} // namespace papayashelf
