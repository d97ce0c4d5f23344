#include "gateway/limits/ReturnSchedule.h"

#include <algorithm>
#include <cmath>

namespace papayashelf {

namespace {

/** Equals the averaging time of the demand that the returned units are subtracted from. */
constexpr double averagingSeconds = 1;
/** Share of the rate that is planned; a service at its full rate refuses some requests by chance. */
constexpr double plannedShare = 0.9;
/** Share of the rate left for returns if new requests need all of it, as some of those are refused as well. */
constexpr double minimumReturnShare = 0.25;
constexpr double perSecond = 1000; /**< Milliseconds. */

} // namespace

Milliseconds ReturnSchedule::reserve(
    Milliseconds now, double units, double unitsPerSecond, double demand, Milliseconds latest)
{
    const double newDemand = std::max(0.0, demand - this->measureReturned(now));
    const double rate = std::max(unitsPerSecond * plannedShare - newDemand, unitsPerSecond * minimumReturnShare);
    if (rate <= 0)
        return Milliseconds(0);
    this->nextFree = std::max(this->nextFree, static_cast<double>(now.count()));
    const Milliseconds at = Milliseconds::roundUp(this->nextFree + units / rate * perSecond);
    if (at - now <= latest) {
        this->nextFree += units / rate * perSecond;
        this->reservations.push_back({ at, units });
    }
    return at - now;
}

double ReturnSchedule::measureReturned(Milliseconds now)
{
    this->returned *= std::exp(-std::max(0.0, (now - this->returnedUpdatedAt).seconds()) / averagingSeconds);
    this->returnedUpdatedAt = now;
    for (; !this->reservations.empty() && this->reservations.front().at <= now; this->reservations.pop_front()) {
        const double age = (now - this->reservations.front().at).seconds();
        this->returned += this->reservations.front().units / averagingSeconds * std::exp(-age / averagingSeconds);
    }
    return this->returned;
}

} // namespace papayashelf
