#pragma once

#include "foundation/time/Clock.h"
#include "standins/engine/StandinHttp.h"
#include <atomic>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <deque>
#include <map>
#include <memory>
#include <set>

namespace papayashelf {

/** The kind of answer that a sealed upstream sends. */
enum class AnswerKind {
    Complete, /**< Sealed and complete. */
    Failure, /**< A sealed 500. */
    NotRun, /**< A refusal with the guarantee that the request has not run. */
    Rejected, /**< As NotRun, and names the request. */
    Misdirected, /**< A refusal of another upstream that uses the address now. */
    EarlierNotRun, /**< A refusal with that guarantee that names no request, followed by the complete answer. */
    TruncatedHead, /**< The connection ends within the head, after the seal. */
    TruncatedHeadLine, /**< The connection ends within a header line, after the seal. */
    Unsealed, /**< A success without the seal. */
    OtherId, /**< An answer to another request, followed by the right one. */
    ManyOtherIds, /**< Eight answers to another request, followed by the right one. */
    Truncated, /**< The body is shorter than its Content-Length. */
    TruncatedEvent, /**< A stream that ends in the middle of its third event. */
    NoResponse, /**< No answer; the connection stays open. */
    Late, /**< Complete, after SealedUpstream::lateness. */
    LateRejected, /**< As Rejected, after SealedUpstream::lateness. */
    Large, /**< A complete stream of more bytes than the sockets between it and a caller hold. */
    Stalled, /**< A stream without length that stops after its second event; see SealedUpstream::resetStalled(). */
    Paused, /**< A complete stream with a pause of SealedUpstream::pause after its second event. */
    Reset, /**< The connection is closed without an answer. */
    Coded, /**< The body has a transfer coding and ends with the connection. */
    CodedWithLength, /**< The head names a transfer coding and a length. */
    CodedInChunks, /**< The body has a transfer coding below its chunks. */
    WithoutLength, /**< The end of the connection delimits the body. */
    EndlessHead, /**< A status line and header fields without end. */
    EndlessInterim, /**< Interim answers without end. */
    EndlessUnsealedBody, /**< A body without end that no seal announces. */
    EndlessBody, /**< A sealed chunked body without end. */
    EndlessEvent, /**< A sealed stream whose first event has no end. */
    EndlessComments, /**< A sealed stream of comments without end. */
    EndlessEmptyLines, /**< A sealed stream of empty lines without end. */
    EndlessRepeats, /**< A sealed stream that repeats its first event without end. */
    EndlessChunkExtension, /**< A sealed body whose first chunk size has an extension without end. */
    StatedInInterim, /**< Complete, after an interim answer that states leaving, a limit and a time. */
    StatedInTrailer, /**< Complete, with a trailer that states the same. */
    TrailingBytes, /**< A complete answer followed by bytes that are no HTTP answer. */
};

/**
    A fake upstream that seals its answers and can be told, request by request, to misbehave.

    Thread safety: only the owner calls queueAnswers(), before getRequests() lists the request that it applies to.
*/
class SealedUpstream {
public:
    /** Longer than a repeatable request waits for its first upstream in ServingHarness, shorter than its deadline. */
    static constexpr std::chrono::milliseconds lateness { 900 };

