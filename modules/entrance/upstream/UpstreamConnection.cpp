#include "entrance/upstream/UpstreamConnection.h"

#include <boost/asio/write.hpp>
#include <cassert>

namespace papayashelf {

namespace asio = boost::asio;

asio::awaitable<UpstreamConnection::Transfer> UpstreamConnection::send(
    std::string_view id, std::array<asio::const_buffer, 2> pieces)
{
    assert(this->mayCarry(id));
    this->sentRequests.add(id);
    this->requestId = id;
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

AnswerOwner UpstreamConnection::noteAnswer(std::string_view namedRequest)
{
    const bool isFirst = this->answers++ == 0 && this->sentRequests.count() == 1;
    if (namedRequest.empty())
        return isFirst ? AnswerOwner::FirstRequest : AnswerOwner::Uncertain;
    return namedRequest == this->requestId ? AnswerOwner::Request : AnswerOwner::Uncertain;
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
