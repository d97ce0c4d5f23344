#include "serving/process/PlainListener.h"

#include "entrance/server/Signal.h"
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

namespace papayashelf {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;

namespace {

constexpr std::chrono::seconds requestTime { 10 };
constexpr std::chrono::milliseconds acceptPause { 20 }; /**< After a failure, such as too many descriptors. */

} // namespace

Outcome<asio::ip::tcp::acceptor> openAcceptor(const asio::any_io_executor& executor, const Endpoint& at)
{
    boost::system::error_code failure;
    const auto address = asio::ip::make_address(at.address, failure);
    if (failure)
        return Error { ErrorCode::InvalidArgument, "not an IP number: " + at.address };
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

asio::awaitable<void> acceptEach(
    std::shared_ptr<asio::ip::tcp::acceptor> acceptor, std::function<void(asio::ip::tcp::socket)> take)
{
    asio::steady_timer pause(acceptor->get_executor());
    while (acceptor->is_open()) {
        auto [failure, socket] = co_await acceptor->async_accept(useResult);
        if (!failure) {
            take(std::move(socket));
            continue;
        }
        pause.expires_after(acceptPause);
        co_await pause.async_wait(useResult);
    }
}

asio::awaitable<void> servePlain(asio::ip::tcp::socket socket, PlainHandler handler)
{
    beast::tcp_stream stream(std::move(socket));
    beast::flat_buffer buffer;
    while (true) {
        http::request<http::empty_body> request;
        stream.expires_after(requestTime);
        const auto [readFailure, read] = co_await http::async_read(stream, buffer, request, useResult);
        if (readFailure)
            co_return;
        const auto target = request.target();
        SimpleHttpResponse given = handler(std::string_view(target.data(), target.size()));
        http::response<http::string_body> response(static_cast<http::status>(given.status), request.version());
        response.set(http::field::content_type, given.contentType);
        response.keep_alive(request.keep_alive());
        response.body() = std::move(given.body);
        response.prepare_payload();
        const auto [writeFailure, written] = co_await http::async_write(stream, response, useResult);
        if (writeFailure || !response.keep_alive())
            co_return;
    }
}

} // namespace papayashelf
