#include "administration/server/AdministrationServer.h"

#include "foundation/hashing/Sha256.h"
#include "foundation/http/MessageFraming.h"
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <openssl/crypto.h>
#include <thread>

namespace papayashelf {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;

namespace {

constexpr std::size_t maximumBodyBytes = std::size_t { 1024 } * 1024;
constexpr std::chrono::seconds requestTimeout { 15 };
constexpr std::string_view bearerPrefix = "Bearer ";

using Request = http::request<http::string_body>;
using Response = http::response<http::string_body>;

/** Compares the key digests in constant time, so that the duration does not reveal how many bytes match. */
bool hasValidKey(const Request& request, const KeyDigest& expected)
{
    const auto value = request[http::field::authorization];
    if (!value.starts_with(bearerPrefix))
        return false;
    const std::string digest = sha256Hex(std::string_view(value).substr(bearerPrefix.size()));
    const std::string& expectedDigest = expected.string();
    return digest.size() == expectedDigest.size()
        && CRYPTO_memcmp(digest.data(), expectedDigest.data(), expectedDigest.size()) == 0;
}

AdministrationRequest toAdministrationRequest(const Request& request)
{
    const std::string target(request.target());
    const std::size_t queryMark = target.find('?');
    return AdministrationRequest { std::string(request.method_string()), target.substr(0, queryMark),
        queryMark == std::string::npos ? std::string() : target.substr(queryMark + 1), request.body() };
}

} // namespace

struct AdministrationServer::State {
    Endpoint listen;
    KeyDigest keyDigest;
    Handler handler;
    asio::io_context context { 1 };
    std::unique_ptr<asio::ip::tcp::acceptor> acceptor;
    std::thread thread;

    asio::awaitable<void> accept();
    asio::awaitable<void> serve(beast::tcp_stream stream);
    Response answer(const Request& request) const;
};

Response AdministrationServer::State::answer(const Request& request) const
{
    AdministrationAnswer handlerAnswer;
    const bool isFramingCertain = findFramingFault(request).empty();
    if (!isFramingCertain)
        handlerAnswer = AdministrationAnswer { 400, "application/json", R"({"error":{"code":"malformed_request"}})" };
    else if (hasValidKey(request, this->keyDigest))
        handlerAnswer = this->handler(toAdministrationRequest(request));
    else
        handlerAnswer = AdministrationAnswer { 401, "application/json", R"({"error":{"code":"not_authenticated"}})" };
    Response response(static_cast<http::status>(handlerAnswer.status), request.version());
    response.set(http::field::content_type, handlerAnswer.contentType);
    response.keep_alive(isFramingCertain && request.keep_alive());
    response.body() = std::move(handlerAnswer.body);
    response.prepare_payload();
    return response;
}

asio::awaitable<void> AdministrationServer::State::serve(beast::tcp_stream stream)
{
    beast::flat_buffer buffer;
    boost::system::error_code failure;
    auto token = asio::redirect_error(asio::use_awaitable, failure);
    while (true) {
        http::request_parser<http::string_body> parser;
        parser.body_limit(maximumBodyBytes);
        stream.expires_after(requestTimeout);
        co_await http::async_read(stream, buffer, parser, token);
        if (failure)
            co_return;
        const Response response = this->answer(parser.get());
        co_await http::async_write(stream, response, token);
        if (failure || !response.keep_alive())
            break;
    }
    stream.socket().shutdown(asio::ip::tcp::socket::shutdown_both, failure);
}

asio::awaitable<void> AdministrationServer::State::accept()
{
    boost::system::error_code failure;
    while (this->acceptor->is_open()) {
        asio::ip::tcp::socket socket(this->context);
        co_await this->acceptor->async_accept(socket, asio::redirect_error(asio::use_awaitable, failure));
        if (failure)
            continue;
        asio::co_spawn(this->context, this->serve(beast::tcp_stream(std::move(socket))), asio::detached);
    }
}

AdministrationServer::AdministrationServer(Endpoint listen, KeyDigest keyDigest, Handler handler)
    : state(std::make_unique<State>())
{
    this->state->listen = std::move(listen);
    this->state->keyDigest = std::move(keyDigest);
    this->state->handler = std::move(handler);
}

AdministrationServer::~AdministrationServer()
{
    this->stop();
}

Outcome<Endpoint> AdministrationServer::start()
{
    boost::system::error_code failure;
    const auto address = asio::ip::make_address(this->state->listen.address, failure);
    if (failure)
        return Error { ErrorCode::InvalidArgument, "not an IP address: " + this->state->listen.address };
    auto acceptor = std::make_unique<asio::ip::tcp::acceptor>(this->state->context);
    const asio::ip::tcp::endpoint endpoint(address, this->state->listen.port);
    acceptor->open(endpoint.protocol(), failure);
    acceptor->set_option(asio::socket_base::reuse_address(true), failure);
    acceptor->bind(endpoint, failure);
    if (!failure)
        acceptor->listen(asio::socket_base::max_listen_connections, failure);
    if (failure)
        return Error { ErrorCode::Unavailable,
            "cannot listen on " + this->state->listen.string() + ": " + failure.message() };
    const std::uint16_t port = acceptor->local_endpoint().port();
    this->state->acceptor = std::move(acceptor);
    asio::co_spawn(this->state->context, this->state->accept(), asio::detached);
    this->state->thread = std::thread([state = this->state.get()] { state->context.run(); });
    return Endpoint { this->state->listen.address, port };
}

void AdministrationServer::stop()
{
    this->state->context.stop();
    if (this->state->thread.joinable())
        this->state->thread.join();
    this->state->acceptor.reset();
}

} // namespace papayashelf
