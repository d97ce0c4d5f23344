#include "entrance/caller/CallerInput.h"

#include <openssl/crypto.h>

namespace papayashelf {

namespace asio = boost::asio;

CallerInput::CallerInput(CallerStream& stream, std::size_t maximum)
    : stream(stream)
    , maximum(maximum)
    , more(stream.getExecutor())
    , room(stream.getExecutor())
{
}

asio::awaitable<void> CallerInput::run(std::function<void()> onGone)
{
    while (true) {
        while (this->buffer.size() >= this->maximum)
            co_await this->room.wait();
        const std::size_t count = co_await this->stream.readSome(asio::buffer(this->piece));
        if (count == 0)
            break;
        if (!this->isDiscarding) {
            const auto space = this->buffer.prepare(count);
            this->buffer.commit(asio::buffer_copy(space, asio::buffer(this->piece, count)));
        }
        OPENSSL_cleanse(this->piece.data(), count);
        this->more.notify();
    }
    this->gone = true;
    this->more.notify();
    onGone();
}

asio::awaitable<bool> CallerInput::waitForMore(TimePoint until)
{
    const std::size_t before = this->buffer.size();
    while (
        !this->gone && !this->interrupted && this->buffer.size() == before && std::chrono::steady_clock::now() < until)
        co_await this->more.wait(until);
    co_return this->buffer.size() > before;
}

void CallerInput::interrupt()
{
    this->interrupted = true;
    this->more.notify();
}

void CallerInput::consume(std::size_t count)
{
    OPENSSL_cleanse(this->buffer.data().data(), count);
    this->buffer.consume(count);
    if (this->buffer.size() == 0)
        this->buffer.shrink_to_fit();
    this->room.notify();
}

void CallerInput::discard()
{
    this->isDiscarding = true;
    this->interrupted = false;
    this->consume(this->buffer.size());
}

} // namespace papayashelf
