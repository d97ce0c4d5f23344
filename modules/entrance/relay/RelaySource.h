#pragma once

#include "entrance/exchange/AttemptSource.h"
#include "entrance/relay/RelayTransport.h"
#include "entrance/server/Signal.h"
#include <memory>

namespace papayashelf {

/**
    The answer to a request that another VM serves, read like that of an upstream.

    Thread safety: none; owned by one I/O thread.
*/
class RelaySource : public std::enable_shared_from_this<RelaySource> {
public:
    RelaySource(const boost::asio::any_io_executor& executor, std::shared_ptr<RelayExchange> exchange);

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
    /** Waits for the next event; nothing if cancelled or the limit passed. */
    boost::asio::awaitable<std::optional<RelayAnswerEvent>> next(TimePoint until);

    boost::asio::any_io_executor executor;
    std::shared_ptr<RelayExchange> exchange;
    Signal signal;
    std::string piece;
    bool cancelled = false;
};

} // namespace papayashelf
