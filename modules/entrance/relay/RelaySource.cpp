#include "entrance/relay/RelaySource.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <utility>

namespace papayashelf {

namespace asio = boost::asio;

namespace {

AttemptResult resultOf(const RelayAnswerEnd& end)
{
    if (!end.refusal)
        return end.result;
    return end.refusal->ran == Ran::No ? AttemptResult::RejectedBusy : AttemptResult::NoAnswer;
}

} // namespace

RelaySource::RelaySource(
    const asio::any_io_executor& executor, std::shared_ptr<RelayExchange> exchange, AttemptLimits limits)
    : executor(executor)
    , exchange(std::move(exchange))
    , limits(limits)
    , deadline(std::chrono::steady_clock::now() + std::chrono::milliseconds(limits.remaining.count()))
    , signal(executor)
{
}

void RelaySource::listen()
{
    this->exchange->setConsumerWake([weak = this->weak_from_this(), executor = this->executor] {
        asio::post(executor, [weak] {
            if (const auto self = weak.lock())
                self->signal.notify();
        });
    });
}

asio::awaitable<SourceHead> RelaySource::open()
{
    SourceHead result;
    const auto event = co_await this->next(this->limits.firstByte);
    if (!event) {
        result.result = this->cancelled ? AttemptResult::Cancelled : AttemptResult::TimedOut;
    } else if (const auto* const head = std::get_if<RelayAnswerHead>(&*event)) {
        result.result = AttemptResult::Completed;
        result.status = head->status;
        result.headers = head->headers;
    } else if (const auto* const end = std::get_if<RelayAnswerEnd>(&*event)) {
        result.result = resultOf(*end);
    } else {
        result.result = AttemptResult::NoAnswer;
    }
    co_return result;
}

asio::awaitable<SourcePiece> RelaySource::read(Milliseconds limit)
{
    SourcePiece result;
    auto event = co_await this->next(limit);
    if (!event) {
        result.result = this->cancelled ? AttemptResult::Cancelled : AttemptResult::TimedOut;
    } else if (auto* const bytes = std::get_if<RelayAnswerBytes>(&*event)) {
        this->piece = std::move(bytes->bytes);
        result.bytes = this->piece;
    } else if (const auto* const end = std::get_if<RelayAnswerEnd>(&*event)) {
        result.result = resultOf(*end);
        result.isEnd = result.result == AttemptResult::Completed;
    } else {
        result.result = AttemptResult::Truncated;
    }
    co_return result;
}

void RelaySource::cancel()
{
    this->cancelled = true;
    this->exchange->cancel();
    this->signal.notify();
}

asio::awaitable<std::optional<RelayAnswerEvent>> RelaySource::next(Milliseconds limit)
{
    TimePoint until = std::chrono::steady_clock::now() + std::chrono::milliseconds(limit.count());
    while (!this->cancelled) {
        if (auto event = this->exchange->read())
            co_return event;
        const TimePoint now = std::chrono::steady_clock::now();
        if (now >= this->deadline || (now >= until && !this->onSilence))
            break;
        if (now < until) {
            co_await this->signal.wait(std::min(until, this->deadline));
            continue;
        }
        until = now + silenceReportInterval;
        this->onSilence();
    }
    co_return std::nullopt;
}

} // namespace papayashelf
