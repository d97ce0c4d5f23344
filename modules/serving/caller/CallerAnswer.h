#pragma once

#include "entrance/caller/CallerStream.h"
#include "serving/http/Message.h"
#include <functional>

namespace papayashelf {

/**
    Writes the answer to one request to the caller's connection.

    An answer that ends early stays recognizably incomplete.

    Thread safety: none; owned by one I/O thread. Only one write may be in progress.
*/
class CallerAnswer {
public:
    /**
        @param stream         the caller's connection; must outlive the answer
        @param keepAlive      whether the caller asks to keep the connection open
        @param isHeadRequest  whether the answer must have no body because the method is HEAD
        @param isStopping     called when the head is written; true closes the connection after the answer
    */
    CallerAnswer(CallerStream& stream, bool keepAlive, bool isHeadRequest, std::function<bool()> isStopping);

    /** Writes a complete answer. False if the caller has disconnected. */
    boost::asio::awaitable<bool> writeComplete(const ResponseHead& head, std::string_view body);

    /** Starts a chunked answer of unknown length. False if the caller has disconnected. */
    boost::asio::awaitable<bool> begin(const ResponseHead& head);

    /** Writes one chunk of an answer started by begin(). False if the caller has disconnected. */
    boost::asio::awaitable<bool> write(std::string_view piece);

    /** Completes an answer started by begin(). False if the caller has disconnected. */
    boost::asio::awaitable<bool> end();

    /** Whether writing of the answer has begun. */
    bool hasBegun() const { return this->begun; }

    /** Whether the answer is complete and the connection may serve another request. */
    bool mayServeNextRequest() const { return this->ended && this->keepAlive; }

    /** Whether the answer is complete. */
    bool hasEnded() const { return this->ended; }

    /** Closes the connection after this answer. */
    void disableKeepAlive() { this->keepAlive = false; }

private:
    std::string formatHead(const ResponseHead& head);
    boost::asio::awaitable<bool> send(std::string_view bytes);

    CallerStream& stream;
    bool keepAlive;
    bool isHeadRequest;
    std::function<bool()> isStopping;
    bool begun = false;
    bool ended = false;
};

} // namespace papayashelf
