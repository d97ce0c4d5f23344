#include "administration/client/HttpCall.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

namespace papayashelf {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;

namespace {

http::request<http::string_body> makeRequest(const Endpoint& endpoint, const HttpCall& call)
{
    http::request<http::string_body> request(http::string_to_verb(call.method), call.target, 11);
    request.set(http::field::host, endpoint.string());
    if (!call.bearerKey.empty())
        request.set(http::field::authorization, "Bearer " + call.bearerKey);
    if (!call.body.empty())
        request.set(http::field::content_type, "application/json");
    request.keep_alive(false);
    request.body() = call.body;
    request.prepare_payload();
    return request;
}

asio::awaitable<void> exchange(beast::tcp_stream& stream, asio::ip::tcp::endpoint target,
    http::request<http::string_body> request, http::response<http::string_body>& response,
    boost::system::error_code& failure)
{
    auto token = asio::redirect_error(asio::use_awaitable, failure);
    co_await stream.async_connect(target, token);
    if (failure)
        co_return;
    co_await http::async_write(stream, request, token);
    if (failure)
        co_return;
    beast::flat_buffer buffer;
    co_await http::async_read(stream, buffer, response, token);
}

} // namespace

Outcome<HttpReply> callHttp(const Endpoint& endpoint, const HttpCall& call, Milliseconds timeout)
{
    boost::system::error_code failure;
    const auto address = asio::ip::make_address(endpoint.address, failure);
    if (failure)
        return Error { ErrorCode::InvalidArgument, "not an IP number: " + endpoint.address };
    asio::io_context context;
    beast::tcp_stream stream(context);
    stream.expires_after(std::chrono::milliseconds(timeout.count()));
    http::response<http::string_body> response;
    asio::co_spawn(context,
        exchange(
            stream, asio::ip::tcp::endpoint(address, endpoint.port), makeRequest(endpoint, call), response, failure),
        asio::detached);
    context.run();
    if (failure)
        return Error { ErrorCode::Unavailable, endpoint.string() + ": " + failure.message() };
    return HttpReply { static_cast<int>(response.result_int()), std::move(response.body()) };
}

} // namespace papayashelf
