#include "dispatch/dispatcher/FlightTable.h"

#include <cassert>

namespace papayashelf {

Flight& FlightTable::add(const AdmittedRequest& admitted)
{
    const auto [place, isNew] = this->flights.try_emplace(admitted.arrival.request);
    assert(isNew);
    place->second.admitted = admitted;
    return place->second;
}

Flight* FlightTable::find(RequestId request)
{
    const auto found = this->flights.find(request);
    return found == this->flights.end() ? nullptr : &found->second;
}

void FlightTable::setWake(Flight& flight, Milliseconds at)
{
    this->timers.erase({ flight.wakeAt, flight.id() });
    flight.wakeAt = at;
    this->timers.emplace(at, flight.id());
}

Flight* FlightTable::findDue(Milliseconds now)
{
    if (this->timers.empty() || this->timers.begin()->first > now)
        return nullptr;
    return &this->flights.at(this->timers.begin()->second);
}

void FlightTable::erase(Flight& flight)
{
    const RequestId request = flight.id();
    this->timers.erase({ flight.wakeAt, request });
    this->flights.erase(request);
}

Milliseconds FlightTable::getNextWake() const
{
    return this->timers.empty() ? Milliseconds::never() : this->timers.begin()->first;
}

} // namespace papayashelf
