#pragma once

#include "foundation/time/Clock.h"
#include <cstdint>
#include <deque>

namespace papayashelf {

/**
    Counts the events of the last window. Memory is bounded by the window's length, not by the number of events.

    Times must not decrease from one call to the next. Thread safety: none; owned by one thread.
*/
class WindowCounter {
public:
    /** Events are grouped by this length, so an event may count for that much longer than the window. */
    static constexpr Milliseconds resolution { 100 };

    /** @param window  length of the window; above 0 */
    explicit WindowCounter(Milliseconds window)
        : window(window)
    {
    }

    /** Counts one event. */
    void add(Milliseconds now)
    {
        this->expire(now);
        if (this->groups.empty() || now - this->groups.back().startedAt >= resolution)
            this->groups.push_back({ now, 0 });
        ++this->groups.back().events;
        ++this->events;
    }

    /** Returns the number of events in the window that ends now. */
    std::int64_t count(Milliseconds now)
    {
        this->expire(now);
        return this->events;
    }

private:
    struct Group {
        Milliseconds startedAt;
        std::int64_t events = 0;
    };

    void expire(Milliseconds now)
    {
        while (!this->groups.empty() && now - this->groups.front().startedAt > this->window + resolution) {
            this->events -= this->groups.front().events;
            this->groups.pop_front();
        }
    }

    Milliseconds window;
    std::deque<Group> groups;
    std::int64_t events = 0;
};

} // namespace papayashelf
