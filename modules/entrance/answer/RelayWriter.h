#pragma once

#include "entrance/answer/AnswerHead.h"
#include "entrance/server/Signal.h"
#include <memory>
#include <string_view>

namespace papayashelf {

/**
    Writes the answer to a request that another VM relayed here, as fast as that VM takes it.

    Thread safety: none; owned by one I/O thread. One write at a time.
*/
class RelayWriter {
public:
    RelayWriter(const boost::asio::any_io_executor& executor, std::shared_ptr<RelayExchange> exchange);
    ~RelayWriter();
    RelayWriter(const RelayWriter&) = delete;
    RelayWriter& operator=(const RelayWriter&) = delete;

    /** Starts an answer. */
    void begin(const AnswerHead& head);

    /** Writes a piece of the body. False if the other VM is gone. */
    boost::asio::awaitable<bool> write(std::string_view piece);

    /** Completes the answer. False if the other VM is gone. */
    boost::asio::awaitable<bool> end();

    /** Hands the refusal to the other VM, or ends an answer that has begun as cut. */
    boost::asio::awaitable<void> refuse(const RefuseRequest& refusal);

    /** Ends the answer as cut; a write under way fails. */
    void abort();

    /** Wakes a write that waits for room. */
    void wake() { this->roomSignal.notify(); }

    /** Whether the other VM wants no more. */
    bool isCancelled() const { return this->exchange->isCancelled(); }

    bool hasBegun() const { return this->begun; }
    bool hasEnded() const { return this->ended; }

private:
    std::shared_ptr<RelayExchange> exchange;
    Signal roomSignal;
    bool begun = false;
    bool ended = false;
    bool aborted = false;
};

} // namespace papayashelf
