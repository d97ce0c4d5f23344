#pragma once

#include <algorithm>
#include <cstdint>
#include <string_view>
#include <vector>

namespace papayashelf {

/** A 64-bit hash that every process of every version computes alike. Not for secrets. */
constexpr std::uint64_t stableHash(std::string_view bytes, std::uint64_t seed = 0)
{
    constexpr std::uint64_t offsetBasis = 14695981039346656037ULL;
    constexpr std::uint64_t prime = 1099511628211ULL;
    std::uint64_t hash = offsetBasis ^ (seed * 0x9E3779B97F4A7C15ULL);
    for (const char byte : bytes)
        hash = (hash ^ static_cast<std::uint8_t>(byte)) * prime;
    hash = (hash ^ (hash >> 30)) * 0xBF58476D1CE4E5B9ULL;
    hash = (hash ^ (hash >> 27)) * 0x94D049BB133111EBULL;
    return hash ^ (hash >> 31);
}

/** Mixes two hashes into one; the order matters. */
constexpr std::uint64_t combineHashes(std::uint64_t left, std::uint64_t right)
{
    std::uint64_t hash = (left ^ (right + 0x9E3779B97F4A7C15ULL + (left << 6) + (left >> 2))) * 0xBF58476D1CE4E5B9ULL;
    return hash ^ (hash >> 29);
}

/**
    Orders candidates for a key by rendezvous hashing: every process computes the same order, and a candidate
    that comes or goes changes only the places it takes or leaves.

    @param key         hash of the thing to place
    @param candidates  hashes of the candidates, without repeats
    @param count       how many of the best to return
    @returns the indices of at most count candidates, best first
*/
inline std::vector<std::size_t> rendezvousOrder(
    std::uint64_t key, const std::vector<std::uint64_t>& candidates, std::size_t count)
{
    std::vector<std::pair<std::uint64_t, std::size_t>> scores;
    scores.reserve(candidates.size());
    for (std::size_t index = 0; index < candidates.size(); ++index)
        scores.emplace_back(combineHashes(key, candidates[index]), index);
    const std::size_t kept = std::min(count, scores.size());
    std::partial_sort(scores.begin(), scores.begin() + static_cast<std::ptrdiff_t>(kept), scores.end(),
        [](const auto& left, const auto& right) { return left > right; });
    std::vector<std::size_t> order;
    order.reserve(kept);
    for (std::size_t place = 0; place < kept; ++place)
        order.push_back(scores[place].second);
    return order;
}

} // namespace papayashelf
