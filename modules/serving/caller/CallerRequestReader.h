#pragma once

#include "entrance/caller/CallerInput.h"
#include "gateway/model/ServingConfiguration.h"
#include "serving/http/Message.h"
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

namespace papayashelf {

/** Result of reading a request. */
enum class ReadResult {
    Complete,
    Disconnected, /**< The caller closed the connection. */
    Malformed,
    HeaderTooLarge,
    BodyTooLarge,
    TooSlow, /**< The request began but was not complete in time. */
    Interrupted, /**< The request began, and its input was interrupted. */
};

/**
    Reads one request from a caller's connection.

    Thread safety: none; owned by one I/O thread.
*/
class CallerRequestReader {
public:
    /** @param stream, input, limits  must outlive the reader */
    CallerRequestReader(CallerStream& stream, CallerInput& input, const CallerLimits& limits);

    /** Waits for the first byte of a request. False if the caller closes the connection or stays idle too long. */
    boost::asio::awaitable<bool> awaitRequest();

    /** Reads the request completely. */
    boost::asio::awaitable<ReadResult> read();

    /** Returns what is wrong with a request that read() did not complete, for the log; empty if nothing is. */
    const std::string& getFault() const { return this->fault; }

    /** Returns the request and moves out its body. Precondition: read() returned Complete. */
    IncomingRequest take();

private:
    boost::asio::awaitable<ReadResult> parse(bool isWholeRequest, TimePoint deadline);
    ReadResult toReadResult(const boost::system::error_code& failure);

    CallerStream& stream;
    CallerInput& input;
    const CallerLimits& limits;
    boost::beast::http::request_parser<boost::beast::http::string_body> parser;
    TimePoint beganAt;
    std::string fault;
};

} // namespace papayashelf
