#pragma once

#include "foundation/identity/Identifier.h"
#include "foundation/time/Clock.h"
#include <algorithm>
#include <random>
#include <set>
#include <utility>

namespace papayashelf {

/** Delays, cuts and losses between regions and failure domains. */
class VirtualNetwork {
public:
    VirtualNetwork(Milliseconds betweenRegions, std::uint64_t seed)
        : regionDelay(betweenRegions)
        , random(seed)
    {
    }

    void cut(const RegionId& left, const RegionId& right) { this->cuts.insert(std::minmax(left, right)); }
    void heal(const RegionId& left, const RegionId& right) { this->cuts.erase(std::minmax(left, right)); }
    void setLossPercent(std::int64_t percent) { this->lossPercent = percent; }

    bool isCut(const RegionId& left, const RegionId& right) const
    {
        return this->cuts.count(std::minmax(left, right)) > 0;
    }

    /** Whether one message between VMs arrives. */
    bool passes(const RegionId& left, const RegionId& right)
    {
        const bool isLost = this->draw(100) < this->lossPercent;
        return !isLost && !this->isCut(left, right);
    }

    /** One way, for one message. */
    Milliseconds delay(const RegionId& left, const RegionId& right)
    {
        if (left == right)
            return Milliseconds(1);
        return this->regionDelay + Milliseconds(this->draw(1 + this->regionDelay.count() / 5));
    }

private:
    std::int64_t draw(std::int64_t bound)
    {
        return std::uniform_int_distribution<std::int64_t>(0, bound - 1)(this->random);
    }

    Milliseconds regionDelay;
    std::mt19937_64 random;
    std::int64_t lossPercent = 0;
    std::set<std::pair<RegionId, RegionId>> cuts;
};

} // namespace papayashelf
