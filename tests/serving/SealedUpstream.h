#pragma once

#include "standins/engine/StandinHttp.h"
#include <deque>

namespace papayashelf {

/** What the next answer of a sealed upstream is like. */
enum class AnswerKind {
    Whole, /**< Sealed and complete. */
    Failure, /**< A sealed 500. */
    NotRun, /**< Refused, with the promise that it has not run. */
    Unsealed, /**< A success without the seal. */
    OtherId, /**< An answer of another request first, then the right one. */
    CutShort, /**< Its length is more than what comes. */
    TornEvent, /**< A stream that ends in the middle of its third event. */
    Silence, /**< No answer; the connection stays open. */
    Reset, /**< The connection ends without an answer. */
    WithoutLength, /**< The body ends with the connection. */
    TrailingBytes, /**< Bytes of no answer follow a whole one. */
};

/**
    An upstream that signs its answers and misbehaves as told, one order for each request.

    Thread safety: order() belongs to the owner, before the request that it is for.
*/
class SealedUpstream {
public:
    SealedUpstream();
    ~SealedUpstream() { this->http.stop(); }

    Endpoint start();

    /** What the next answers are like; whole ones after them. */
    void order(std::deque<AnswerKind> kinds);

    /** Requests received so far. */
    std::vector<StandinRequest> getRequests() const { return this->http.getRequests(); }
    std::size_t countConnectionsUsed() const;

private:
    boost::asio::awaitable<bool> handle(const StandinHttp::Request& request, StandinHttp::Stream& stream);
    AnswerKind takeOrder();

    mutable std::mutex mutex;
    std::deque<AnswerKind> orders;
    std::vector<unsigned short> ports; /**< Of the connections that brought requests. */
    StandinHttp http;
};

} // namespace papayashelf
