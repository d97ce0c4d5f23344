#include "entrance/relay/RelayExchange.h"

#include <algorithm>
#include <cassert>

namespace papayashelf {

RelayExchange::RelayExchange(std::size_t windowBytes)
    : windowBytes(windowBytes)
{
    assert(windowBytes > 0);
}

void RelayExchange::setProducerWake(std::function<void()> wake)
{
    const Lock lock(this->mutex);
    this->producerWake = std::move(wake);
}

void RelayExchange::setConsumerWake(std::function<void()> wake)
{
    Lock lock(this->mutex);
    this->consumerWake = std::move(wake);
    if (!this->events.empty())
        wakeOutside(lock, this->consumerWake);
}

std::size_t RelayExchange::getRoom() const
{
    const Lock lock(this->mutex);
    return this->windowBytes - std::min(this->windowBytes, this->waitingBytes);
}

bool RelayExchange::write(RelayAnswerEvent event)
{
    Lock lock(this->mutex);
    if (this->cancelled || this->ended)
        return false;
    if (const auto* const piece = std::get_if<RelayAnswerBytes>(&event)) {
        if (this->waitingBytes + piece->bytes.size() > this->windowBytes)
            event = RelayAnswerEnd { AttemptResult::Truncated, std::nullopt };
        else
            this->waitingBytes += piece->bytes.size();
    }
    this->ended = std::holds_alternative<RelayAnswerEnd>(event);
    this->events.push_back(std::move(event));
    wakeOutside(lock, this->consumerWake);
    return true;
}

std::optional<RelayAnswerEvent> RelayExchange::read()
{
    Lock lock(this->mutex);
    if (this->events.empty())
        return std::nullopt;
    RelayAnswerEvent event = std::move(this->events.front());
    this->events.pop_front();
    if (const auto* const piece = std::get_if<RelayAnswerBytes>(&event)) {
        this->waitingBytes -= piece->bytes.size();
        wakeOutside(lock, this->producerWake);
    }
    return event;
}

void RelayExchange::cancel()
{
    Lock lock(this->mutex);
    if (this->cancelled)
        return;
    this->cancelled = true;
    this->events.clear();
    this->waitingBytes = 0;
    wakeOutside(lock, this->producerWake);
}

bool RelayExchange::isCancelled() const
{
    const Lock lock(this->mutex);
    return this->cancelled;
}

void RelayExchange::wakeOutside(Lock& lock, const std::function<void()>& wake)
{
    const std::function<void()> copy = wake;
    lock.unlock();
    if (copy)
        copy();
}

} // namespace papayashelf
