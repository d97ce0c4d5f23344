#pragma once

#include "dispatch/dispatcher/InFlightRequest.h"
#include <map>
#include <set>
#include <utility>

namespace papayashelf {

/**
    The flights by request, each with one timer.

    Thread safety: none; owned by one thread.
*/
class InFlightRequestTable {
public:
    /** Adds a flight. Precondition: its request is not in the table. The reference stays good until it is erased. */
    InFlightRequest& add(const AdmittedRequest& admitted);

    /** The flight of a request, or nothing. */
    InFlightRequest* find(RequestId request);

    /** Sets when the flight's timer is due, in place of what was set before. */
    void setTimer(InFlightRequest& inFlight, Milliseconds at);

    /** A flight whose timer is due, or nothing. It stays due until its timer is set anew or it is erased. */
    InFlightRequest* findDue(Milliseconds now);

    void erase(InFlightRequest& inFlight);

    /** The requests whose flights satisfy a condition, in order of their ids. */
    template <typename Condition> std::vector<RequestId> select(Condition condition) const
    {
        std::vector<RequestId> selected;
        for (const auto& [id, inFlight] : this->inFlightRequests) {
            if (condition(inFlight))
                selected.push_back(id);
        }
        return selected;
    }

    Milliseconds getNextTimer() const;
    std::size_t size() const { return this->inFlightRequests.size(); }

private:
    std::map<RequestId, InFlightRequest> inFlightRequests;
    std::set<std::pair<Milliseconds, RequestId>> timers;
};

} // namespace papayashelf
