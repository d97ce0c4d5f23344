#pragma once

#include "foundation/time/Clock.h"
#include <cstddef>
#include <deque>

namespace papayashelf {

/**
    Tracks the greatest value of the last window, and whether values are known for that long.

    Times must not decrease from one call to the next. Thread safety: none; owned by one thread.
*/
class RecentMaximum {
public:
    /** @param window  length of the window; above 0 */
    explicit RecentMaximum(Milliseconds window)
        : window(window)
    {
    }

    /** Records the current value. */
    void note(Milliseconds now, std::size_t value)
    {
        if (!this->isStarted) {
            this->isStarted = true;
            this->startedAt = now;
        }
        // A value that is not greater than a later one can never be the maximum again.
        while (!this->values.empty() && this->values.back().value <= value)
            this->values.pop_back();
        this->values.push_back({ now, value });
        while (now - this->values.front().notedAt > this->window)
            this->values.pop_front();
    }

    /** Returns true if values have been recorded for at least one window. */
    bool coversWindow(Milliseconds now) const { return this->isStarted && now - this->startedAt >= this->window; }

    /** Returns the greatest value of the window; 0 before the first one. */
    std::size_t get() const { return this->values.empty() ? 0 : this->values.front().value; }

private:
    struct NotedValue {
        Milliseconds notedAt;
        std::size_t value = 0;
    };

    Milliseconds window;
    bool isStarted = false;
    Milliseconds startedAt;
    std::deque<NotedValue> values; /**< In order of time, with decreasing values. */
};

} // namespace papayashelf
