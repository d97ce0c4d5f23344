#pragma once

#include "foundation/identity/Identifier.h"
#include "foundation/time/Clock.h"
#include <algorithm>
#include <map>

namespace papayashelf {

/**
    Learns how many prompt tokens an engine of a service reads in a millisecond, from the times to first events.

    A time includes waiting, so it gives a speed that is too low; the highest of late is the best estimate.
    Thread safety: none; owned by one thread.
*/
class PrefillSpeed {
public:
    /** A prompt brought its first event. @param tokens  those that were surely not cached */
    void addSample(const ServiceId& service, std::int64_t tokens, Milliseconds time)
    {
        if (tokens < minimumTokens || time <= Milliseconds(0))
            return;
        const double speed = static_cast<double>(tokens) / static_cast<double>(time.count());
        double& best = this->speeds.try_emplace(service, initialSpeed).first->second;
        best = std::max(speed, best * decayPerPrompt);
    }

    /** Tokens a millisecond; above 0. */
    double get(const ServiceId& service) const
    {
        const auto found = this->speeds.find(service);
        return found == this->speeds.end() ? initialSpeed : found->second;
    }

private:
    static constexpr std::int64_t minimumTokens = 500; /**< Fixed costs hide the speed of shorter prompts. */
    static constexpr double initialSpeed = 20; /**< Tokens a millisecond of a large model on one accelerator. */
    static constexpr double decayPerPrompt = 0.998; /**< A prompt; a slower model takes effect after some hundred. */

    std::map<ServiceId, double> speeds;
};

} // namespace papayashelf
