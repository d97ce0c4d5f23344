#pragma once

#include "entrance/server/Deadline.h"
#include "entrance/server/Signal.h"
#include "foundation/time/Clock.h"
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ssl/context.hpp>
#include <boost/asio/ssl/stream.hpp>
#include <optional>
#include <string>
#include <vector>

namespace papayashelf {

/**
    A caller's connection, plain or with TLS. One read and one write may be under way at once.

    Thread safety: none; owned by one I/O thread.
*/
class CallerStream {
public:
    /** @param context  the TLS context, or null for a plain connection; must outlive the stream */
    CallerStream(boost::asio::ip::tcp::socket socket, boost::asio::ssl::context* context);

    boost::asio::any_io_executor getExecutor();

    /** The caller's IP number; empty when the connection is gone. */
    std::string getCallerAddress() const;

    /** Agrees on TLS; does nothing on a plain connection. False if that fails or takes longer than the limit. */
    boost::asio::awaitable<bool> handshake(Milliseconds limit);

    /** Reads at least a byte, without a limit on time. 0 means that the connection is over. */
    boost::asio::awaitable<std::size_t> readSome(boost::asio::mutable_buffer space);

    /** Writes everything; false if the caller is gone or takes longer than the limit. */
    boost::asio::awaitable<bool> write(const std::vector<boost::asio::const_buffer>& pieces, Milliseconds limit);

    /** Tells the caller that nothing more will be written. */
    void finishSending();

    /** Ends the connection; reads and writes under way fail. */
    void close();

private:
    boost::asio::ip::tcp::socket tcp;
    Deadline deadline; /**< For a handshake or a write; reads take as long as they like. */
    std::optional<boost::asio::ssl::stream<boost::asio::ip::tcp::socket&>> tls;
};

} // namespace papayashelf
