#pragma once

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/message.hpp>
#include <string_view>

namespace papayashelf {

/**
    Returns why the head of a message leaves the length of its body uncertain, or an empty text if the length is
   certain.

    With such a head, one reader takes for the next message what another takes for the body (RFC 9112, 6.1 and 6.3). The
    message must not be used, and nothing more may be read from its connection. Of all transfer codings only chunked is
    accepted, as the body is forwarded without its coding.

    Thread safety: any thread.
*/
template <bool isRequest, typename Fields>
std::string_view findFramingFault(const boost::beast::http::header<isRequest, Fields>& head)
{
    namespace http = boost::beast::http;
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
