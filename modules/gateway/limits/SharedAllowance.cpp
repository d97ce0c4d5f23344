#include "gateway/limits/SharedAllowance.h"

#include <algorithm>
#include <cmath>

namespace papayashelf {

namespace {

/** Averaging time of the demand; the other VMs receive it with a similar delay. */
constexpr double demandAveragingSeconds = 1;
/** Share of the burst at the start, so that VMs that restart together do not spend it twice. */
constexpr double initialLevelShare = 0.5;

} // namespace

bool SharedAllowance::tryTake(Milliseconds now, double units)
{
    this->noteDemand(now, units);
    if (!this->hasLevelAbove(now, 0))
        return false;
    this->take(units);
    return true;
}

bool SharedAllowance::hasLevelAbove(Milliseconds now, double shareOfDepth)
{
    if (this->limit.unitsPerSecond <= 0)
        return true;
    this->refill(now);
    return this->level > shareOfDepth * this->getDepth(this->getRate(now));
}

Milliseconds SharedAllowance::getWait(Milliseconds now)
{
    this->refill(now);
    const double rate = this->getRate(now);
    if (this->level > 0 || rate <= 0)
        return Milliseconds(0);
    return Milliseconds::roundUp(1000.0 * -this->level / rate + 1);
}

double SharedAllowance::getDemand(Milliseconds now) const
{
    return this->demand * std::exp(-std::max(0.0, (now - this->demandUpdatedAt).seconds()) / demandAveragingSeconds);
}

double SharedAllowance::getPressure(Milliseconds now) const
{
    if (this->limit.unitsPerSecond <= 0)
        return 0;
    return (this->getDemand(now) + this->remoteDemand.unitsPerSecond) / this->limit.unitsPerSecond;
}

double SharedAllowance::getRate(Milliseconds now) const
{
    const double own = this->getDemand(now);
    const double total = own + this->remoteDemand.unitsPerSecond;
    const double vms = static_cast<double>(std::max<std::size_t>(1, this->remoteDemand.vms));
    const double limitRate = this->limit.unitsPerSecond;
    if (total <= limitRate)
        return own + (limitRate - total) / vms;
    return limitRate * own / total;
}

void SharedAllowance::refill(Milliseconds now)
{
    const double rate = this->getRate(now);
    const double depth = this->getDepth(rate);
    if (!this->hasStarted) {
        this->hasStarted = true;
        this->level = depth * initialLevelShare;
    } else {
        this->level += rate * std::max(0.0, (now - this->refilledAt).seconds());
    }
    this->level = std::min(this->level, depth);
    this->refilledAt = now;
}

void SharedAllowance::noteDemand(Milliseconds now, double units)
{
    this->demand = this->getDemand(now) + units / demandAveragingSeconds;
    this->demandUpdatedAt = now;
}

double SharedAllowance::getDepth(double rate) const
{
    const double limitShare = this->limit.unitsPerSecond > 0 ? rate / this->limit.unitsPerSecond : 1;
    const double vms = static_cast<double>(std::max<std::size_t>(1, this->remoteDemand.vms));
    return std::max(1.0, this->limit.burstUnits * std::min(1.0, limitShare) + this->limit.slackUnits / vms);
}

} // namespace papayashelf
