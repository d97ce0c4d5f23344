#pragma once

#include "foundation/identity/Identifier.h"
#include "foundation/outcomes/Outcome.h"
#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace papayashelf {

/** A small response to a GET request. */
struct SimpleHttpResponse {
    int status = 200;
    std::string contentType = "text/plain";
    std::string body;
};

/** Returns the response to a GET request for a target (path and query). Must not block. */
using SimpleHttpHandler = std::function<SimpleHttpResponse(std::string_view target)>;

/**
    Opens a listening socket.

    Errors: InvalidArgument if the address is not an IP address; Unavailable if it cannot be bound.
*/
Outcome<boost::asio::ip::tcp::acceptor> openAcceptor(const boost::asio::any_io_executor& executor, const Endpoint& at);

/** Accepts connections while the acceptor is open and passes each one to the function. */
boost::asio::awaitable<void> acceptConnections(std::shared_ptr<boost::asio::ip::tcp::acceptor> acceptor,
    std::function<void(boost::asio::ip::tcp::socket)> serveConnection);

/** Serves GET requests over one connection until it is closed. */
boost::asio::awaitable<void> serveSimpleRequests(boost::asio::ip::tcp::socket socket, SimpleHttpHandler handler);

} // namespace papayashelf
