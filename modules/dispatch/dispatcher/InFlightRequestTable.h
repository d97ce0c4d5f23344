#pragma once

#include "dispatch/dispatcher/InFlightRequest.h"
#include <map>
#include <set>
#include <utility>

namespace papayashelf {

/**
    The in-flight requests by id, each with one timer.

    Thread safety: none; owned by one thread.
*/
class InFlightRequestTable {
public:
    /** Adds a request. Precondition: its id is not in the table. The reference is valid until the request is erased. */
    InFlightRequest& add(const AdmittedRequest& admitted);

    /** The in-flight request with this id, or nullptr. */
    InFlightRequest* find(RequestId request);

    /** Sets the request's timer and replaces its previous one. */
    void setTimer(InFlightRequest& inFlight, Milliseconds at);

    /** A request whose timer is due, or nullptr. It remains due until its timer is set again or it is erased. */
    InFlightRequest* findDue(Milliseconds now);

    /** Removes a request and its timer. */
    void erase(InFlightRequest& inFlight);

    /** The ids of the requests that satisfy a condition, in ascending order. */
    template <typename Condition> std::vector<RequestId> select(Condition condition) const
    {
        std::vector<RequestId> selected;
        for (const auto& [id, inFlight] : this->inFlightRequests) {
            if (condition(inFlight))
                selected.push_back(id);
        }
        return selected;
    }

    /** The time of the earliest timer; never() if the table is empty. */
    Milliseconds getNextTimer() const;

    /** The number of in-flight requests. */
    std::size_t size() const { return this->inFlightRequests.size(); }

private:
    std::map<RequestId, InFlightRequest> inFlightRequests;
    std::set<std::pair<Milliseconds, RequestId>> timers;
};

} // namespace papayashelf
