#pragma once

#include "entrance/upstream/UpstreamPool.h"
#include "gateway/streams/EventSplitter.h"
#include "gateway/upstreams/UpstreamRecord.h"
#include "serving/caller/CallerAnswer.h"
#include "serving/http/HeaderNames.h"
#include "serving/http/MemoryBudget.h"
#include "serving/http/Message.h"
#include "serving/upstream/AttemptOutcome.h"
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <optional>
#include <set>

namespace papayashelf {

constexpr int misdirectedRequestStatus = 421; /**< The upstream at the address is not the expected one. */

/** Time limits of an attempt. After a connection is open, only the end is a limit in any case. */
struct AttemptTimeouts {
    Milliseconds connect; /**< Time to open a new connection. */
    TimePoint firstByte; /**< Time at which an attempt whose answer has not begun may be abandoned. */
    Milliseconds maximumSilence; /**< Time between two reads of the answer after which it may be abandoned. */
    TimePoint end; /**< Latest time for the answer to be complete. */
};

/**
    State that a request shares with its attempts: whether the caller is still connected, whether the VM stops, and the
    connections in use.

    When the caller disconnects or the time of a stop is over, the attempts in progress are aborted immediately.

    Thread safety: none; owned by one I/O thread.
*/
class ActiveRequest {
public:
    /** Records that the caller has disconnected and aborts the attempts in progress. */
    void noteCallerGone();

    /** Records that the VM stops too soon to go on, aborts the attempts in progress and calls the stop handler. */
    void noteStopped();

    /** Whether the VM stops too soon to go on. */
    bool isStopped() const { return this->stopped; }

    /** Sets a function that noteStopped() calls; empty for none. */
    void setStopHandler(std::function<void()> handler) { this->onStopped = std::move(handler); }

    /** Whether the caller has disconnected. */
    bool isCallerGone() const { return this->callerGone; }

    /** Adds a connection to close if the caller disconnects. It must be removed before it is destroyed. */
    void addConnection(UpstreamConnection* connection) { this->connections.insert(connection); }

    /** Removes a connection; does nothing if it was not added. */
    void removeConnection(UpstreamConnection* connection) { this->connections.erase(connection); }

private:
    void closeConnections();

    bool callerGone = false;
    bool stopped = false;
    std::function<void()> onStopped;
    std::set<UpstreamConnection*> connections;
};

/** Destination of the events of a stream. */
struct StreamTarget {
    CallerAnswer* answer = nullptr;
    EventSplitter* splitter = nullptr;
    std::function<void()> onFirstByte; /**< Called when the first event arrives. */
    /** Called before the first event; returns false if this upstream must not bring events of the stream. */
    std::function<bool()> mayBringEvents;
    std::function<HeaderFields()> makeAddedHeaders; /**< Returns headers that follow those of the upstream. */
};

/**
    Sends a request to one upstream or another VM and reads the answer.

    An answer is valid only if it names the request and carries the upstream's seal; a guarantee that the request has
    not run may lack both where the connection can tell its owner. Other answers are read and dropped.

    Thread safety: none; owned by one I/O thread.
*/
class UpstreamAttempt {
public:
    /** All references must outlive the attempt. */
    UpstreamAttempt(UpstreamPool& pool, MemoryBudget& memory, const HeaderNames& names, ActiveRequest& request);

    /** Sets a function that is called with each statement of the upstream, as soon as the head of an answer arrives. */
    void setStatementHandler(std::function<void(const UpstreamStatement&)> handler)
    {
        this->onStatement = std::move(handler);
    }

    /** Sets a function that is called with each answer that is dropped, as it does not belong to the request. */
    void setDroppedAnswerHandler(std::function<void(const DroppedAnswer&)> handler)
    {
        this->onDroppedAnswer = std::move(handler);
    }

    /** Sets a function that is called when a new connection to the upstream was opened. */
    void setConnectedHandler(std::function<void()> handler) { this->onConnected = std::move(handler); }

    /** Sets a function that is called whenever bytes of the upstream have arrived. */
    void setBytesHandler(std::function<void()> handler) { this->onBytes = std::move(handler); }

    /** Called while the upstream is silent; returns true to abandon the attempt. */
    using SilenceHandler = std::function<boost::asio::awaitable<bool>()>;

    /**
        Sets a function that is called again and again while the upstream is silent for longer than AttemptTimeouts
        allow. It may take its time: nothing that the upstream sends meanwhile is lost. The attempt is abandoned once it
        returns true; without it, at once.
    */
    void setSilenceHandler(SilenceHandler handler) { this->onSilence = std::move(handler); }

    /**
        Sets a function that is called once if the upstream sends something, or ends the connection, while the silence
        handler runs; empty for none. Only for the silence handler.
    */
    void setActivityHandler(std::function<void(bool hasEnded)> handler);

