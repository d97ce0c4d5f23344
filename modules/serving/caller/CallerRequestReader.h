#pragma once

#include "entrance/caller/CallerInput.h"
#include "gateway/core/GatewayCore.h"
#include "serving/http/Message.h"
#include "serving/http/RequestMemory.h"
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <functional>

namespace papayashelf {

/** Result of reading a request. */
enum class ReadResult {
    Complete,
    Disconnected, /**< The caller closed the connection. */
    Malformed,
    HeaderTooLarge,
    BodyTooLarge,
    TooSlow, /**< The request began but was not complete in time. */
    NoMemory, /**< Other requests' bodies took all memory for bodies for too long. */
    Interrupted, /**< The request began, and its input was interrupted. */
};

/**
    Reads one request from a caller's connection, within the limits of the configuration in force.

    A change of the limits holds for a reader that waits, too: that of a time within a second, that of a size until
    the head is complete. A body keeps the limit that was in force when its head was complete.

    Thread safety: none; owned by one I/O thread.
*/
class CallerRequestReader {
public:
    /** @param stream, input, core, memory  must outlive the reader; memory also the request that it takes */
    CallerRequestReader(CallerStream& stream, CallerInput& input, const GatewayCore& core, RequestMemory& memory);

    /** Waits for the first byte of a request. False if the caller closes the connection or stays idle too long. */
    boost::asio::awaitable<bool> awaitRequest();

    /** Reads the request completely. The body is not read, nor asked for, before there is memory for it. */
    boost::asio::awaitable<ReadResult> read();

    /** Returns what is wrong with a request that read() did not complete, for the log; empty if nothing is. */
    const std::string& getFault() const { return this->fault; }

    /** Returns a header field of the request; empty if it has none, or if its head is not complete. */
    std::string getField(std::string_view name) const;

    /** Returns the request and moves out its body. Precondition: read() returned Complete. */
    IncomingRequest take();

private:
    /** Returns the moment until which to wait; asked again and again, since it may change meanwhile. */
    using DeadlineSource = std::function<TimePoint()>;

    boost::asio::awaitable<bool> waitForMore(const DeadlineSource& getDeadline);
    boost::asio::awaitable<ReadResult> parse(bool isWholeRequest, const DeadlineSource& getDeadline);
    void applyLimits();
    bool isHeadTooLarge() const;
    boost::asio::awaitable<ReadResult> reserveMemory();
    ReadResult toReadResult(const boost::system::error_code& failure);

    CallerStream& stream;
    CallerInput& input;
    const GatewayCore& core;
    RequestMemory& memory;
    std::size_t maximumBodyBytes = 0; /**< Set while the head is read. */
    MemoryBudget::Reservation reservation;
    boost::beast::http::request_parser<boost::beast::http::string_body> parser;
    TimePoint beganAt;
    std::string fault;
};

} // namespace papayashelf