    /** Longer than a resumable stream waits for its next event in ServingHarness, shorter than its deadline. */
    static constexpr std::chrono::milliseconds pause { 1'500 };

    /** Pause between events that the route /stream/patient/ of ServingHarness still counts as on time. */
    static constexpr Milliseconds longestUsualPause { 500 };

    /** Events of a large stream. */
    static constexpr int largeStreamEvents = 400;

    /** Prompt part that crashes the upstream as it answers, after the events set by setEventsBeforeCrash(). */
    static constexpr std::string_view deadlyPart = "dead";

    /** Text in the target of requests that crash the upstream before it answers, unless their body is harmlessBody. */
    static constexpr std::string_view deadlyTarget = "deadly";
    static constexpr std::string_view harmlessBody = "harmless";

    /** Creates the server without starting it. */
    SealedUpstream();
    ~SealedUpstream() { this->end(); }

    /** Returns the endpoint of the started server. */
    const Endpoint& getEndpoint() const { return this->endpoint; }

    /** Starts the server on a free port and returns its endpoint. */
    Endpoint start();

    /** Ends the server as a crash does: its connections end, and new ones are refused. */
    void end();

    /** Refuses new connections from now on, and leaves the open ones as they are. */
    void refuse() { this->http->stopListening(); }

    /** Starts the server again at the endpoint that it had. Precondition: it was ended. */
    void startAgain();

    /** Replaces the kinds of the next answers; all later answers are complete. */
    void queueAnswers(std::deque<AnswerKind> kinds);

    /** Sets the limit that sealed answers state from now on; empty for none. */
    void setStatedLimit(const std::string& limit);

    /** Sets header lines, each with its end, that answers to the request carry from now on; empty for none. */
    void setStatedHeaders(const std::string& lines);

    /** Sends a copy of each refusal that names its request, ahead of the next answer to that request on the same
        connection. */
    void repeatRefusals() { this->repeatsRefusals = true; }

    /** Sets what answers on its health say of its cold time; empty for the truth. */
    void setStatedColdTime(const std::string& milliseconds);

    /** Sets the number of events after which deadlyPart crashes the upstream; by default it crashes within the first.
     */
    void setEventsBeforeCrash(int events) { this->eventsBeforeCrash = events; }

    /** Path at which it tells its health, and after startAgain() that it is cold. */
    static constexpr std::string_view healthPath = "/health";

    /** Time for which it says that it is cold after startAgain(). */
    static constexpr std::chrono::milliseconds coldTime { 3'000 };

    /** Resets the connections of stalled streams. Precondition: it is started. */
    void resetStalled();

    /**
        Returns the requests received since the last start, but for those for its health; none while it is ended. Once
        a request is listed, queueAnswers() no longer changes its answer.
    */
    std::vector<StandinRequest> getRequests() const;

    /** Returns the bytes of endless answers that were sent so far. */
    std::size_t countEndlessBytes() const { return this->endlessBytes; }

    /** Waits until a connection with a request that got no answer was closed; false if that takes implausibly long. */
    bool waitUntilAbandoned() const { return this->http->waitForCount("abandoned", 1); }

    /** Returns the number of connections over which requests arrived. */
    std::size_t countConnectionsUsed() const;

private:
    boost::asio::awaitable<bool> handle(const StandinHttp::Request& request, StandinHttp::Stream& stream);
    /** Lists the request and returns the kind of its answer. */
    AnswerKind receive(const StandinHttp::Request& request, unsigned short port);
    boost::asio::awaitable<void> waitUntilClosed(StandinHttp::Stream& stream);
    boost::asio::awaitable<bool> sendWithPause(const StandinHttp::Request& request, StandinHttp::Stream& stream);
    boost::asio::awaitable<bool> stall(const StandinHttp::Request& request, StandinHttp::Stream& stream);
    std::string addStatements(std::string answer) const;
    void listen(const Endpoint& at);
    std::string makeHealthAnswer() const;
    /** Returns the answer after a copy of the refusal that the request got on its connection, if it got one. */
    std::string repeatRefusal(const StandinHttp::Request& request, unsigned short port, const std::string& answer);
    /** Sends the head, some events and a part of the next one, and refuses all connections from then on. */
    boost::asio::awaitable<bool> crash(const StandinHttp::Request& request, StandinHttp::Stream& stream);
    boost::asio::awaitable<bool> sendEndlessly(std::string begin, std::string repeated, StandinHttp::Stream& stream);

    mutable std::mutex mutex;
    std::deque<AnswerKind> queuedAnswers;
    std::string statedLimit;
    std::string statedHeaders;
    std::string statedColdTime;
    std::atomic<std::size_t> endlessBytes = 0;
    std::atomic<int> eventsBeforeCrash = 0;
    std::atomic<bool> repeatsRefusals = false;
    /** Refusals by the remote port of their connection and the request's id; used on the server's thread. */
    std::map<std::pair<unsigned short, std::string>, std::string> refusals;
    std::vector<StandinRequest> requests;
    std::vector<unsigned short> ports; /**< Remote port of the connection of each request. */
    Endpoint endpoint;
    std::chrono::steady_clock::time_point coldUntil;
    std::set<boost::asio::steady_timer*> stalled; /**< One for each stalled stream; used on the server's thread. */
    std::unique_ptr<StandinHttp> http; /**< Null while it is ended. */
};

} // namespace papayashelf
