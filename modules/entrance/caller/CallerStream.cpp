#include "entrance/caller/CallerStream.h"

#include <boost/asio/write.hpp>

namespace papayashelf {

namespace asio = boost::asio;

CallerStream::CallerStream(asio::ip::tcp::socket socket, asio::ssl::context* context)
    : tcp(std::move(socket))
{
    boost::system::error_code ignored;
    this->tcp.socket().set_option(asio::ip::tcp::no_delay(true), ignored);
    this->tcp.socket().set_option(asio::socket_base::keep_alive(true), ignored);
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
    const auto endpoint = this->tcp.socket().remote_endpoint(error);
    return error ? std::string() : endpoint.address().to_string();
}

asio::awaitable<bool> CallerStream::handshake(Milliseconds limit)
{
    if (!this->tls)
        co_return true;
    this->tcp.expires_after(std::chrono::milliseconds(limit.count()));
    const auto [error] = co_await this->tls->async_handshake(asio::ssl::stream_base::server, useResult);
    this->tcp.expires_never();
    co_return !error;
}

asio::awaitable<std::size_t> CallerStream::readSome(asio::mutable_buffer space)
{
    this->tcp.expires_never();
    if (this->tls) {
        const auto [error, count] = co_await this->tls->async_read_some(space, useResult);
        co_return error ? 0 : count;
    }
    const auto [error, count] = co_await this->tcp.async_read_some(space, useResult);
    co_return error ? 0 : count;
}

asio::awaitable<bool> CallerStream::write(const std::vector<asio::const_buffer>& pieces, Milliseconds limit)
{
    this->tcp.expires_after(std::chrono::milliseconds(limit.count()));
    if (this->tls) {
        const auto [error, count] = co_await asio::async_write(*this->tls, pieces, useResult);
        co_return !error;
    }
    const auto [error, count] = co_await asio::async_write(this->tcp, pieces, useResult);
    co_return !error;
}

void CallerStream::finishSending()
{
    boost::system::error_code ignored;
    this->tcp.socket().shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
}

void CallerStream::close()
{
    this->tcp.close();
}

} // namespace papayashelf
