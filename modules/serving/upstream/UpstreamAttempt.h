#pragma once

#include "entrance/upstream/UpstreamPool.h"
#include "gateway/streams/EventSplitter.h"
#include "gateway/upstreams/UpstreamRecord.h"
#include "serving/caller/CallerAnswer.h"
#include "serving/http/HeaderNames.h"
#include "serving/http/Message.h"
#include "serving/upstream/AnswerMemory.h"
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <optional>

namespace papayashelf {

constexpr int misdirectedRequestStatus = 421; /**< The upstream at the address is not the expected one. */

/** How an attempt ended. */
enum class AttemptEnd {
    Complete, /**< The complete answer was read, or its stream was forwarded to the caller. */
    NotSent, /**< Nothing was sent to the upstream. */
    NotRun, /**< The upstream guarantees that the request has not run. */
    Unanswered, /**< The request was sent and may have run, but no usable answer arrived. */
    Broken, /**< A stream ended early after its beginning was forwarded to the caller. */
    CallerDisconnected, /**< The caller disconnected during the attempt. */
};

/** Returns the stable name of an end, for logs and metrics. */
std::string_view toString(AttemptEnd end);

/** How much of the answer had arrived when an attempt ended. */
enum class AnswerProgress {
    Nothing, /**< No head of an answer to this request. */
    Head, /**< The head, but no complete event or body. */
    Events, /**< At least one complete event of a stream, or a complete body. */
};

/** Returns the stable name of a progress, for logs and metrics. */
std::string_view toString(AnswerProgress progress);

/** Who or what ended an attempt before its answer was complete. */
enum class AttemptEndedBy {
    Upstream, /**< It closed or reset the connection, or sent what is not an answer to this request. */
    Silence, /**< This VM, as nothing arrived for the time that it waits for the next bytes. */
    Deadline, /**< This VM, as the time of the request was over. */
    Bound, /**< This VM, as the answer exceeded a bound on its size. */
    Caller, /**< The caller disconnected. */
    Stop, /**< This VM, as the grace of its planned stop was over. */
};

/** Returns the stable name of an AttemptEndedBy, for logs. */
std::string_view toString(AttemptEndedBy endedBy);

/** Result of an attempt. */
struct AttemptOutcome {
    AttemptEnd end = AttemptEnd::NotSent;
    ResponseHead head; /**< Head of a complete answer or of a refusal. */
    std::string body;
    std::string detail; /**< Description of the failure, for the log. */
    AttemptEndedBy endedBy = AttemptEndedBy::Upstream; /**< Meaningless for a complete answer. */
    Milliseconds silentFor; /**< Time between the last bytes of the upstream and the end of the attempt. */
    std::optional<ReportedLoad> load;
    bool isNotSentGuaranteed = false; /**< Whether a relaying VM stated that no upstream has received the request. */
    bool isCrashSuspect = false; /**< Whether a relaying VM stated that an upstream crashed as it began to answer. */
    bool isOverLimit = false; /**< Whether the answer exceeded a bound on its size. */
    AnswerMemory::Reservation memory; /**< For the body. */
    bool isReused = false; /**< Whether the connection had served an earlier request. */
    AnswerProgress progress = AnswerProgress::Nothing;
    bool isConnectionLost = false; /**< Whether the upstream closed or reset the connection before the answer's end. */
};

/** Time limits of an attempt. After a connection is open, only the end is a limit in any case. */
struct AttemptTimeouts {
    Milliseconds connect; /**< Time to open a new connection. */
    TimePoint firstByte; /**< Time at which an attempt whose answer has not begun may be abandoned. */
    Milliseconds maximumSilence; /**< Time between two reads of the answer after which it may be abandoned. */
    TimePoint end; /**< Latest time for the answer to be complete. */
};

/**
    State that a request shares with its attempts: whether the caller is still connected, whether the VM stops, and the
    connection in use.

    When the caller disconnects or the time of a stop is over, the attempt in progress is aborted immediately.

    Thread safety: none; owned by one I/O thread.
*/
class ActiveRequest {
public:
    /** Records that the caller has disconnected and aborts the attempt in progress. */
    void noteCallerGone();

    /** Records that the VM stops too soon to go on, aborts the attempt in progress and calls the stop handler. */
    void noteStopped();

    /** Whether the VM stops too soon to go on. */
    bool isStopped() const { return this->stopped; }

    /** Sets a function that noteStopped() calls; empty for none. */
    void setStopHandler(std::function<void()> handler) { this->onStopped = std::move(handler); }

    /** Whether the caller has disconnected. */
    bool isCallerGone() const { return this->callerGone; }

