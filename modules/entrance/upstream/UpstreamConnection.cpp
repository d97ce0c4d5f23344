#include "entrance/upstream/UpstreamConnection.h"

#include <boost/asio/write.hpp>

namespace papayashelf {

namespace asio = boost::asio;

asio::awaitable<UpstreamConnection::Transfer> UpstreamConnection::send(std::array<asio::const_buffer, 2> pieces)
{
    ++this->requests;
    const auto [failure, bytes] = co_await asio::async_write(this->socket, pieces, useResult);
    this->end.note(failure);
    co_return Transfer { failure, bytes };
}

asio::awaitable<UpstreamConnection::Transfer> UpstreamConnection::receive(asio::mutable_buffer space)
{
    const auto [failure, bytes] = co_await this->socket.async_read_some(space, useResult);
    this->end.note(failure);
    co_return Transfer { failure, bytes };
}

boost::system::error_code UpstreamConnection::peek()
{
    std::array<char, 1> byte {};
    boost::system::error_code failure;
    this->socket.receive(asio::buffer(byte), asio::socket_base::message_peek, failure);
    this->end.note(failure);
    return failure;
}

} // namespace papayashelf