    /** Returns the time since the last bytes of the upstream. */
    Milliseconds getSilence() const;

    /** Ends the attempt, as an earlier one at the same request goes on. */
    void cancel();

    /** Ends the attempt, as its upstream may be of another version than the one that began the stream. */
    AttemptOutcome reject();

    /** Returns the version that a relaying VM states for the upstream, or an empty one. Precondition: open() returned
        nothing. */
    SoftwareVersion getRelayedVersion() const;

    ~UpstreamAttempt() { this->request.removeConnection(this->connection.get()); }
    UpstreamAttempt(const UpstreamAttempt&) = delete;
    UpstreamAttempt& operator=(const UpstreamAttempt&) = delete;

    /**
        Sends the request and reads the answer's head. Returns nothing if the upstream has accepted the request, and
        finish() can read the rest; otherwise how the attempt ended.

        @param head, body  the complete request
        @param requestId   the id that the answer must echo
        @param isStream    whether a success is a stream of events
    */
    boost::asio::awaitable<std::optional<AttemptOutcome>> open(const Endpoint& endpoint, std::string_view head,
        std::string_view body, std::string_view requestId, AttemptTimeouts timeouts, bool isStream);

    /** Replaces the time limits, for the rest of the answer. */
    void setTimeouts(AttemptTimeouts newTimeouts) { this->timeouts = newTimeouts; }

    /**
        Reads the rest of the answer. Precondition: open() returned nothing.

        @param stream  destination of the events of a stream; null for an answer that is read completely
    */
    boost::asio::awaitable<AttemptOutcome> finish(StreamTarget* stream);

private:
    using Parser = boost::beast::http::response_parser<boost::beast::http::string_body>;

    boost::asio::awaitable<bool> connect(const Endpoint& endpoint, Milliseconds limit);
    boost::asio::awaitable<bool> readHead(Parser& parser);
    boost::asio::awaitable<bool> readBody(Parser& parser, std::size_t maximumBytes);
    boost::asio::awaitable<std::optional<AttemptOutcome>> readAnswer(bool isStream);
    boost::asio::awaitable<AttemptOutcome> forwardStream(Parser& parser, StreamTarget& stream);
    boost::asio::awaitable<bool> receive(TimePoint until);
    /** Returns true to go on with an upstream that was silent for too long. */
    boost::asio::awaitable<bool> outlastSilence();
    bool isEnded() const;
    AttemptOutcome evaluateAnswer(Parser& parser);
    bool hasNotRunGuarantee(const Parser& parser) const;
    std::optional<ReportedLoad> readLoad(const Parser& parser) const;
    UpstreamStatement readStatement(const Parser& parser) const;
    /** Returns an outcome that tells of the connection only. */
    AttemptOutcome makeOutcome() const;
    AttemptOutcome fail(AttemptEnd end, std::string detail) const;
    void noteDropped(const Parser& parser) const;
    AttemptEndedBy findWhoEndedIt() const;
    /** Returns until when to wait for a silent upstream, or nothing to abandon the attempt. */
    std::optional<TimePoint> extendWait();
    bool exceed(std::string_view bound);
    void release(const Parser& parser);

    UpstreamPool& pool;
    const HeaderNames& names;
    ActiveRequest& request;
    std::unique_ptr<UpstreamConnection> connection;
    std::unique_ptr<Parser> parser; /**< Of the answer whose head was read last. */
    AttemptTimeouts timeouts;
    TimePoint
        lastBytesAt; /**< Time of the request's last byte, the last read from the upstream or the last events sent. */
    MemoryBudget::Reservation reservation;
    std::function<void(const UpstreamStatement&)> onStatement;
    std::function<void(const DroppedAnswer&)> onDroppedAnswer;
    std::function<void()> onConnected;
    std::function<void()> onBytes;
    SilenceHandler onSilence;
    std::shared_ptr<std::function<void(bool hasEnded)>> onActivity;
    bool isReading = false;
    bool isRefused = false; /**< Whether nothing accepted the connection. */
    bool isSilentTooLong = false; /**< Whether the read in progress was ended to call the silence handler. */
    bool isAbandoned = false;
    bool isCancelled = false;
    bool isOfOtherVersion = false;
    std::string_view exceededBound; /**< Name of the bound that the answer exceeded; empty for none. */
    AnswerProgress progress = AnswerProgress::Nothing;
    bool isConnectionLost = false; /**< Whether the connection ended other than by a time limit of this VM. */
    bool hasEndedInOrder = false; /**< Whether the last read met the connection's end and no operation its loss. */
};

/** Prepares a connection that was just opened for requests. */
void prepareUpstreamSocket(boost::asio::ip::tcp::socket& socket);

} // namespace papayashelf
