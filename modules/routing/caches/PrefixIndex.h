#pragma once

#include "foundation/identity/Identifier.h"
#include <cstdint>
#include <deque>
#include <unordered_map>
#include <vector>

namespace papayashelf {

/**
    Remembers which upstreams probably hold which prompt prefixes.

    Only hints: cache events come late and with gaps, and a wrong one costs a recomputed prefix, never an answer.
    Of bounded size; the oldest entries are forgotten first.

    Thread safety: none; owned by one thread.
*/
class PrefixIndex {
public:
    /** @param capacity  most prefixes remembered; at least 1 */
    explicit PrefixIndex(std::size_t capacity);

    void add(const UpstreamId& upstream, const std::vector<std::uint64_t>& prefixes);
    void remove(const UpstreamId& upstream, const std::vector<std::uint64_t>& prefixes);

    /** How many leading prefixes of a prompt the upstream holds, by its longest one that is known. */
    std::size_t matchLength(const UpstreamId& upstream, const std::vector<std::uint64_t>& prefixes) const;

    std::size_t size() const { return this->holders.size(); }

private:
    static constexpr std::size_t holdersPerPrefix = 4;

    std::size_t capacity;
    std::unordered_map<std::uint64_t, std::vector<UpstreamId>> holders;
    std::deque<std::uint64_t> order;
};

} // namespace papayashelf
