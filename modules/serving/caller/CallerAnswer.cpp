#include "serving/caller/CallerAnswer.h"

#include <array>
#include <charconv>

namespace papayashelf {

namespace asio = boost::asio;

namespace {

/** A caller that reads nothing for this long has abandoned the answer. */
constexpr Milliseconds writeTimeout { 8'000 };
constexpr std::string_view lineEnd = "\r\n";
constexpr std::string_view lastChunk = "0\r\n\r\n";

} // namespace

CallerAnswer::CallerAnswer(CallerStream& stream, bool keepAlive, bool isHeadRequest, std::function<bool()> isStopping)
    : stream(stream)
    , keepAlive(keepAlive)
    , isHeadRequest(isHeadRequest)
    , isStopping(std::move(isStopping))
{
}

std::string CallerAnswer::formatHead(const ResponseHead& head)
{
    if (this->isStopping())
        this->keepAlive = false;
    std::string text = "HTTP/1.1 " + std::to_string(head.status) + ' ' + head.reason + "\r\n";
    for (const auto& [name, value] : head.headers)
        text.append(name).append(": ").append(value).append(lineEnd);
    if (!this->keepAlive)
        text += "Connection: close\r\n";
    return text;
}

asio::awaitable<bool> CallerAnswer::writeComplete(const ResponseHead& head, std::string_view body)
{
    this->begun = true;
    std::string text = this->formatHead(head);
    const bool hasBody = head.status != 204 && head.status != 304;
    if (hasBody)
        text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    text += lineEnd;
    if (!this->isHeadRequest && hasBody)
        text += body;
    this->ended = co_await this->send(text);
    co_return this->ended;
}

asio::awaitable<bool> CallerAnswer::send(std::string_view bytes)
{
    const std::vector<asio::const_buffer> pieces(1, asio::buffer(bytes));
    co_return co_await this->stream.write(pieces, writeTimeout);
}

asio::awaitable<bool> CallerAnswer::begin(const ResponseHead& head)
{
    this->begun = true;
    const std::string text = this->formatHead(head) + "Transfer-Encoding: chunked\r\n\r\n";
    co_return co_await this->send(text);
}

asio::awaitable<bool> CallerAnswer::write(std::string_view piece)
{
    if (piece.empty())
        co_return true;
    std::array<char, 20> size {};
    const auto [end, error] = std::to_chars(size.data(), size.data() + size.size(), piece.size(), 16);
    const std::vector<asio::const_buffer> pieces { asio::buffer(
                                                       size.data(), static_cast<std::size_t>(end - size.data())),
        asio::buffer(lineEnd), asio::buffer(piece), asio::buffer(lineEnd) };
    co_return co_await this->stream.write(pieces, writeTimeout);
}

asio::awaitable<bool> CallerAnswer::end()
{
    this->ended = co_await this->send(lastChunk);
    co_return this->ended;
}

} // namespace papayashelf
