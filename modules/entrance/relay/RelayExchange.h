#pragma once

#include "dispatch/messages/RequestMessages.h"
#include <cstddef>
#include <deque>
#include <functional>
#include <mutex>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace papayashelf {

/** A header field of a request or an answer. */
using HeaderField = std::pair<std::string, std::string>;

/** The head of a relayed answer, as the upstream gave it, without hop-by-hop fields. */
struct RelayAnswerHead {
    int status = 0;
    std::vector<HeaderField> headers;

    bool operator==(const RelayAnswerHead&) const = default;
};

/** Bytes of a relayed answer's body, without any transfer coding. */
struct RelayAnswerBytes {
    std::string bytes;

    bool operator==(const RelayAnswerBytes&) const = default;
};

/** The relayed answer is over; anything but Completed says why it is not whole. */
struct RelayAnswerEnd {
    AttemptResult result = AttemptResult::Completed;
    std::optional<RefuseRequest> refusal; /**< Set when the other VM refused, before an answer began. */

    bool operator==(const RelayAnswerEnd&) const = default;
};

/** One step of a relayed answer: a head, any number of bytes, an end. */
using RelayAnswerEvent = std::variant<RelayAnswerHead, RelayAnswerBytes, RelayAnswerEnd>;

/**
    Carries one answer between the entrance and whatever joins two VMs, with flow control.

    The producer may have at most a window of unread bytes in it; the consumer frees room by reading. Either side may
    live on any thread.

    Thread safety: one producer and one consumer, each from one thread at a time. The wake functions are called from
    the other side's thread, outside the lock, and must not block.
*/
class RelayExchange {
public:
    /** @param windowBytes  most answer bytes that may wait unread; at least 1 */
    explicit RelayExchange(std::size_t windowBytes);

    /**
        Sets what tells the producer that room was freed or the consumer cancelled.
        Precondition: called before the consumer can read.
    */
    void setProducerWake(std::function<void()> wake);

    /**
        Sets what tells the consumer that there is something to read. Called at once if there already is.
    */
    void setConsumerWake(std::function<void()> wake);

    /** Bytes that the producer may write now; 0 when it has to wait. */
    std::size_t getRoom() const;

    /**
        Appends an event. Returns false, and drops it, if the consumer cancelled or the answer has already ended.
        A piece that passes the window ends the answer as Cut, so that memory stays bounded whatever the producer does.
    */
    bool write(RelayAnswerEvent event);

    /** Takes the oldest event, or nothing if none waits. */
    std::optional<RelayAnswerEvent> read();

    /** The consumer wants no more: what waits is dropped and later writes fail. */
    void cancel();

    /** True once the consumer has cancelled. */
    bool isCancelled() const;

private:
    using Lock = std::unique_lock<std::mutex>;

    static void wakeOutside(Lock& lock, const std::function<void()>& wake);

    const std::size_t windowBytes;
    mutable std::mutex mutex;
    std::deque<RelayAnswerEvent> events;
    std::size_t waitingBytes = 0;
    bool ended = false;
    bool cancelled = false;
    std::function<void()> producerWake;
    std::function<void()> consumerWake;
};

} // namespace papayashelf
