#pragma once

#include "routing/settings/RoutingSettings.h"
#include <concepts>
#include <cstdint>
#include <random>
#include <span>
#include <variant>

namespace papayashelf {

/** What a policy sees of an upstream that may take the request. */
struct PolicyCandidate {
    std::uint64_t hash = 0; /**< Of its id; the same on every VM. */
    double load = 0; /**< Requests there for each slot. */
    std::size_t matchedPrefixes = 0; /**< Leading prefixes of the prompt that it probably holds. */
};

/** What a policy sees of the request. */
struct PolicyRequest {
    std::uint64_t firstPrefix = 0; /**< Hash of the shortest prefix; 0 when there is none. */
};

/** Picks one of the candidates, of which there is at least one, by its index. */
template <typename Policy>
concept UpstreamChoosing = requires(
    Policy policy, std::span<const PolicyCandidate> candidates, const PolicyRequest& request, std::mt19937_64& random)
{
    {
        policy.pick(candidates, request, random)
        } -> std::same_as<std::size_t>;
};

/** Baseline: any of them. */
class RandomChoice {
public:
    std::size_t pick(
        std::span<const PolicyCandidate> candidates, const PolicyRequest& request, std::mt19937_64& random);
};

/** Baseline: each in turn. */
class RoundRobinChoice {
public:
    std::size_t pick(
        std::span<const PolicyCandidate> candidates, const PolicyRequest& request, std::mt19937_64& random);

private:
    std::size_t turn = 0;
};

/** Baseline: the one that looks least loaded. */
class LeastLoadChoice {
public:
    std::size_t pick(
        std::span<const PolicyCandidate> candidates, const PolicyRequest& request, std::mt19937_64& random);
};

/** The less loaded of two random ones: late reports cannot send everyone to the same upstream. */
class TwoRandomChoices {
public:
    std::size_t pick(
        std::span<const PolicyCandidate> candidates, const PolicyRequest& request, std::mt19937_64& random);
};

/**
    The upstream that holds the longest prefix, unless it is loaded beyond a bound; else the one that
    rendezvous hashing gives to the prefix, under the same bound; else the less loaded of two.
*/
class AffinityChoice {
public:
    explicit AffinityChoice(double loadBound)
        : loadBound(loadBound)
    {
    }

    std::size_t pick(
        std::span<const PolicyCandidate> candidates, const PolicyRequest& request, std::mt19937_64& random);

private:
    double loadBound;
    TwoRandomChoices otherwise;
};

static_assert(
    UpstreamChoosing<
        RandomChoice> && UpstreamChoosing<RoundRobinChoice> && UpstreamChoosing<LeastLoadChoice> && UpstreamChoosing<TwoRandomChoices> && UpstreamChoosing<AffinityChoice>);

/** The policy that the settings name. */
class UpstreamPicker {
public:
    explicit UpstreamPicker(const RoutingSettings& settings);

    /** Precondition: candidates is not empty. */
    std::size_t pick(
        std::span<const PolicyCandidate> candidates, const PolicyRequest& request, std::mt19937_64& random);

private:
    std::variant<AffinityChoice, TwoRandomChoices, LeastLoadChoice, RoundRobinChoice, RandomChoice> policy;
};

} // namespace papayashelf
