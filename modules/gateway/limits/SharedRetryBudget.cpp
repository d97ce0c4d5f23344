#include "gateway/limits/SharedRetryBudget.h"

#include <algorithm>

namespace papayashelf {

namespace {

/** Keeps a margin below the ratio: an attempt reaches its upstream later than it was counted here. */
constexpr double ratioFactor = 0.9;

} // namespace

SharedRetryBudget::SharedRetryBudget(const RetryBound& bound)
    : bound(bound)
    , requests(std::max(Milliseconds(1), bound.window - WindowCounter::resolution * 2))
    , retries(bound.window)
{
}

bool SharedRetryBudget::hasRetry(Milliseconds now, double extraShare)
{
    const double allowed = static_cast<double>(this->requests.count(now)) * this->bound.perRequest * ratioFactor
        + this->bound.extra * extraShare;
    return static_cast<double>(this->retries.count(now) + 1) <= allowed;
}

bool SharedRetryBudget::tryTake(Milliseconds now, double extraShare)
{
    if (!this->hasRetry(now, extraShare))
        return false;
    this->retries.add(now);
    return true;
}

} // namespace papayashelf
