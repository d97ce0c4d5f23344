#pragma once

#include "entrance/caller/CallerStream.h"
#include "serving/http/Message.h"
#include <functional>

namespace papayashelf {

/**
    Writes the answer to one request. An answer that ends early is never shown as complete.

    Thread safety: none; owned by one I/O thread. One write at a time.
*/
class CallerAnswer {
public:
    /**
        @param stream     the caller's connection; must outlive the answer
        @param keepAlive  whether the caller wants to go on
        @param isLeaving  tells, when the head is written, whether this VM is stopping
    */
    CallerAnswer(CallerStream& stream, bool keepAlive, bool isHead, std::function<bool()> isLeaving);

    /** Writes a whole answer. False if the caller is gone. */
    boost::asio::awaitable<bool> writeWhole(const ResponseHead& head, std::string_view body);

    /** Starts an answer whose length is not known. False if the caller is gone. */
    boost::asio::awaitable<bool> begin(const ResponseHead& head);

    /** Writes a piece of it. False if the caller is gone. */
    boost::asio::awaitable<bool> write(std::string_view piece);

    /** Completes it. False if the caller is gone. */
    boost::asio::awaitable<bool> end();

    /** Whether anything of the answer has gone out. */
    bool hasBegun() const { return this->begun; }

    /** Whether the answer is whole and another request may follow. */
    bool mayGoOn() const { return this->ended && this->keepAlive; }

    /** Whether the answer is whole. */
    bool hasEnded() const { return this->ended; }

    /** Lets the connection end after this answer. */
    void closeAfter() { this->keepAlive = false; }

private:
    std::string formatHead(const ResponseHead& head);
    boost::asio::awaitable<bool> send(std::string_view bytes);

    CallerStream& stream;
    bool keepAlive;
    bool isHead;
    std::function<bool()> isLeaving;
    bool begun = false;
    bool ended = false;
};

} // namespace papayashelf
