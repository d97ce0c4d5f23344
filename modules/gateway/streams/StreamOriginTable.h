#pragma once

#include "gateway/streams/StreamOrigin.h"
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>

namespace papayashelf {

/**
    Remembers what began each stream for as long as its caller may take it up.

    Thread safety: none; owned by one thread.
*/
class StreamOriginTable {
public:
    /** Longer than callers wait for a whole stream, with all their attempts. */
    static constexpr Milliseconds longestLifetime { 60'000 };

    /** Bounds the memory; beyond it, the origin that would expire first is forgotten. */
    static constexpr std::size_t maximumOrigins = 20'000;

    /** Longer request ids are not remembered. */
    static constexpr std::size_t maximumIdBytes = 128;

    /** Stores the origin of a stream. Origins that contradict each other make it uncertain. */
    void put(Milliseconds now, const StreamOriginNotice& notice);

    /** Returns the notice of a stream with its remaining lifetime, or nothing if its origin is not known. */
    std::optional<StreamOriginNotice> find(Milliseconds now, const std::string& request) const;

    /** Forgets the origins whose lifetime has passed. Call a few times a second. */
    void expire(Milliseconds now);

    /** Returns the number of remembered origins. */
    std::size_t count() const { return this->origins.size(); }

private:
    struct Entry {
        StreamOrigin origin;
        Milliseconds until;
    };

    std::unordered_map<std::string, Entry> origins; /**< By request id. */
    std::set<std::pair<Milliseconds, std::string>> byEnd;
};

} // namespace papayashelf
