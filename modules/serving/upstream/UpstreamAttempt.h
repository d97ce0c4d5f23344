#pragma once

#include "entrance/upstream/UpstreamPool.h"
#include "gateway/streams/EventSplitter.h"
#include "gateway/upstreams/UpstreamRecord.h"
#include "serving/caller/CallerAnswer.h"
#include "serving/http/HeaderNames.h"
#include "serving/http/Message.h"
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <optional>

namespace papayashelf {

/** How an attempt ended. */
enum class AttemptEnd {
    Whole, /**< The answer is here, or has gone on to the caller, to its end. */
    NotSent, /**< Nothing reached the upstream. */
    NotRun, /**< The upstream says that the request has not run. */
    Unanswered, /**< Sent; no usable answer came. It may have run. */
    Broken, /**< A stream whose beginning went on to the caller ended too early. */
    CallerDisconnected,
};

/** Stable name of an end, for logs. */
std::string_view toString(AttemptEnd end);

/** What came of an attempt. */
struct AttemptOutcome {
    AttemptEnd end = AttemptEnd::NotSent;
    ResponseHead head; /**< Of a whole answer that was not streamed, or of a refusal. */
    std::string body;
    std::string detail; /**< What went wrong, for the log. */
    std::optional<ReportedLoad> load;
    bool isReused = false; /**< It went over a connection that had served before. */
};

/** Times that bound an attempt. */
struct AttemptTimes {
    Milliseconds connect; /**< For a new connection. */
    TimePoint firstByte; /**< Until the answer begins. */
    Milliseconds silence; /**< Longest time between two pieces of the answer. */
    TimePoint end; /**< Until the answer is whole. */
};

/**
    A request's stay on this VM, as far as its attempts need it: the caller may go at any moment, and what is under way
    then ends at once.

    Thread safety: none; owned by one I/O thread.
*/
class ActiveRequest {
public:
    /** The caller has gone: the attempt under way ends. */
    void leave();

    bool isCallerGone() const { return this->callerGone; }

    /** The connection that an attempt uses, or null. */
    void setActive(UpstreamConnection* connection) { this->active = connection; }

private:
    bool callerGone = false;
    UpstreamConnection* active = nullptr;
};

/** Where the events of a stream go. */
struct StreamTarget {
    CallerAnswer* answer = nullptr;
    EventSplitter* splitter = nullptr;
    std::function<void()> onFirstByte; /**< Called when the first event comes. */
};

/**
    Sends a request to one upstream, or to another VM, and reads its answer.

    An answer counts only if it bears the request's id and, as a success, the upstream's seal; one that belongs to an
    earlier request of the connection is read and dropped. Thread safety: none; owned by one I/O thread.
*/
class UpstreamAttempt {
public:
    /** All must outlive the attempt. */
    UpstreamAttempt(UpstreamPool& pool, const HeaderNames& names, ActiveRequest& request);

    /**
        Runs the attempt.

        @param requestBytes  the whole request, head and body
        @param requestId     the id that the answer must echo
        @param stream        where events go if the answer is a successful stream; null to read it whole
    */
    boost::asio::awaitable<AttemptOutcome> run(const Endpoint& endpoint, std::string_view requestBytes,
        std::string_view requestId, AttemptTimes times, StreamTarget* stream);

private:
    using Parser = boost::beast::http::response_parser<boost::beast::http::string_body>;

    boost::asio::awaitable<bool> connect(const Endpoint& endpoint, Milliseconds limit);
    boost::asio::awaitable<bool> readHead(Parser& parser);
    boost::asio::awaitable<bool> readBody(Parser& parser);
    boost::asio::awaitable<AttemptOutcome> readAnswer(std::string_view requestId, StreamTarget* stream);
    boost::asio::awaitable<AttemptOutcome> passStream(Parser& parser, StreamTarget& stream);
    boost::asio::awaitable<bool> receive(TimePoint until);
    AttemptOutcome judge(Parser& parser);
    bool isPromisedNotRun(const Parser& parser) const;
    std::optional<ReportedLoad> readLoad(const Parser& parser) const;
    AttemptOutcome fail(AttemptEnd end, std::string detail) const;
    void release(const Parser& parser);

    UpstreamPool& pool;
    const HeaderNames& names;
    ActiveRequest& request;
    std::unique_ptr<UpstreamConnection> connection;
    AttemptTimes times;
    bool hasEnded = false; /**< The upstream closed its side in order. */
};

} // namespace papayashelf
