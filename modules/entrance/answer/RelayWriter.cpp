#include "entrance/answer/RelayWriter.h"

#include <algorithm>
#include <utility>

namespace papayashelf {

namespace asio = boost::asio;

RelayWriter::RelayWriter(const asio::any_io_executor& executor, std::shared_ptr<RelayExchange> exchange)
    : exchange(std::move(exchange))
    , roomSignal(executor)
{
}

RelayWriter::~RelayWriter()
{
    // Without effect if the answer has ended.
    this->exchange->write(
        RelayAnswerEnd { this->begun ? AttemptResult::Truncated : AttemptResult::NoAnswer, std::nullopt });
}

void RelayWriter::begin(const AnswerHead& head)
{
    this->begun = true;
    this->exchange->write(RelayAnswerHead { head.status, head.headers });
}

asio::awaitable<bool> RelayWriter::write(std::string_view piece)
{
    while (!piece.empty()) {
        if (this->aborted || this->exchange->isCancelled())
            co_return false;
        const std::size_t count = std::min(this->exchange->getRoom(), piece.size());
        if (count == 0) {
            co_await this->roomSignal.wait();
            continue;
        }
        if (!this->exchange->write(RelayAnswerBytes { std::string(piece.substr(0, count)) }))
            co_return false;
        piece.remove_prefix(count);
    }
    co_return true;
}

asio::awaitable<bool> RelayWriter::end()
{
    this->ended = !this->aborted && this->exchange->write(RelayAnswerEnd { AttemptResult::Completed, std::nullopt });
    co_return this->ended;
}

asio::awaitable<void> RelayWriter::refuse(const RefuseRequest& refusal)
{
    RelayAnswerEnd end;
    end.result = this->begun ? AttemptResult::Truncated : AttemptResult::NoAnswer;
    if (!this->begun)
        end.refusal = refusal;
    this->exchange->write(end);
    co_return;
}

void RelayWriter::abort()
{
    this->aborted = true;
    this->exchange->write(RelayAnswerEnd { AttemptResult::Truncated, std::nullopt });
    this->roomSignal.notify();
}

} // namespace papayashelf
