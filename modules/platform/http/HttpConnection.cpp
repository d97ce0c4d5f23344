#include "platform/http/HttpConnection.h"

#include "foundation/http/MessageFraming.h"
#include <array>
#include <boost/asio/ip/address.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>
#include <cassert>
#include <optional>

namespace papayashelf {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

constexpr std::uint64_t largestAnswerBytes = 67'108'864;
constexpr unsigned firstFinalStatus = 200;

/** A connection idle for longer may have been forgotten by something on the way, which drops what is sent on it. */
constexpr Milliseconds longestTrustedIdle { 5'000 };

} // namespace

struct HttpConnection::State {
    State(asio::io_context& context, const Endpoint& service)
        : service(service)
        , stream(context)
    {
    }

    Endpoint service;
    beast::tcp_stream stream;
    beast::flat_buffer buffer;
    http::request<http::string_body> request;
    std::optional<http::response_parser<http::string_body>> parser;
    Handler handler;
    bool isConnected = false;
    HttpResult progress;
    Milliseconds idleSince;
};

HttpConnection::HttpConnection(asio::io_context& context, const Endpoint& service)
    : state(std::make_unique<State>(context, service))
{
}

HttpConnection::~HttpConnection() = default;

void HttpConnection::exchange(const HttpCall& call, Milliseconds timeout, Handler handler)
{
    assert(!this->state->handler);
    http::request<http::string_body> request(http::string_to_verb(call.method), call.target, 11);
    request.set(http::field::host, this->state->service.string());
    if (!call.bearer.empty())
        request.set(http::field::authorization, "Bearer " + call.bearer);
    if (!call.body.empty())
        request.set(http::field::content_type, "application/json");
    request.body() = call.body;
    request.prepare_payload();

    this->state->request = std::move(request);
    this->state->handler = std::move(handler);
    this->state->progress = {};
    this->state->stream.expires_after(std::chrono::milliseconds(timeout.count()));
    if (this->state->isConnected)
        this->write();
    else
        this->connect();
}

void HttpConnection::connect()
{
    beast::error_code code;
    const auto address = asio::ip::make_address(this->state->service.address, code);
    if (code) {
        asio::post(this->state->stream.get_executor(),
            [self = this->shared_from_this()] { self->fail("the service's address is no IP number"); });
        return;
    }
    this->state->stream.async_connect(
        { address, this->state->service.port }, [self = this->shared_from_this()](beast::error_code error) {
            if (error) {
                self->fail("cannot connect to " + self->state->service.string() + ": " + error.message());
                return;
            }
            beast::error_code ignored;
            self->state->stream.socket().set_option(asio::ip::tcp::no_delay(true), ignored);
            self->state->isConnected = true;
            self->write();
        });
}

void HttpConnection::write()
{
    http::async_write(this->state->stream, this->state->request,
        [self = this->shared_from_this()](beast::error_code error, std::size_t written) {
            self->state->progress.mayHaveArrived = written > 0;
            if (error)
                self->fail("cannot send: " + error.message());
            else
                self->read();
        });
}

void HttpConnection::read()
{
    this->state->parser.emplace();
    this->state->parser->body_limit(largestAnswerBytes);
    http::async_read(this->state->stream, this->state->buffer, *this->state->parser,
        [self = this->shared_from_this()](beast::error_code error, std::size_t received) {
            State& state = *self->state;
            state.progress.hasAnswerBegun = received > 0;
            if (error) {
                self->fail("no whole answer: " + error.message());
                return;
            }
            HttpResult result = state.progress;
            const auto& response = state.parser->get();
            if (const std::string_view fault = findFramingFault(response); !fault.empty()) {
                self->fail("no usable answer: " + std::string(fault));
                return;
            }
            result.answer = WireAnswer { static_cast<int>(response.result_int()), response.body() };
            if (response.result_int() < firstFinalStatus) {
                self->fail("no usable answer: interim");
                return;
            }
            state.isConnected = response.keep_alive();
            self->finish(std::move(result));
        });
}

void HttpConnection::finish(HttpResult result)
{
    if (this->state->isConnected) {
        this->state->stream.expires_never();
        this->state->idleSince = Clock().now();
    } else {
        this->state->stream.close();
    }
    const Handler handler = std::exchange(this->state->handler, nullptr);
    if (handler)
        handler(std::move(result));
}

void HttpConnection::fail(const std::string& detail)
{
    this->state->isConnected = false;
    HttpResult result = this->state->progress;
    result.answer = Error { ErrorCode::Unavailable, detail };
    this->finish(std::move(result));
}

bool HttpConnection::isReusable()
{
    State& state = *this->state;
    if (!state.isConnected || state.handler || state.buffer.size() > 0)
        return false;
    if ((Clock().now() - state.idleSince).count() > longestTrustedIdle.count())
        return false;
    // Nothing is due on an idle connection: a byte or an end of stream means that the other side has given it up.
    beast::error_code code;
    std::array<char, 1> byte {};
    state.stream.socket().non_blocking(true, code);
    state.stream.socket().receive(asio::buffer(byte), asio::socket_base::message_peek, code);
    return code == asio::error::would_block;
}

void HttpConnection::close()
{
    this->state->isConnected = false;
    this->state->stream.close();
}

} // namespace papayashelf