    /** Sets the connection to close if the caller disconnects; null for none. */
    void setActiveConnection(UpstreamConnection* connection) { this->activeConnection = connection; }

private:
    void closeActiveConnection();

    bool callerGone = false;
    bool stopped = false;
    std::function<void()> onStopped;
    UpstreamConnection* activeConnection = nullptr;
};

/** Destination of the events of a stream. */
struct StreamTarget {
    CallerAnswer* answer = nullptr;
    EventSplitter* splitter = nullptr;
    std::function<void()> onFirstByte; /**< Called when the first event arrives. */
};

/**
    Sends a request to one upstream or another VM and reads the answer.

    An answer is valid only if it echoes the request id and carries the upstream's seal; a guarantee that the request
    has not run may lack both if it is the first answer on its connection. Other answers are read and dropped, as they
    belong to earlier requests.

    Thread safety: none; owned by one I/O thread.
*/
class UpstreamAttempt {
public:
    /** All references must outlive the attempt. */
    UpstreamAttempt(UpstreamPool& pool, AnswerMemory& memory, const HeaderNames& names, ActiveRequest& request);

    /** Sets a function that is called with each statement of the upstream, as soon as the head of an answer arrives. */
    void setStatementHandler(std::function<void(const UpstreamStatement&)> handler)
    {
        this->onStatement = std::move(handler);
    }

    /**
        Sets a function that is asked again and again while the upstream is silent for longer than AttemptTimeouts
        allow. The attempt is abandoned once it returns true; without it, at once.
    */
    void setAbandonHandler(std::function<bool(Milliseconds silentFor)> handler)
    {
        this->mayAbandon = std::move(handler);
    }

    /**
        Runs the attempt.

        @param requestBytes  the complete request, head and body
        @param requestId     the id that the answer must echo
        @param stream        destination of the events of a successful stream; null to read the answer completely
    */
    boost::asio::awaitable<AttemptOutcome> run(const Endpoint& endpoint, std::string_view requestBytes,
        std::string_view requestId, AttemptTimeouts timeouts, StreamTarget* stream);

private:
    using Parser = boost::beast::http::response_parser<boost::beast::http::string_body>;

    boost::asio::awaitable<bool> connect(const Endpoint& endpoint, Milliseconds limit);
    boost::asio::awaitable<bool> readHead(Parser& parser);
    boost::asio::awaitable<bool> readBody(Parser& parser, std::size_t maximumBytes);
    boost::asio::awaitable<AttemptOutcome> readAnswer(std::string_view requestId, StreamTarget* stream);
    boost::asio::awaitable<AttemptOutcome> forwardStream(Parser& parser, StreamTarget& stream);
    boost::asio::awaitable<bool> receive(TimePoint until);
    AttemptOutcome evaluateAnswer(Parser& parser);
    bool hasNotRunGuarantee(const Parser& parser) const;
    std::optional<ReportedLoad> readLoad(const Parser& parser) const;
    UpstreamStatement readStatement(const Parser& parser) const;
    AttemptOutcome fail(AttemptEnd end, std::string detail) const;
    AttemptEndedBy findWhoEndedIt() const;
    Milliseconds getSilence() const;
    /** Returns until when to wait for a silent upstream, or nothing to abandon the attempt. */
    std::optional<TimePoint> extendWait() const;
    bool exceed(std::string_view bound);
    void release(const Parser& parser);

    UpstreamPool& pool;
    const HeaderNames& names;
    ActiveRequest& request;
    std::unique_ptr<UpstreamConnection> connection;
    AttemptTimeouts timeouts;
    TimePoint
        lastBytesAt; /**< Time of the request's last byte, the last read from the upstream or the last events sent. */
    AnswerMemory::Reservation reservation;
    std::function<void(const UpstreamStatement&)> onStatement;
    std::function<bool(Milliseconds silentFor)> mayAbandon;
    std::string_view exceededBound; /**< Name of the bound that the answer exceeded; empty for none. */
    AnswerProgress progress = AnswerProgress::Nothing;
    bool isConnectionLost = false; /**< Whether the connection ended other than by a time limit of this VM. */
    bool hasEnded = false; /**< Whether the upstream closed its side of the connection cleanly. */
};

/**
    Returns true if nothing accepts connections at the endpoint. A connection that it accepts goes to the pool.

    @param limit  time after which an endpoint without any reaction counts as accepting
*/
boost::asio::awaitable<bool> refusesConnections(UpstreamPool& pool, const Endpoint& endpoint, Milliseconds limit);

} // namespace papayashelf
