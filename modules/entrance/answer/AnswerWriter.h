#pragma once

#include "entrance/answer/AnswerHead.h"
#include "entrance/answer/ErrorAnswer.h"
#include "entrance/caller/CallerStream.h"
#include "entrance/server/EntranceSettings.h"
#include <atomic>
#include <string>
#include <string_view>

namespace papayashelf {

/**
    Writes the answer to one request of one connection. An answer that ends early is never shown as complete: it lacks
    its last chunk or a part of its length, and the connection ends.

    Thread safety: none; owned by one I/O thread. One write at a time.
*/
class AnswerWriter {
public:
    /**
        @param stream     the caller's connection; must outlive the writer
        @param settings   must outlive the writer
        @param isLeaving  whether the VM is leaving; must outlive the writer
    */
    AnswerWriter(CallerStream& stream, const EntranceSettings& settings, const std::atomic<bool>& isLeaving);

    /** Prepares for the next request. @param isHead  whether its answers have no body */
    void reset(RequestId request, bool keepAlive, bool isHead);

    /** Sets the request's number once it is known. */
    void setRequest(RequestId request) { this->request = request; }

    /** Starts an answer; its head goes out with the first piece. */
    void begin(const AnswerHead& head);

    /** Writes a piece of the body. False if the caller is gone. */
    boost::asio::awaitable<bool> write(std::string_view piece);

    /** Completes the answer. False if the caller is gone or the body is shorter than its length. */
    boost::asio::awaitable<bool> end();

    /** Answers with an error, or ends an answer that has begun as visibly incomplete. */
    boost::asio::awaitable<void> refuse(const ErrorAnswer& error);
    boost::asio::awaitable<void> refuse(const RefuseRequest& refusal);

    /** Ends the connection at once; a write under way fails. */
    void abort();

    bool hasBegun() const { return this->begun; }

    /** True once the answer is whole. */
    bool hasEnded() const { return this->ended; }

    /** Whether the connection may outlive the answer. */
    bool isKeptAlive() const { return this->keepAlive; }

    /** Whether another request may follow on the connection. */
    bool mayGoOn() const { return this->keepAlive && this->ended; }

private:
    std::string formatHead(const AnswerHead& head);
    boost::asio::awaitable<bool> send(const std::vector<boost::asio::const_buffer>& pieces);

    CallerStream& stream;
    const EntranceSettings& settings;
    const std::atomic<bool>& isLeaving;
    RequestId request = 0;
    bool keepAlive = true;
    bool isHead = false;
    bool begun = false;
    bool ended = false;
    bool isChunked = false;
    bool isEventStream = false;
    std::uint64_t remaining = 0; /**< Bytes still owed of an answer with a length. */
    std::string pendingHead;
};

} // namespace papayashelf
