#include "dispatch/dispatcher/InFlightRequestTable.h"

#include <cassert>

namespace papayashelf {

InFlightRequest& InFlightRequestTable::add(const AdmittedRequest& admitted)
{
    const auto [position, isNew] = this->inFlightRequests.try_emplace(admitted.arrival.request);
    assert(isNew);
    position->second.admitted = admitted;
    return position->second;
}

InFlightRequest* InFlightRequestTable::find(RequestId request)
{
    const auto found = this->inFlightRequests.find(request);
    return found == this->inFlightRequests.end() ? nullptr : &found->second;
}

void InFlightRequestTable::setTimer(InFlightRequest& inFlight, Milliseconds at)
{
    this->timers.erase({ inFlight.timerDueAt, inFlight.id() });
    inFlight.timerDueAt = at;
    this->timers.emplace(at, inFlight.id());
}

InFlightRequest* InFlightRequestTable::findDue(Milliseconds now)
{
    if (this->timers.empty() || this->timers.begin()->first > now)
        return nullptr;
    return &this->inFlightRequests.at(this->timers.begin()->second);
}

void InFlightRequestTable::erase(InFlightRequest& inFlight)
{
    const RequestId request = inFlight.id();
    this->timers.erase({ inFlight.timerDueAt, request });
    this->inFlightRequests.erase(request);
}

Milliseconds InFlightRequestTable::getNextTimer() const
{
    return this->timers.empty() ? Milliseconds::never() : this->timers.begin()->first;
}

} // namespace papayashelf
