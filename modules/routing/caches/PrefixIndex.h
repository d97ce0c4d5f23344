#pragma once

#include "foundation/identity/Identifier.h"
#include <cstdint>
#include <deque>
#include <unordered_map>
#include <vector>

namespace papayashelf {

/**
    Maps prompt prefixes to the upstreams that probably have them cached.

    Entries are hints, because cache events arrive late and with gaps. A wrong entry makes the upstream recompute the
    prefix, but never fails a request. The size is bounded, and the oldest entries are evicted first.

    Thread safety: none; owned by one thread.
*/
class PrefixIndex {
public:
    /** @param capacity  maximum number of prefixes; at least 1 */
    explicit PrefixIndex(std::size_t capacity);

    /** Records that the upstream probably has these prefixes cached. */
    void add(const UpstreamId& upstream, const std::vector<std::uint64_t>& prefixes);
    /** Records that the upstream no longer has these prefixes cached. */
    void remove(const UpstreamId& upstream, const std::vector<std::uint64_t>& prefixes);

    /** Returns how many leading prefixes of a prompt the upstream probably has cached, by the longest known one. */
    std::size_t matchLength(const UpstreamId& upstream, const std::vector<std::uint64_t>& prefixes) const;

    /** Returns the number of prefixes in the index. */
    std::size_t size() const { return this->holders.size(); }

private:
    static constexpr std::size_t maximumHoldersPerPrefix = 4;

    std::size_t capacity;
    std::unordered_map<std::uint64_t, std::vector<UpstreamId>> holders;
    std::deque<std::uint64_t> insertionOrder;
};

} // namespace papayashelf
