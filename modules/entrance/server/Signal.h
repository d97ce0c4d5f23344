#pragma once

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <chrono>

namespace papayashelf {

/** Completes an asynchronous operation with its error code as a value. */
constexpr auto useResult = boost::asio::as_tuple(boost::asio::use_awaitable);

using TimePoint = std::chrono::steady_clock::time_point;

/**
    Lets one coroutine wait until another of the same thread notifies it, or a moment is reached.

    The waiter looks at its condition again after each wait. Thread safety: none; owned by one I/O thread.
*/
class Signal {
public:
    explicit Signal(const boost::asio::any_io_executor& executor)
        : timer(executor)
    {
    }

    /** Wakes the waiter, if there is one. */
    void notify()
    {
        if (this->waiting)
            this->timer.cancel();
    }

    /** Waits until notified or the moment comes. Precondition: nobody else waits. */
    boost::asio::awaitable<void> wait(TimePoint until = TimePoint::max())
    {
        this->waiting = true;
        this->timer.expires_at(until);
        co_await this->timer.async_wait(useResult);
        this->waiting = false;
    }

private:
    boost::asio::steady_timer timer;
    bool waiting = false;
};

} // namespace papayashelf
