#pragma once

#include "foundation/identity/Identifier.h"
#include "foundation/time/Clock.h"
#include <algorithm>
#include <map>

namespace papayashelf {

/**
    Estimates the prefill speed of a service's engines, in prompt tokens per millisecond, from times to first events.

    Each time includes queueing, so a single sample underestimates the speed. The highest recent sample is the best
    estimate.
    Thread safety: none; owned by one thread.
*/
class PrefillSpeed {
public:
    /** Adds the time from a request to its first event. @param tokens  prompt tokens that cannot have been cached */
    void addSample(const ServiceId& service, std::int64_t tokens, Milliseconds time)
    {
        if (tokens < minimumTokens || time <= Milliseconds(0))
            return;
        const double speed = static_cast<double>(tokens) / static_cast<double>(time.count());
        double& best = this->speeds.try_emplace(service, initialSpeed).first->second;
        best = std::max(speed, best * decayPerPrompt);
    }

    /** Returns the prefill speed in tokens per millisecond; above 0. */
    double get(const ServiceId& service) const
    {
        const auto found = this->speeds.find(service);
        return found == this->speeds.end() ? initialSpeed : found->second;
    }

private:
    static constexpr std::int64_t minimumTokens = 500; /**< Fixed costs distort the speed of shorter prompts. */
    static constexpr double initialSpeed = 20; /**< Tokens per millisecond of a large model on one accelerator. */
    /** Factor per prompt; the estimate follows a slower model after a few hundred. */
    static constexpr double decayPerPrompt = 0.998;

    std::map<ServiceId, double> speeds;
};

} // namespace papayashelf
