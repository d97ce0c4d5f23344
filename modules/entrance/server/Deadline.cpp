#include "entrance/server/Deadline.h"

namespace papayashelf {

Deadline::Deadline(boost::asio::ip::tcp::socket& socket)
    : state(std::make_shared<State>())
    , timer(std::make_shared<Timer>(socket.get_executor()))
{
    this->state->socket = &socket;
}

Deadline::~Deadline()
{
    this->state->socket = nullptr;
    this->timer->cancel();
}

void Deadline::set(TimePoint until)
{
    this->state->until = until;
    if (until < this->state->armedFor)
        arm(this->state, this->timer);
}

void Deadline::setAfter(Milliseconds limit)
{
    this->set(std::chrono::steady_clock::now() + std::chrono::milliseconds(limit.count()));
}

void Deadline::clear()
{
    this->state->until = TimePoint::max();
}

void Deadline::arm(const std::shared_ptr<State>& state, const std::shared_ptr<Timer>& timer)
{
    state->armedFor = state->until;
    timer->expires_at(state->until);
    timer->async_wait([state, timer](const boost::system::error_code& error) {
        if (error || !state->socket)
            return;
        state->armedFor = TimePoint::max();
        look(state, timer);
    });
}

void Deadline::look(const std::shared_ptr<State>& state, const std::shared_ptr<Timer>& timer)
{
    if (std::chrono::steady_clock::now() < state->until) {
        if (state->until != TimePoint::max())
            arm(state, timer);
        return;
    }
    if (const std::optional<TimePoint> later = state->extension ? state->extension() : std::nullopt) {
        state->until = *later;
        arm(state, timer);
        return;
    }
    state->passed = true;
    boost::system::error_code ignored;
    state->socket->close(ignored);
}

} // namespace papayashelf
