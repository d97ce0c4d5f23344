#include "serving/RawUpstream.h"

#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

namespace papayashelf {

namespace asio = boost::asio;
using asio::ip::tcp;

RawUpstream::RawUpstream(std::string answer)
    : answer(std::move(answer))
    , acceptor(this->context, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0))
{
    this->endpoint = Endpoint { "127.0.0.1", this->acceptor.local_endpoint().port() };
    this->thread = std::thread([this] { this->serve(); });
}

RawUpstream::~RawUpstream()
{
    // A connection of its own wakes the thread from accept().
    this->answer.clear();
    boost::system::error_code ignored;
    tcp::socket wake(this->context);
    wake.connect(this->acceptor.local_endpoint(), ignored);
    wake.close(ignored);
    this->thread.join();
}

void RawUpstream::serve()
{
    constexpr std::string_view idHeader = "Attempt-Id: ";
    constexpr std::string_view idMark = "{id}";
    while (true) {
        boost::system::error_code failure;
        tcp::socket socket = this->acceptor.accept(failure);
        if (failure || this->answer.empty())
            return;
        std::string head;
        asio::read_until(socket, asio::dynamic_buffer(head), "\r\n\r\n", failure);
        const std::size_t at = head.find(idHeader);
        if (failure || at == std::string::npos)
            continue;
        const std::size_t begin = at + idHeader.size();
        const std::string id = head.substr(begin, head.find('\r', begin) - begin);
        std::string text = this->answer;
        for (std::size_t mark = text.find(idMark); mark != std::string::npos; mark = text.find(idMark))
            text.replace(mark, idMark.size(), id);
        asio::write(socket, asio::buffer(text), failure);
        socket.set_option(tcp::socket::linger(true, 0), failure);
    }
}

} // namespace papayashelf
