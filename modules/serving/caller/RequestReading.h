#pragma once

#include "entrance/caller/CallerInput.h"
#include "gateway/model/ServingConfiguration.h"
#include "serving/http/Message.h"
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

namespace papayashelf {

/** How reading a request came out. */
enum class ReadResult {
    Whole,
    Gone, /**< The caller left, or stayed idle for too long before a request began. */
    Malformed,
    HeaderTooLarge,
    BodyTooLarge,
    TooSlow, /**< The request began and did not end in time. */
};

/**
    Reads one request from a caller.

    Thread safety: none; owned by one I/O thread.
*/
class RequestReading {
public:
    /** @param stream, input, limits  must outlive the reading */
    RequestReading(CallerStream& stream, CallerInput& input, const CallerLimits& limits);

    /** Waits for a request and reads it to its end. */
    boost::asio::awaitable<ReadResult> read();

    /** The request. Precondition: it was read whole. */
    IncomingRequest take();

private:
    boost::asio::awaitable<ReadResult> parse(bool isWholeRequest, TimePoint until);
    ReadResult resultOf(const boost::system::error_code& failure) const;

    CallerStream& stream;
    CallerInput& input;
    const CallerLimits& limits;
    boost::beast::http::request_parser<boost::beast::http::string_body> parser;
    TimePoint beganAt;
};

} // namespace papayashelf
