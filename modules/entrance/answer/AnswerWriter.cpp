#include "entrance/answer/AnswerWriter.h"

#include <array>
#include <boost/beast/http/status.hpp>
#include <charconv>

namespace papayashelf {

namespace asio = boost::asio;

namespace {

constexpr std::string_view lineEnd = "\r\n";
constexpr std::string_view lastChunk = "0\r\n\r\n";

bool hasNoBody(int status)
{
    return status == 204 || status == 304;
}

void appendField(std::string& text, std::string_view name, std::string_view value)
{
    text += name;
    text += ": ";
    text += value;
    text += lineEnd;
}

std::string chunkHead(std::size_t size)
{
    std::array<char, 16> digits {};
    const auto end = std::to_chars(digits.data(), digits.data() + digits.size(), size, 16).ptr;
    std::string text(digits.data(), end);
    text += lineEnd;
    return text;
}

} // namespace

AnswerWriter::AnswerWriter(CallerStream& stream, const EntranceSettings& settings, const std::atomic<bool>& isLeaving)
    : stream(stream)
    , settings(settings)
    , isLeaving(isLeaving)
{
}

void AnswerWriter::reset(RequestId newRequest, bool mayKeepAlive, bool isHeadRequest)
{
    this->request = newRequest;
    this->keepAlive = mayKeepAlive;
    this->isHead = isHeadRequest;
    this->begun = false;
    this->ended = false;
    this->isChunked = false;
    this->isEventStream = false;
    this->remaining = 0;
    this->pendingHead.clear();
}

void AnswerWriter::begin(const AnswerHead& head)
{
    this->begun = true;
    this->isEventStream = head.isEventStream;
    const bool hasBody = !this->isHead && !hasNoBody(head.status);
    this->isChunked = hasBody && !head.length;
    this->remaining = hasBody ? head.length.value_or(0) : 0;
    this->pendingHead = this->formatHead(head);
}

asio::awaitable<bool> AnswerWriter::write(std::string_view piece)
{
    if (piece.empty())
        co_return true;
    if (!this->isChunked && piece.size() > this->remaining) {
        this->abort();
        co_return false;
    }
    const std::string head = std::exchange(this->pendingHead, std::string());
    const std::string size = this->isChunked ? chunkHead(piece.size()) : std::string();
    std::vector<asio::const_buffer> pieces { asio::buffer(head), asio::buffer(size), asio::buffer(piece) };
    if (this->isChunked)
        pieces.push_back(asio::buffer(lineEnd));
    else
        this->remaining -= piece.size();
    co_return co_await this->send(pieces);
}

asio::awaitable<bool> AnswerWriter::end()
{
    if (!this->isChunked && this->remaining > 0) {
        this->abort();
        co_return false;
    }
    const std::string head = std::exchange(this->pendingHead, std::string());
    std::vector<asio::const_buffer> pieces { asio::buffer(head) };
    if (this->isChunked)
        pieces.push_back(asio::buffer(lastChunk));
    this->ended = head.empty() && !this->isChunked;
    if (!this->ended)
        this->ended = co_await this->send(pieces);
    co_return this->ended;
}

asio::awaitable<void> AnswerWriter::refuse(const ErrorAnswer& error)
{
    const std::string body = errorBody(error, this->request);
    if (this->begun) {
        const std::string event = "data: " + body + "\n\n";
        if (this->isEventStream)
            co_await this->write(event);
        this->keepAlive = false;
        co_return;
    }
    AnswerHead head;
    head.status = error.status;
    head.headers.emplace_back("content-type", "application/json");
    if (error.retryAfter)
        head.headers.emplace_back("retry-after", std::to_string(retryAfterSeconds(*error.retryAfter)));
    head.length = body.size();
    this->begin(head);
    bool isSent = this->isHead;
    if (!isSent)
        isSent = co_await this->write(body);
    if (isSent)
        co_await this->end();
}

asio::awaitable<void> AnswerWriter::refuse(const RefuseRequest& refusal)
{
    const ErrorAnswer error = toErrorAnswer(refusal);
    co_await this->refuse(error);
}

void AnswerWriter::abort()
{
    this->keepAlive = false;
    this->stream.close();
}

std::string AnswerWriter::formatHead(const AnswerHead& head)
{
    const auto status = boost::beast::http::int_to_status(static_cast<unsigned>(head.status));
    std::string text = "HTTP/1.1 " + std::to_string(head.status) + " ";
    text += boost::beast::http::obsolete_reason(status);
    text += lineEnd;
    for (const auto& [name, value] : head.headers)
        appendField(text, name, value);
    if (head.length && !hasNoBody(head.status))
        appendField(text, "content-length", std::to_string(*head.length));
    if (this->isChunked)
        appendField(text, "transfer-encoding", "chunked");
    if (this->request != 0)
        appendField(text, "papayashelf-request", std::to_string(this->request));
    if (this->isLeaving) {
        appendField(text, "papayashelf-leaving", "true");
        this->keepAlive = false;
    }
    if (!this->keepAlive)
        appendField(text, "connection", "close");
    text += lineEnd;
    return text;
}

asio::awaitable<bool> AnswerWriter::send(const std::vector<asio::const_buffer>& pieces)
{
    const bool sent = co_await this->stream.write(pieces, this->settings.writeTimeout);
    if (!sent)
        this->abort();
    co_return sent;
}

} // namespace papayashelf
