#include "serving/origins/StreamOriginClient.h"

#include "entrance/server/Signal.h"
#include <algorithm>

namespace papayashelf {

namespace asio = boost::asio;

namespace {

constexpr Milliseconds answerTime { 250 }; /**< Longer than an answer takes between regions; then it may be lost. */

} // namespace

StreamOriginClient::StreamOriginClient(
    const asio::any_io_executor& executor, GatewayCore& core, DigestExchange& exchange)
    : executor(executor)
    , core(core)
    , exchange(exchange)
{
    this->exchange.setOriginHandler([this](const StreamOriginMessage& message) { this->noteMessage(message); });
}

void StreamOriginClient::noteOrigin(const StreamOriginNotice& notice)
{
    for (const auto& [receiver, message] : this->core.getStreamOrigins().noteOrigin(this->clock.now(), notice))
        this->exchange.sendOrigins(*receiver, message);
}

asio::awaitable<std::optional<StreamOrigin>> StreamOriginClient::find(std::string request, Milliseconds limit)
{
    Question question(this->executor, request);
    const auto position = this->questions.insert(this->questions.end(), &question);
    const Milliseconds deadline = this->clock.now() + limit;
    std::optional<StreamOriginNotice> known = this->core.getStreamOrigins().find(this->clock.now(), request);
    for (Milliseconds now = this->clock.now(); !known && now < deadline; now = this->clock.now()) {
        this->ask(question);
        if (question.asked.empty())
            break;
        question.timer.expires_after(std::chrono::milliseconds(std::min(answerTime, deadline - now).count()));
        co_await question.timer.async_wait(useResult);
        known = this->core.getStreamOrigins().find(this->clock.now(), request);
        if (question.asked.empty())
            break;
    }
    this->questions.erase(position);
    co_return known ? std::optional(known->origin) : std::nullopt;
}

void StreamOriginClient::ask(Question& question)
{
    question.asked.clear();
    for (const auto& [receiver, message] : this->core.getStreamOrigins().askForOrigin(question.request)) {
        if (question.unaware.contains(receiver->vm))
            continue;
        question.asked.insert(receiver->vm);
        this->exchange.sendOrigins(*receiver, message);
    }
}

void StreamOriginClient::noteMessage(const StreamOriginMessage& message)
{
    for (Question* question : this->questions) {
        const bool isKnown = std::any_of(message.known.begin(), message.known.end(),
            [&](const StreamOriginNotice& notice) { return notice.request == question->request; });
        const bool isUnknown
            = std::find(message.unknown.begin(), message.unknown.end(), question->request) != message.unknown.end();
        if (isUnknown) {
            question->asked.erase(message.from);
            question->unaware.insert(message.from);
        }
        if (isKnown || question->asked.empty())
            question->timer.cancel();
    }
}

} // namespace papayashelf
