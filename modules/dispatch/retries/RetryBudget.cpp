#include "dispatch/retries/RetryBudget.h"

#include <algorithm>

namespace papayashelf {

RetryBudget::RetryBudget(const DispatchSettings& settings)
    : settings(settings)
    , available(settings.retryBudgetLimit)
{
}

void RetryBudget::noteRequest()
{
    this->available = std::min(this->settings.retryBudgetLimit, this->available + this->settings.retriesPerRequest);
}

bool RetryBudget::tryTake(Milliseconds now)
{
    this->accrueOverTime(now);
    if (this->available < 1)
        return false;
    this->available -= 1;
    return true;
}

void RetryBudget::accrueOverTime(Milliseconds now)
{
    const double earned = (now - this->accruedAt).seconds() * this->settings.retriesPerSecond;
    this->available = std::min(this->settings.retryBudgetLimit, this->available + std::max(0.0, earned));
    this->accruedAt = std::max(this->accruedAt, now);
}

} // namespace papayashelf
