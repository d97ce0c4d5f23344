#pragma once

#include "routing/settings/RoutingSettings.h"
#include <concepts>
#include <cstdint>
#include <random>
#include <span>
#include <variant>

namespace papayashelf {

/** The properties of an upstream that a policy compares. */
struct PolicyCandidate {
    std::uint64_t hash = 0; /**< Hash of the upstream's id; the same on every VM. */
    double load = 0; /**< Requests per slot. */
    std::size_t matchedPrefixes = 0; /**< Number of leading prompt prefixes that it probably has cached. */
};

/** The properties of a request that a policy uses. */
struct PolicyRequest {
    std::uint64_t firstPrefix = 0; /**< Hash of the shortest prefix; 0 when there is none. */
};

/** A policy whose pick() returns the index of one of the candidates. Precondition: candidates is not empty. */
template <typename Policy>
concept UpstreamSelectionPolicy = requires(Policy policy, std::span<const PolicyCandidate> candidates,
    const PolicyRequest& request, std::mt19937_64& generator)
{
    {
        policy.pick(candidates, request, generator)
        } -> std::same_as<std::size_t>;
};

/** Baseline: picks a random candidate. */
class RandomPolicy {
public:
    /** Returns the index of the picked candidate. Precondition: candidates is not empty. */
    std::size_t pick(
        std::span<const PolicyCandidate> candidates, const PolicyRequest& request, std::mt19937_64& generator);
};

/** Baseline: picks the candidates in rotation. */
class RoundRobinPolicy {
public:
    /** Returns the index of the picked candidate. Precondition: candidates is not empty. */
    std::size_t pick(
        std::span<const PolicyCandidate> candidates, const PolicyRequest& request, std::mt19937_64& generator);

private:
    std::size_t pickCount = 0;
};

/** Baseline: picks the candidate with the lowest estimated load. */
class LeastLoadPolicy {
public:
    /** Returns the index of the picked candidate. Precondition: candidates is not empty. */
    std::size_t pick(
        std::span<const PolicyCandidate> candidates, const PolicyRequest& request, std::mt19937_64& generator);
};

/** Picks the less loaded of two random candidates, so that stale reports do not send all VMs to the same upstream. */
class TwoChoicesPolicy {
public:
    /** Returns the index of the picked candidate. Precondition: candidates is not empty. */
    std::size_t pick(
        std::span<const PolicyCandidate> candidates, const PolicyRequest& request, std::mt19937_64& generator);
};

/**
    Picks the upstream with the longest cached prefix among those within a load bound. If there is none, it picks one
    that rendezvous hashing assigns to the first prefix, under the same bound, and else the less loaded of two random
    candidates.
*/
class AffinityPolicy {
public:
    /** @param loadBound  maximum load of an upstream picked by prefix, as a multiple of the candidates' mean load */
    explicit AffinityPolicy(double loadBound)
        : loadBound(loadBound)
    {
    }

    /** Returns the index of the picked candidate. Precondition: candidates is not empty. */
    std::size_t pick(
        std::span<const PolicyCandidate> candidates, const PolicyRequest& request, std::mt19937_64& generator);

private:
    double loadBound;
    TwoChoicesPolicy fallback;
};

static_assert(
    UpstreamSelectionPolicy<
        RandomPolicy> && UpstreamSelectionPolicy<RoundRobinPolicy> && UpstreamSelectionPolicy<LeastLoadPolicy> && UpstreamSelectionPolicy<TwoChoicesPolicy> && UpstreamSelectionPolicy<AffinityPolicy>);

/** Picks upstreams with the policy that the settings select. */
class UpstreamPicker {
public:
    /** Creates the policy that the settings select. */
    explicit UpstreamPicker(const RoutingSettings& settings);

    /** Returns the index of the picked candidate. Precondition: candidates is not empty. */
    std::size_t pick(
        std::span<const PolicyCandidate> candidates, const PolicyRequest& request, std::mt19937_64& generator);

private:
    std::variant<AffinityPolicy, TwoChoicesPolicy, LeastLoadPolicy, RoundRobinPolicy, RandomPolicy> policy;
};

} // namespace papayashelf
