#include "platform/http/HttpKeyValueClient.h"

#include "platform/http/HttpConnection.h"
#include <algorithm>
#include <boost/asio/post.hpp>
#include <set>
#include <utility>
#include <vector>

namespace papayashelf {

namespace {

constexpr std::size_t mostIdleConnections = 8;

/** The error of a call without an answer, by how far it got. */
Error errorOf(StoreOperation operation, const HttpResult& result)
{
    const bool mayHaveTakenEffect = isWrite(operation) && result.mayHaveArrived;
    return { mayHaveTakenEffect ? ErrorCode::OutcomeUnknown : ErrorCode::Unavailable, result.answer.error().detail };
}

} // namespace

/** The idle connections and those with a call under way. Outlives the client while a call ends. */
class HttpKeyValueClient::Connections : public std::enable_shared_from_this<HttpKeyValueClient::Connections> {
public:
    Connections(boost::asio::io_context& context, Endpoint service)
        : context(context)
        , service(std::move(service))
    {
    }

    void call(const StoreRequest& request, Milliseconds timeout, Handler handler)
    {
        if (this->isClosed) {
            this->answerLater(std::move(handler), { ErrorCode::Closed, "the client is closed" });
            return;
        }
        if (request.value.size() > maximumStoreValueBytes) {
            this->answerLater(std::move(handler), { ErrorCode::TooLarge, "the value is over a megabyte" });
            return;
        }
        auto connection = this->takeIdle();
        const bool isFresh = !connection;
        if (isFresh)
            connection = std::make_shared<HttpConnection>(this->context, this->service);
        const Milliseconds deadline = this->clock.now() + timeout + request.wait;
        this->start({ request, deadline, std::move(handler), isFresh }, connection);
    }

    void close()
    {
        this->isClosed = true;
        this->idle.clear();
        for (const auto& connection : std::exchange(this->busy, {}))
            connection->close();
    }

private:
    using Connection = std::shared_ptr<HttpConnection>;

    struct PendingCall {
        StoreRequest request;
        Milliseconds deadline;
        Handler handler;
        bool isFresh = true; /**< Its connection was made for it. */
    };

    void answerLater(Handler handler, Error error)
    {
        boost::asio::post(this->context, [handler = std::move(handler), error = std::move(error)] { handler(error); });
    }

    Connection takeIdle()
    {
        while (!this->idle.empty()) {
            Connection connection = std::move(this->idle.back());
            this->idle.pop_back();
            if (connection->isReusable())
                return connection;
        }
        return nullptr;
    }

    void start(PendingCall pending, const Connection& connection)
    {
        this->busy.insert(connection);
        const HttpCall call { "POST", std::string(storeCallPath), encodeStoreRequest({ pending.request, {} }), {} };
        const Milliseconds left = pending.deadline - this->clock.now();
        connection->exchange(call, Milliseconds(std::max<std::int64_t>(left.count(), 1)),
            [self = this->shared_from_this(), pending = std::move(pending), connection](
                const HttpResult& result) mutable { self->finish(std::move(pending), connection, result); });
    }

    void finish(PendingCall pending, const Connection& connection, const HttpResult& result)
    {
        this->busy.erase(connection);
        if (result.answer) {
            this->keep(connection);
            pending.handler(decodeStoreReply(pending.request.operation, result.answer.value()));
            return;
        }
        // Whatever broke this connection may have broken the idle ones.
        this->idle.clear();
        if (this->mayTryAgain(pending, result)) {
            pending.isFresh = true;
            this->start(std::move(pending), std::make_shared<HttpConnection>(this->context, this->service));
            return;
        }
        pending.handler(this->errorFor(pending.request.operation, result));
    }

    /** A kept connection can end just as a call goes out; what has no effect is sent once more on a new one. */
    bool mayTryAgain(const PendingCall& pending, const HttpResult& result) const
    {
        const bool isSafe = !isWrite(pending.request.operation) || !result.mayHaveArrived;
        return isSafe && !pending.isFresh && !this->isClosed && this->clock.now().count() < pending.deadline.count();
    }

    Error errorFor(StoreOperation operation, const HttpResult& result) const
    {
        Error error = errorOf(operation, result);
        if (this->isClosed && error.code == ErrorCode::Unavailable)
            error = { ErrorCode::Closed, "the client was closed" };
        return error;
    }

    void keep(const Connection& connection)
    {
        if (!this->isClosed && this->idle.size() < mostIdleConnections)
            this->idle.push_back(connection);
    }

    boost::asio::io_context& context;
    Endpoint service;
    Clock clock;
    bool isClosed = false;
    std::vector<Connection> idle;
    std::set<Connection> busy;
};

HttpKeyValueClient::HttpKeyValueClient(boost::asio::io_context& context, Endpoint service)
    : connections(std::make_shared<Connections>(context, std::move(service)))
{
}

HttpKeyValueClient::~HttpKeyValueClient()
{
    this->connections->close();
}

void HttpKeyValueClient::call(const StoreRequest& request, Milliseconds timeout, Handler handler)
{
    this->connections->call(request, timeout, std::move(handler));
}

void HttpKeyValueClient::close()
{
    this->connections->close();
}

} // namespace papayashelf
