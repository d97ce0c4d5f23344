#include "routing/policies/UpstreamPolicies.h"

#include "foundation/hashing/StableHash.h"
#include <algorithm>
#include <cassert>
#include <optional>

namespace papayashelf {

namespace {

std::size_t drawIndex(std::size_t count, std::mt19937_64& generator)
{
    return std::uniform_int_distribution<std::size_t>(0, count - 1)(generator);
}

double meanLoad(std::span<const PolicyCandidate> candidates)
{
    double sum = 0;
    for (const PolicyCandidate& candidate : candidates)
        sum += candidate.load;
    return sum / static_cast<double>(candidates.size());
}

std::optional<std::size_t> findLongestMatch(std::span<const PolicyCandidate> candidates, double bound)
{
    std::optional<std::size_t> best;
    for (std::size_t index = 0; index < candidates.size(); ++index) {
        const PolicyCandidate& candidate = candidates[index];
        if (candidate.matchedPrefixes == 0 || candidate.load > bound)
            continue;
        if (!best || candidate.matchedPrefixes > candidates[*best].matchedPrefixes
            || (candidate.matchedPrefixes == candidates[*best].matchedPrefixes
                && candidate.load < candidates[*best].load))
            best = index;
    }
    return best;
}

std::optional<std::size_t> findByPrefixHash(
    std::span<const PolicyCandidate> candidates, std::uint64_t prefix, double bound)
{
    constexpr std::size_t hashedUpstreamsPerPrefix = 2;
    std::vector<std::uint64_t> hashes;
    for (const PolicyCandidate& candidate : candidates)
        hashes.push_back(candidate.hash);
    for (const std::size_t index : rendezvousOrder(prefix, hashes, hashedUpstreamsPerPrefix)) {
        if (candidates[index].load <= bound)
            return index;
    }
    return std::nullopt;
}

} // namespace

std::size_t RandomPolicy::pick(
    std::span<const PolicyCandidate> candidates, const PolicyRequest& /*request*/, std::mt19937_64& generator)
{
    return drawIndex(candidates.size(), generator);
}

std::size_t RoundRobinPolicy::pick(
    std::span<const PolicyCandidate> candidates, const PolicyRequest& /*request*/, std::mt19937_64& /*generator*/)
{
    return this->pickCount++ % candidates.size();
}

std::size_t LeastLoadPolicy::pick(
    std::span<const PolicyCandidate> candidates, const PolicyRequest& /*request*/, std::mt19937_64& /*generator*/)
{
    const auto least = std::min_element(candidates.begin(), candidates.end(),
        [](const PolicyCandidate& left, const PolicyCandidate& right) { return left.load < right.load; });
    return static_cast<std::size_t>(least - candidates.begin());
}

std::size_t TwoChoicesPolicy::pick(
    std::span<const PolicyCandidate> candidates, const PolicyRequest& /*request*/, std::mt19937_64& generator)
{
    if (candidates.size() == 1)
        return 0;
    const std::size_t first = drawIndex(candidates.size(), generator);
    const std::size_t step = 1 + drawIndex(candidates.size() - 1, generator);
    const std::size_t second = (first + step) % candidates.size();
    return candidates[second].load < candidates[first].load ? second : first;
}

std::size_t AffinityPolicy::pick(
    std::span<const PolicyCandidate> candidates, const PolicyRequest& request, std::mt19937_64& generator)
{
    if (request.firstPrefix == 0)
        return this->fallback.pick(candidates, request, generator);
    // On a lightly loaded service the mean load is near 0, and a bound based on it alone would reject every second
    // request for affinity.
    constexpr double alwaysAllowedLoad = 0.5;
    const double bound = std::max(alwaysAllowedLoad, meanLoad(candidates) * this->loadBound);
    if (const auto match = findLongestMatch(candidates, bound))
        return *match;
    if (const auto hashed = findByPrefixHash(candidates, request.firstPrefix, bound))
        return *hashed;
    return this->fallback.pick(candidates, request, generator);
}

UpstreamPicker::UpstreamPicker(const RoutingSettings& settings)
    : policy(AffinityPolicy(settings.affinityLoadBound))
{
    switch (settings.upstreamPolicy) {
    case UpstreamPolicy::AffinityAndTwoChoices:
        break;
    case UpstreamPolicy::TwoChoices:
        this->policy = TwoChoicesPolicy();
        break;
    case UpstreamPolicy::LeastLoad:
        this->policy = LeastLoadPolicy();
        break;
    case UpstreamPolicy::RoundRobin:
        this->policy = RoundRobinPolicy();
        break;
    case UpstreamPolicy::Random:
        this->policy = RandomPolicy();
        break;
    }
}

std::size_t UpstreamPicker::pick(
    std::span<const PolicyCandidate> candidates, const PolicyRequest& request, std::mt19937_64& generator)
{
    assert(!candidates.empty());
    return std::visit([&](auto& chosen) { return chosen.pick(candidates, request, generator); }, this->policy);
}

} // namespace papayashelf
