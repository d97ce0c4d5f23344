#include "serving/process/SimpleHttpListener.h"

#include "entrance/server/Signal.h"
#include "foundation/http/MessageFraming.h"
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

namespace papayashelf {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;

namespace {

constexpr std::chrono::seconds requestTimeout { 10 };
/** Delay after a failed accept, such as for lack of file descriptors. */
constexpr std::chrono::milliseconds acceptRetryDelay { 20 };

} // namespace

Outcome<asio::ip::tcp::acceptor> openAcceptor(const asio::any_io_executor& executor, const Endpoint& at)
{
    boost::system::error_code failure;
    const auto address = asio::ip::make_address(at.address, failure);
    if (failure)
        return Error { ErrorCode::InvalidArgument, "not an IP address: " + at.address };
    asio::ip::tcp::acceptor acceptor(executor);
    const asio::ip::tcp::endpoint endpoint(address, at.port);
    acceptor.open(endpoint.protocol(), failure);
    if (!failure)
        acceptor.set_option(asio::socket_base::reuse_address(true), failure);
    if (!failure)
        acceptor.bind(endpoint, failure);
    if (!failure)
        acceptor.listen(asio::socket_base::max_listen_connections, failure);
    if (failure)
        return Error { ErrorCode::Unavailable, "cannot listen on " + at.string() + ": " + failure.message() };
    return acceptor;
}

asio::awaitable<void> acceptConnections(
    std::shared_ptr<asio::ip::tcp::acceptor> acceptor, std::function<void(asio::ip::tcp::socket)> serveConnection)
{
    asio::steady_timer retryTimer(acceptor->get_executor());
    while (acceptor->is_open()) {
        auto [failure, socket] = co_await acceptor->async_accept(useResult);
        if (!failure) {
            serveConnection(std::move(socket));
            continue;
        }
        retryTimer.expires_after(acceptRetryDelay);
        co_await retryTimer.async_wait(useResult);
    }
}

asio::awaitable<void> serveSimpleRequests(asio::ip::tcp::socket socket, SimpleHttpHandler handler)
{
    beast::tcp_stream stream(std::move(socket));
    beast::flat_buffer buffer;
    while (true) {
        http::request<http::empty_body> request;
        stream.expires_after(requestTimeout);
        const auto [readFailure, read] = co_await http::async_read(stream, buffer, request, useResult);
        if (readFailure || !findFramingFault(request).empty())
            co_return;
        const auto target = request.target();
        SimpleHttpResponse answer = handler(std::string_view(target.data(), target.size()));
        http::response<http::string_body> response(static_cast<http::status>(answer.status), request.version());
        response.set(http::field::content_type, answer.contentType);
        response.keep_alive(request.keep_alive());
        response.body() = std::move(answer.body);
        response.prepare_payload();
        const auto [writeFailure, written] = co_await http::async_write(stream, response, useResult);
        if (writeFailure || !response.keep_alive())
            co_return;
    }
}

} // namespace papayashelf
