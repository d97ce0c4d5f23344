#pragma once

#include "foundation/identity/Identifier.h"
#include <map>
#include <optional>

namespace papayashelf {

/**
    Estimates the mean number of prompt tokens that an upstream has to read for a request, by service.

    Thread safety: none; owned by one thread.
*/
class PromptLength {
public:
    /** Adds a prompt that was placed. @param tokens  tokens that the upstream probably has to read; 0 or more */
    void addSample(const ServiceId& service, double tokens)
    {
        double& mean = this->means.try_emplace(service, tokens).first->second;
        mean += (tokens - mean) * sampleWeight;
    }

    /** Returns the mean, or nothing before the first prompt. */
    std::optional<double> get(const ServiceId& service) const
    {
        const auto found = this->means.find(service);
        return found == this->means.end() ? std::nullopt : std::optional(found->second);
    }

private:
    /** Averages over about a hundred prompts, as their lengths differ by two orders of magnitude. */
    static constexpr double sampleWeight = 0.01;

    std::map<ServiceId, double> means;
};

} // namespace papayashelf
