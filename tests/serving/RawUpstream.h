#pragma once

#include "foundation/identity/Identifier.h"
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <string>
#include <thread>

namespace papayashelf {

/**
    An upstream that answers each request, once it has read its head, with given bytes, and resets the connection after
    them. "{id}" in the bytes stands for the request's id.

    Thread safety: only the owner calls it; it serves on a thread of its own.
*/
class RawUpstream {
public:
    explicit RawUpstream(std::string answer);
    ~RawUpstream();

    /** Returns where it listens. */
    const Endpoint& getEndpoint() const { return this->endpoint; }

private:
    void serve();

    std::string answer;
    Endpoint endpoint;
    boost::asio::io_context context { 1 };
    boost::asio::ip::tcp::acceptor acceptor;
    std::thread thread;
};

} // namespace papayashelf
