#pragma once

#include "foundation/identity/Identifier.h"
#include "foundation/outcomes/Outcome.h"
#include "foundation/time/Clock.h"
#include "platform/http/StoreWire.h"
#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <string>

namespace papayashelf {

/** One request to a service of the platform or to an administration API. */
struct HttpCall {
    std::string method = "GET";
    std::string target;
    std::string body; /**< JSON. */
    std::string bearer; /**< Sent as a bearer token unless empty. */

    bool operator==(const HttpCall&) const = default;
};

/** The whole answer, or an error with whether the request may have reached the other side. */
struct HttpResult {
    Outcome<WireAnswer> answer = Error { ErrorCode::Unavailable, "no answer" };
    bool mayHaveArrived = false; /**< False only if no byte of the request was sent. */
    bool hasAnswerBegun = false; /**< Whether any byte of an answer came. */
};

/**
    One connection that carries one call at a time and can be used again.

    Thread safety: none; used on the thread that runs the context.
*/
class HttpConnection : public std::enable_shared_from_this<HttpConnection> {
public:
    using Handler = std::function<void(HttpResult)>;

    HttpConnection(boost::asio::io_context& context, const Endpoint& service);
    ~HttpConnection();
    HttpConnection(const HttpConnection&) = delete;
    HttpConnection& operator=(const HttpConnection&) = delete;

    /**
        Connects if need be, sends the call and reads the whole answer.

        Precondition: no call is under way. The handler is called later, exactly once.

        @param timeout  longest time to the whole answer
    */
    void exchange(const HttpCall& call, Milliseconds timeout, Handler handler);

    /** True if the connection is open, quiet and has not been idle for too long to be trusted. */
    bool isReusable();

    /** Ends a call under way with an error, and the connection. */
    void close();

private:
    void connect();
    void write();
    void read();
    void finish(HttpResult result);
    void fail(const std::string& detail);

    struct State;
    std::unique_ptr<State> state;
};

} // namespace papayashelf
