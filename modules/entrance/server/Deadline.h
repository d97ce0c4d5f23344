#pragma once

#include "entrance/server/Signal.h"
#include "foundation/time/Clock.h"
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <optional>

namespace papayashelf {

/**
    Closes a socket when a moment passes. Moving the moment later, which each read and write does, costs no timer: the
    timer looks again when the earlier moment comes.

    Thread safety: none; owned by one I/O thread.
*/
class Deadline {
public:
    /** Returns a later moment to wait for instead, or nothing to close the socket. */
    using Extension = std::function<std::optional<TimePoint>()>;

    /** @param socket  must outlive the deadline */
    explicit Deadline(boost::asio::ip::tcp::socket& socket);
    ~Deadline();
    Deadline(const Deadline&) = delete;
    Deadline& operator=(const Deadline&) = delete;

    /** Sets the moment. */
    void set(TimePoint until);

    /** Sets the moment to so long from now. */
    void setAfter(Milliseconds limit);

    /** From now on no moment passes. */
    void clear();

    /** Sets a function that is asked when the moment has come; empty to close the socket then. */
    void setExtension(Extension extension) { this->state->extension = std::move(extension); }

    /** True once the socket was closed for its time. */
    bool hasPassed() const { return this->state->passed; }

private:
    /** Shared with the timer's handler, which may run after the deadline is gone. */
    struct State {
        boost::asio::ip::tcp::socket* socket = nullptr;
        TimePoint until = TimePoint::max();
        TimePoint armedFor = TimePoint::max();
        bool passed = false;
        Extension extension;
    };

    using Timer = boost::asio::steady_timer;

    static void arm(const std::shared_ptr<State>& state, const std::shared_ptr<Timer>& timer);
    static void look(const std::shared_ptr<State>& state, const std::shared_ptr<Timer>& timer);

    std::shared_ptr<State> state;
    std::shared_ptr<Timer> timer;
};

} // namespace papayashelf
