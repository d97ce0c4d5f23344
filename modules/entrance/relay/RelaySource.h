#pragma once

#include "entrance/exchange/AttemptSource.h"
#include "entrance/relay/RelayTransport.h"
#include "entrance/server/Signal.h"
#include <functional>
#include <memory>

namespace papayashelf {

/**
    The answer to a request that another VM serves, read like that of an upstream.

    Thread safety: none; owned by one I/O thread.
*/
class RelaySource : public std::enable_shared_from_this<RelaySource> {
public:
    RelaySource(
        const boost::asio::any_io_executor& executor, std::shared_ptr<RelayExchange> exchange, AttemptLimits limits);

    /** As UpstreamSource::setSilenceHandler(). */
    void setSilenceHandler(std::function<void()> handler) { this->onSilence = std::move(handler); }

    /** Starts to wait for the answer. Call once, before open(). */
    void listen();

    /** Waits for the answer's head. */
    boost::asio::awaitable<SourceHead> open();

    /** Reads the next piece of the body. @param limit  longest wait for it */
    boost::asio::awaitable<SourcePiece> read(Milliseconds limit);

    /** Gives the answer up; an operation under way ends as Cancelled. */
    void cancel();

    /** Ends the use of the source. */
    void release() { this->exchange->cancel(); }

    bool isSelfDelimited() const { return true; }

private:
    /** Waits for the next event; nothing if cancelled, or the limit passed without a silence handler. */
    boost::asio::awaitable<std::optional<RelayAnswerEvent>> next(Milliseconds limit);

    boost::asio::any_io_executor executor;
    std::shared_ptr<RelayExchange> exchange;
    AttemptLimits limits;
    TimePoint deadline;
    Signal signal;
    std::function<void()> onSilence;
    std::string piece;
    bool cancelled = false;
};

} // namespace papayashelf
