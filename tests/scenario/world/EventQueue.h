#pragma once

#include "foundation/time/Clock.h"
#include <cstdint>
#include <functional>
#include <map>
#include <utility>

namespace papayashelf {

/** Virtual time: what is due next runs next; what is due at once runs in the order in which it was added. */
class EventQueue {
public:
    /** Runs an action at a time that is not past. */
    void at(Milliseconds time, std::function<void()> action)
    {
        this->actions.emplace(std::pair(std::max(time, this->time), ++this->lastNumber), std::move(action));
    }

    /** Runs an action after a delay. */
    void after(Milliseconds delay, std::function<void()> action) { this->at(this->time + delay, std::move(action)); }

    /** Runs everything up to and at the end. */
    void runUntil(Milliseconds end)
    {
        while (!this->actions.empty() && this->actions.begin()->first.first <= end) {
            auto next = this->actions.extract(this->actions.begin());
            this->time = next.key().first;
            next.mapped()();
        }
        this->time = end;
    }

    Milliseconds now() const { return this->time; }

private:
    std::map<std::pair<Milliseconds, std::uint64_t>, std::function<void()>> actions;
    std::uint64_t lastNumber = 0;
    Milliseconds time;
};

} // namespace papayashelf
