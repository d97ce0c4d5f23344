#pragma once

/** The part of Exchange that carries one attempt's answer; included by Exchange.cpp only. */

#include "entrance/exchange/Exchange.h"
#include "entrance/request/ChatRequest.h"
#include "entrance/request/HeaderFields.h"
#include "entrance/upstream/TokenStream.h"
#include <algorithm>
#include <boost/beast/core/string.hpp>
#include <boost/json/parse.hpp>

namespace papayashelf {

/** Whether a head begins a stream of events. */
inline bool isEventStreamHead(const SourceHead& head)
{
    constexpr std::string_view eventStream = "text/event-stream";
    return head.status == 200 && findHeader(head.headers, "content-type").substr(0, eventStream.size()) == eventStream;
}

template <AnswerSink Sink>
template <typename Source>
boost::asio::awaitable<void> Exchange<Sink>::runAttempt(
    std::shared_ptr<Source> source, AttemptEnded ended, AttemptLimits limits)
{
    const auto self = this->shared_from_this();
    const SourceHead head = co_await source->open();
    ended.status = head.status;
    ended.result = head.result;
    ended.mayHaveRun = head.mayHaveRun;
    if (head.result == AttemptResult::Completed)
        ended.result = this->acceptHead(head, ended.attempt);
    if (ended.result == AttemptResult::Completed)
        ended.result = co_await this->carry(*source, head, ended, limits);
    if (ended.result != AttemptResult::Completed)
        source->cancel();
    source->release();
    ended.answerTokens = std::max(ended.answerTokens, this->request.deliveredTokens);
    this->noteEnded(ended);
    this->thread.report(ended);
    this->inbox.signal.notify();
}

template <AnswerSink Sink>
template <typename Source>
boost::asio::awaitable<AttemptResult> Exchange<Sink>::carry(
    Source& source, const SourceHead& head, AttemptEnded& ended, AttemptLimits limits)
{
    if (this->request.isChat && this->request.arrival.isStreamed && isEventStreamHead(head))
        co_return co_await this->carryTokens(source, ended, limits);
    // An answer that has begun can only be gone on with token by token.
    if (this->sink.hasBegun())
        co_return AttemptResult::Truncated;
    if (this->request.isChat)
        co_return co_await this->carryWhole(source, head, ended, limits);
    co_return co_await this->carryThrough(source, head, ended, limits);
}

template <AnswerSink Sink>
template <typename Source>
boost::asio::awaitable<AttemptResult> Exchange<Sink>::carryTokens(
    Source& source, AttemptEnded& ended, AttemptLimits limits)
{
    TokenStream tokens(this->request.deliveredTokens);
    bool hasBegun = false;
    while (true) {
        const SourcePiece piece = co_await source.read(hasBegun ? limits.betweenBytes : limits.firstByte);
        this->notePiece(piece, ended);
        std::string forwarded;
        const TokenStream::State state = tokens.read(piece.bytes, forwarded);
        ended.promptTokens = tokens.getPromptTokens();
        if (!forwarded.empty() && !hasBegun) {
            hasBegun = true;
            AnswerHead head;
            head.headers = { { "content-type", "text/event-stream" }, { "cache-control", "no-cache" } };
            head.isEventStream = true;
            this->beginAnswer(head, ended);
        }
        if (!forwarded.empty()) {
            const bool isSent = co_await this->send(forwarded);
            if (!isSent)
                co_return AttemptResult::Cancelled;
        }
        this->request.deliveredTokens = tokens.getDelivered();
        if (state == TokenStream::State::Complete)
            co_return co_await this->endAnswer() ? AttemptResult::Completed : AttemptResult::Cancelled;
        if (piece.result != AttemptResult::Completed)
            co_return piece.result;
        if (state == TokenStream::State::Broken || piece.isEnd)
            co_return AttemptResult::Truncated;
    }
}

template <AnswerSink Sink>
template <typename Source>
boost::asio::awaitable<AttemptResult> Exchange<Sink>::carryWhole(
    Source& source, const SourceHead& head, AttemptEnded& ended, AttemptLimits limits)
{
    std::string answer;
    while (true) {
        const SourcePiece piece = co_await source.read(answer.empty() ? limits.firstByte : limits.betweenBytes);
        this->notePiece(piece, ended);
        if (piece.result != AttemptResult::Completed)
            co_return piece.result;
        answer += piece.bytes;
        if (answer.size() > this->thread.getSettings().maximumWholeAnswerBytes)
            co_return AttemptResult::Truncated;
        if (piece.isEnd)
            break;
    }
    if (!source.isSelfDelimited())
        co_return AttemptResult::Truncated;
    this->countWholeAnswer(answer, ended);
    AnswerHead whole;
    whole.status = head.status;
    whole.headers = head.headers;
    whole.length = answer.size();
    this->beginAnswer(whole, ended);
    bool isSent = co_await this->send(answer);
    if (isSent)
        isSent = co_await this->endAnswer();
    co_return isSent ? AttemptResult::Completed : AttemptResult::Cancelled;
}

template <AnswerSink Sink>
template <typename Source>
boost::asio::awaitable<AttemptResult> Exchange<Sink>::carryThrough(
    Source& source, const SourceHead& head, const AttemptEnded& ended, AttemptLimits limits)
{
    AnswerHead through;
    through.status = head.status;
    through.headers = head.headers;
    through.length = head.length;
    this->beginAnswer(through, ended);
    if (!this->request.arrival.idempotencyKey.empty())
        this->kept.emplace();
    while (true) {
        const SourcePiece piece = co_await source.read(limits.betweenBytes);
        this->notePiece(piece, ended);
        if (piece.result != AttemptResult::Completed)
            co_return piece.result;
        this->keep(piece.bytes);
        // The rest is still read when the caller is gone: it tells whether the call ran to its end.
        if (!this->callerGone) {
            const bool isSent = co_await this->send(piece.bytes);
            if (!isSent)
                this->leave();
        }
        if (piece.isEnd)
            break;
    }
    if (!this->callerGone) {
        const bool isEnded = co_await this->endAnswer();
        if (!isEnded)
            this->leave();
    }
    this->reportKept(head, ended);
    co_return AttemptResult::Completed;
}

template <AnswerSink Sink> void Exchange<Sink>::keep(std::string_view piece)
{
    if (this->kept && this->kept->size() + piece.size() > this->thread.getSettings().keptAnswerBytes)
        this->kept.reset();
    if (this->kept)
        this->kept->append(piece);
}

template <AnswerSink Sink> void Exchange<Sink>::reportKept(const SourceHead& head, const AttemptEnded& attempt)
{
    if (!this->kept)
        return;
    this->thread.report(AnswerToKeep { this->id, attempt.attempt, head.status,
        std::string(findHeader(head.headers, "content-type")), std::move(*this->kept) });
    this->kept.reset();
}

template <AnswerSink Sink> boost::asio::awaitable<bool> Exchange<Sink>::send(std::string_view piece)
{
    co_await this->waitForTurn();
    const bool isSent = co_await this->sink.write(piece);
    this->passTurn();
    co_return isSent;
}

template <AnswerSink Sink> boost::asio::awaitable<bool> Exchange<Sink>::endAnswer()
{
    co_await this->waitForTurn();
    const bool isEnded = co_await this->sink.end();
    this->passTurn();
    co_return isEnded;
}

template <AnswerSink Sink> boost::asio::awaitable<void> Exchange<Sink>::waitForTurn()
{
    while (this->isSending)
        co_await this->sent.wait();
    this->isSending = true;
}

template <AnswerSink Sink> void Exchange<Sink>::passTurn()
{
    this->isSending = false;
    this->lastSent = std::chrono::steady_clock::now();
    this->sent.notify();
}

template <AnswerSink Sink> void Exchange<Sink>::beginAnswer(const AnswerHead& head, const AttemptEnded& attempt)
{
    if (!this->sink.hasBegun())
        this->sink.begin(head);
    this->isEventStream = head.isEventStream;
    this->lastSent = std::chrono::steady_clock::now();
    this->thread.report(AttemptBegan { this->id, attempt.attempt, attempt.status });
    if (this->isEventStream)
        this->inbox.signal.notify();
}

template <AnswerSink Sink> void Exchange<Sink>::countWholeAnswer(const std::string& answer, AttemptEnded& ended)
{
    boost::system::error_code error;
    const boost::json::value parsed = boost::json::parse(answer, error);
    const auto* const fields = error ? nullptr : parsed.if_object();
    const auto* const usage = fields ? fields->if_contains("usage") : nullptr;
    const auto readCount = [usage](std::string_view name) -> std::int64_t {
        const auto* const count = usage && usage->is_object() ? usage->get_object().if_contains(name) : nullptr;
        return count && count->is_int64() ? count->get_int64() : 0;
    };
    ended.promptTokens = readCount("prompt_tokens");
    ended.answerTokens = readCount("completion_tokens");
    if (ended.answerTokens == 0 && ended.status == 200)
        ended.answerTokens = estimateTokens(answer);
}

} // namespace papayashelf
