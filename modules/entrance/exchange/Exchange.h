#pragma once

#include "entrance/answer/AnswerHead.h"
#include "entrance/exchange/AttemptSource.h"
#include "entrance/relay/RelayTransport.h"
#include "entrance/server/IoThread.h"
#include "entrance/server/Signal.h"
#include "entrance/upstream/UpstreamSource.h"
#include <concepts>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace papayashelf {

/** Where an answer goes: a caller's connection or another VM. */
template <typename Sink>
concept AnswerSink = requires(Sink sink, const AnswerHead& head, std::string_view piece, const RefuseRequest& refusal)
{
    sink.begin(head);
    {
        sink.write(piece)
        } -> std::same_as<boost::asio::awaitable<bool>>;
    {
        sink.end()
        } -> std::same_as<boost::asio::awaitable<bool>>;
    {
        sink.refuse(refusal)
        } -> std::same_as<boost::asio::awaitable<void>>;
    sink.abort();
    {
        sink.hasBegun()
        } -> std::same_as<bool>;
    {
        sink.hasEnded()
        } -> std::same_as<bool>;
};

/** A request that is read and checked. */
struct ExchangeRequest {
    RequestArrival arrival;
    RequestHead head; /**< As it goes on to upstreams. */
    std::shared_ptr<const std::string> body;
    bool isChat = false;
    std::int64_t deliveredTokens = 0; /**< Tokens that the caller has from another VM. */
};

/**
    Carries out what the decisions direct for one request, from its arrival to its last byte.

    An attempt begins when the one before it has ended, so that no piece of an older answer can reach the caller. Beside
    an attempt that is silent another one may be opened: the one that sends something first, a usable head for the
    later attempt, ends the other. Thread safety: none; owned by one I/O thread.
*/
template <AnswerSink Sink> class Exchange : public std::enable_shared_from_this<Exchange<Sink>> {
public:
    /** @param thread, sink  must outlive the exchange */
    Exchange(IoThread& thread, ExchangeRequest request, Sink& sink);
    ~Exchange();
    Exchange(const Exchange&) = delete;
    Exchange& operator=(const Exchange&) = delete;

    /** Reports the request and serves it until the decisions are done with it or the caller is gone. */
    boost::asio::awaitable<void> run();

    /** The caller has closed its connection. */
    void leave();

private:
    using StartDirective = std::variant<StartAttempt, StartRelay>;

    /** An attempt under way. */
    struct Running {
        std::uint32_t attempt = 0;
        std::function<void()> cancel;
        bool isSilent = false;
        bool isGivenUp = false; /**< Cancelled because it was silent. */
    };

    boost::asio::awaitable<void> serve();
    boost::asio::awaitable<void> conclude();
    void abortIfStuck();
    void startHeartbeat();
    boost::asio::awaitable<void> sendHeartbeat();
    void obeyWaiting();
    void obey(const StartAttempt& directive) { this->queueStart(directive); }
    void obey(const StartRelay& directive) { this->queueStart(directive); }
    void obey(const CancelAttempt& directive);
    void obey(const RefuseRequest& directive);
    void obey(const FinishRequest& directive);
    void obey(const StoredAnswer& directive);
    boost::asio::awaitable<void> sendStored();
    template <typename Directive> void queueStart(const Directive& directive);
    bool mayKeep(std::uint32_t attempt) const;
    void decline(std::uint32_t attempt, AttemptResult result);
    template <typename Source>
    void run(const std::shared_ptr<Source>& source, std::uint32_t attempt, AttemptLimits limits);
    void noteSilent(std::uint32_t attempt);
    void noteActive(std::uint32_t attempt);
    void notePiece(const SourcePiece& piece, const AttemptEnded& attempt);
    AttemptResult acceptHead(const SourceHead& head, std::uint32_t attempt);
    void noteEnded(AttemptEnded& ended);
    void noticeCallerGone();
    void startQueued();
    void begin(const StartAttempt& directive);
    void begin(const StartRelay& directive);
    void cancelRunning();
    bool isOver() const;
    TimePoint nextHeartbeat() const;

    template <typename Source>
    boost::asio::awaitable<void> runAttempt(std::shared_ptr<Source> source, AttemptEnded ended, AttemptLimits limits);
    template <typename Source>
    boost::asio::awaitable<AttemptResult> carry(
        Source& source, const SourceHead& head, AttemptEnded& ended, AttemptLimits limits);
    template <typename Source>
    boost::asio::awaitable<AttemptResult> carryTokens(Source& source, AttemptEnded& ended, AttemptLimits limits);
    template <typename Source>
    boost::asio::awaitable<AttemptResult> carryWhole(
        Source& source, const SourceHead& head, AttemptEnded& ended, AttemptLimits limits);
    template <typename Source>
    boost::asio::awaitable<AttemptResult> carryThrough(
        Source& source, const SourceHead& head, const AttemptEnded& ended, AttemptLimits limits);
    boost::asio::awaitable<bool> send(std::string_view piece);
    boost::asio::awaitable<bool> endAnswer();
    boost::asio::awaitable<void> waitForTurn();
    void passTurn();
    void beginAnswer(const AnswerHead& head, const AttemptEnded& attempt);
    void keep(std::string_view piece);
    void reportKept(const SourceHead& head, const AttemptEnded& attempt);
    void countWholeAnswer(const std::string& answer, AttemptEnded& ended);
    UpstreamRequest makeUpstreamRequest(const StartAttempt& directive) const;

    IoThread& thread;
    ExchangeRequest request;
    Sink& sink;
    const RequestId id;
    DirectiveInbox inbox;
    std::optional<Running> running; /**< The attempt that was begun last. */
    std::optional<Running> silent; /**< A silent attempt that goes on until the running one is accepted. */
    std::optional<StartDirective> queued;
    std::optional<RefuseRequest> refusal;
    std::optional<StoredAnswer> stored;
    std::optional<std::string> kept; /**< Of a keyed call, while it is small enough to be kept. */
    std::uint32_t lastAttempt = 0;
    bool finished = false;
    bool callerGone = false;
    bool isCallerGoneReported = false;
    bool isEventStream = false;
    bool isSending = false;
    bool isHeartbeatPending = false;
    TimePoint stuckAt = TimePoint::max(); /**< When a refused answer that is still being written is cut off. */
    TimePoint lastSent;
    Signal sent;
};

} // namespace papayashelf
