#pragma once

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/message.hpp>
#include <string_view>

namespace papayashelf {

constexpr unsigned int lowestStatus = 100;
constexpr unsigned int highestStatus = 599; /**< RFC 9110, 15. */

/**
    Returns why the head of a message leaves the length of its body uncertain, or why an answer has no meaning; an empty
    text if neither holds.

    With such a head, one reader takes for the next message what another takes for the body (RFC 9112, 6.1 and 6.3). The
    message must not be used, and nothing more may be read from its connection. Of all transfer codings only chunked is
    accepted, as the body is forwarded without its coding.

    Thread safety: any thread.
*/
template <bool isRequest, typename Fields>
std::string_view findFramingFault(const boost::beast::http::header<isRequest, Fields>& head)
{
    namespace http = boost::beast::http;
    if constexpr (!isRequest) {
        if (head.result_int() < lowestStatus || head.result_int() > highestStatus)
            return "a status that HTTP does not have";
    }
    const auto codings = head.count(http::field::transfer_encoding);
    if (codings == 0)
        return {};
    if (head.version() < 11)
        return "Transfer-Encoding in a message of HTTP/1.0";
    if (codings > 1 || !boost::beast::iequals(head[http::field::transfer_encoding], "chunked"))
        return "the only transfer coding served is chunked";
    if (head.count(http::field::content_length) > 0)
        return "both Content-Length and Transfer-Encoding";
    return {};
}

} // namespace papayashelf
