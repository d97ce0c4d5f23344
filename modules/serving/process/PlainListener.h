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

/** A small answer to a GET. */
struct SimpleHttpResponse {
    int status = 200;
    std::string contentType = "text/plain";
    std::string body;
};

/** Answers a GET by its target, path and query. Must not block. */
using PlainHandler = std::function<SimpleHttpResponse(std::string_view target)>;

/**
    Opens a listening socket.

    Errors: InvalidArgument for no IP number; Unavailable if the address cannot be had.
*/
Outcome<boost::asio::ip::tcp::acceptor> openAcceptor(const boost::asio::any_io_executor& executor, const Endpoint& at);

/** Takes connections for as long as the acceptor is open, each by the function. */
boost::asio::awaitable<void> acceptEach(
    std::shared_ptr<boost::asio::ip::tcp::acceptor> acceptor, std::function<void(boost::asio::ip::tcp::socket)> take);

/** Serves small GETs over one connection until it ends. */
boost::asio::awaitable<void> servePlain(boost::asio::ip::tcp::socket socket, PlainHandler handler);

} // namespace papayashelf
