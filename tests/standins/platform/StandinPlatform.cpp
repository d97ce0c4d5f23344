#include "standins/platform/StandinPlatform.h"

#include "platform/http/StoreWire.h"
#include "standins/platform/StandinControl.h"
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>
#include <functional>
#include <map>
#include <optional>
#include <utility>

namespace papayashelf {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;

constexpr std::uint64_t largestRequestBytes = 16'777'216;
constexpr int statusNotFound = 404;

/** What becomes of one request: an answer, or the connection closed without one. */
using Reply = std::function<void(std::optional<WireAnswer>)>;

/** One connection; reads a request, waits for its answer, and goes on. */
class Session : public std::enable_shared_from_this<Session> {
public:
    using Serve = std::function<void(const http::request<http::string_body>&, const Reply&)>;

    Session(tcp::socket socket, Serve serve)
        : stream(std::move(socket))
        , serve(std::move(serve))
    {
    }

    void read()
    {
        this->parser.emplace();
        this->parser->body_limit(largestRequestBytes);
        http::async_read(this->stream, this->buffer, *this->parser,
            [self = this->shared_from_this()](beast::error_code error, std::size_t) {
                if (error) {
                    self->close();
                    return;
                }
                self->serve(
                    self->parser->get(), [self](std::optional<WireAnswer> answer) { self->write(std::move(answer)); });
            });
    }

    void close() { this->stream.close(); }

private:
    void write(std::optional<WireAnswer> answer)
    {
        if (!answer) {
            this->close();
            return;
        }
        this->response = { static_cast<http::status>(answer->status), 11 };
        this->response.set(http::field::content_type, "application/json");
        this->response.keep_alive(this->parser->get().keep_alive());
        this->response.body() = std::move(answer->body);
        this->response.prepare_payload();
        http::async_write(
            this->stream, this->response, [self = this->shared_from_this()](beast::error_code error, std::size_t) {
                if (error || !self->response.keep_alive())
                    self->close();
                else
                    self->read();
            });
    }

    beast::tcp_stream stream;
    beast::flat_buffer buffer;
    std::optional<http::request_parser<http::string_body>> parser;
    http::response<http::string_body> response;
    Serve serve;
};

} // namespace

class StandinPlatform::Server : public std::enable_shared_from_this<StandinPlatform::Server> {
public:
    Server(asio::io_context& context, FakeStoreLimits limits)
        : acceptor(context)
        , timer(context)
        , store(limits)
    {
        this->store.advanceTo(this->clock.now());
    }

    Outcome<Endpoint> listen(const Endpoint& endpoint)
    {
        beast::error_code code;
        const tcp::endpoint local(asio::ip::make_address(endpoint.address, code), endpoint.port);
        if (!code)
            this->acceptor.open(local.protocol(), code);
        if (!code)
            this->acceptor.set_option(asio::socket_base::reuse_address(true), code);
        if (!code)
            this->acceptor.bind(local, code);
        if (!code)
            this->acceptor.listen(asio::socket_base::max_listen_connections, code);
        if (code)
            return Error { ErrorCode::Unavailable, "cannot listen on " + endpoint.string() + ": " + code.message() };
        this->accept();
        return Endpoint { endpoint.address, this->acceptor.local_endpoint().port() };
    }

    void close()
    {
        this->acceptor.close();
        this->timer.cancel();
        this->waiting.clear();
        for (const auto& weak : std::exchange(this->sessions, {})) {
            if (const auto session = weak.lock())
                session->close();
        }
    }

private:
    friend class StandinPlatform;

    void accept()
    {
        this->acceptor.async_accept([self = this->shared_from_this()](beast::error_code error, tcp::socket socket) {
            if (error)
                return;
            beast::error_code ignored;
            socket.set_option(tcp::no_delay(true), ignored);
            const auto session = std::make_shared<Session>(
                std::move(socket), [self](const auto& request, const Reply& reply) { self->serve(request, reply); });
            std::erase_if(self->sessions, [](const auto& weak) { return weak.expired(); });
            self->sessions.push_back(session);
            session->read();
            self->accept();
        });
    }

    void serve(const http::request<http::string_body>& request, Reply reply)
    {
        const std::string target(request.target());
        if (target == storeCallPath) {
            this->serveStore(request.body(), std::move(reply));
        } else if (target == vmListPath) {
            reply(WireAnswer { 200, encodeVmList(this->vms.list(this->clock.now())) });
        } else if (target.starts_with(controlPathPrefix)) {
            reply(control(target, request.body(), this->store, this->vms, this->clock.now()));
            this->deliver();
        } else {
            reply(WireAnswer { statusNotFound, "{}" });
        }
    }

    void serveStore(const std::string& body, Reply reply)
    {
        const auto request = decodeStoreRequest(body);
        if (!request) {
            reply(encodeStoreReply(request.error()));
            return;
        }
        this->deliver();
        const std::uint64_t ticket = ++this->lastTicket;
        this->waiting.emplace(ticket, std::move(reply));
        this->store.submit(ticket, request.value().request, request.value().lease);
        this->deliver();
    }

    /** Sends the answers that are due and sets the timer to the next. */
    void deliver()
    {
        for (FakeStoreAnswer& answer : this->store.advanceTo(this->clock.now())) {
            auto waiter = this->waiting.extract(answer.ticket);
            if (waiter.empty())
                continue;
            if (answer.isLost)
                waiter.mapped()(std::nullopt);
            else
                waiter.mapped()(encodeStoreReply(answer.reply));
        }
        const auto due = this->store.nextDue();
        if (!due)
            return;
        const Milliseconds left(std::max<std::int64_t>((*due - this->clock.now()).count(), 1));
        this->timer.expires_after(std::chrono::milliseconds(left.count()));
        this->timer.async_wait([self = this->shared_from_this()](beast::error_code error) {
            if (!error)
                self->deliver();
        });
    }

    tcp::acceptor acceptor;
    asio::steady_timer timer;
    Clock clock;
    FakeStore store;
    FakeVmList vms;
    std::uint64_t lastTicket = 0;
    std::map<std::uint64_t, Reply> waiting;
    std::vector<std::weak_ptr<Session>> sessions;
};

StandinPlatform::StandinPlatform(boost::asio::io_context& context, FakeStoreLimits limits)
    : server(std::make_shared<Server>(context, limits))
{
}

StandinPlatform::~StandinPlatform()
{
    this->close();
}

Outcome<Endpoint> StandinPlatform::listen(const Endpoint& endpoint)
{
    return this->server->listen(endpoint);
}

void StandinPlatform::close()
{
    this->server->close();
}

FakeStore& StandinPlatform::store()
{
    return this->server->store;
}

FakeVmList& StandinPlatform::vms()
{
    return this->server->vms;
}

} // namespace papayashelf
