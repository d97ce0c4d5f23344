#include "entrance/caller/CallerStream.h"

#include "entrance/server/Sizes.h"
#include <boost/asio/write.hpp>

namespace papayashelf {

namespace asio = boost::asio;

CallerStream::CallerStream(asio::ip::tcp::socket socket, asio::ssl::context* context)
    : tcp(std::move(socket))
    , deadline(this->tcp)
{
    boost::system::error_code ignored;
    this->tcp.set_option(asio::ip::tcp::no_delay(true), ignored);
    this->tcp.set_option(asio::socket_base::keep_alive(true), ignored);
    this->tcp.set_option(asio::socket_base::send_buffer_size(socketBufferBytes), ignored);
    if (context)
        this->tls.emplace(this->tcp, *context);
}

asio::any_io_executor CallerStream::getExecutor()
{
    return this->tcp.get_executor();
}

std::string CallerStream::getCallerAddress() const
{
    boost::system::error_code error;
    const auto endpoint = this->tcp.remote_endpoint(error);
    return error ? std::string() : endpoint.address().to_string();
}

asio::awaitable<bool> CallerStream::handshake(Milliseconds limit)
{
    if (!this->tls)
        co_return true;
    this->deadline.setAfter(limit);
    const auto [error] = co_await this->tls->async_handshake(asio::ssl::stream_base::server, useResult);
    this->deadline.clear();
    co_return !error;
}

asio::awaitable<std::size_t> CallerStream::readSome(asio::mutable_buffer space)
{
    if (this->tls) {
        const auto [error, count] = co_await this->tls->async_read_some(space, useResult);
        co_return error ? 0 : count;
    }
    const auto [error, count] = co_await this->tcp.async_read_some(space, useResult);
    co_return error ? 0 : count;
}

asio::awaitable<bool> CallerStream::write(const std::vector<asio::const_buffer>& pieces, Milliseconds limit)
{
    this->deadline.setAfter(limit);
    boost::system::error_code error;
    if (this->tls)
        error = std::get<0>(co_await asio::async_write(*this->tls, pieces, useResult));
    else
        error = std::get<0>(co_await asio::async_write(this->tcp, pieces, useResult));
    this->deadline.clear();
    co_return !error;
}

void CallerStream::finishSending()
{
    boost::system::error_code ignored;
    this->tcp.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
}

void CallerStream::close()
{
    this->tcp.close();
}

} // namespace papayashelf
