#pragma once

#include "foundation/time/Clock.h"
#include <chrono>
#include <condition_variable>
#include <mutex>

namespace papayashelf {

/**
    Wakes a thread that has nothing to do. A ring before the wait is not lost.

    Thread safety: any thread may ring; one thread waits.
*/
class Doorbell {
public:
    /** Wakes the waiting thread, or makes its next wait return at once. */
    void ring()
    {
        {
            const std::scoped_lock lock(this->mutex);
            this->isRung = true;
        }
        this->condition.notify_one();
    }

    /** Waits until it rings or the time is over. */
    void wait(Milliseconds longest)
    {
        std::unique_lock lock(this->mutex);
        const std::chrono::milliseconds time(longest.count());
        this->condition.wait_for(lock, time, [this] { return this->isRung; });
        this->isRung = false;
    }

private:
    std::mutex mutex;
    std::condition_variable condition;
    bool isRung = false;
};

} // namespace papayashelf
