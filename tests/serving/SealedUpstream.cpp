#include "serving/SealedUpstream.h"

#include <boost/asio/write.hpp>
#include <set>

namespace papayashelf {

namespace asio = boost::asio;

namespace {

constexpr int eventsOfStream = 5;

std::string headOf(const std::string& status, const std::string& id, bool isSealed)
{
    std::string head = "HTTP/1.1 " + status + "\r\n";
    if (!id.empty())
        head += "Attempt-Id: " + id + "\r\n";
    if (isSealed)
        head += "Response-Seal: seal-of-" + id + "\r\nServer-Load: 2,0,8\r\n";
    return head;
}

std::string withLength(const std::string& head, const std::string& body)
{
    return head + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string chunk(const std::string& text)
{
    std::ostringstream size;
    size << std::hex << text.size();
    return size.str() + "\r\n" + text + "\r\n";
}

std::string streamFrom(int first, bool hasPartialEvent)
{
    std::string text;
    for (int id = first; id <= eventsOfStream; ++id) {
        if (hasPartialEvent && id == first + 2)
            return text + "10\r\nid: " + std::to_string(id) + "\ndata";
        text += chunk("id: " + std::to_string(id) + "\ndata: piece " + std::to_string(id) + "\n\n");
    }
    return text + "0\r\n\r\n";
}

std::string headerOf(const StandinHttp::Request& request, const char* name)
{
    const auto value = request[name];
    return { value.data(), value.size() };
}

std::string streamAnswer(const StandinHttp::Request& request, AnswerKind kind)
{
    const std::string last = headerOf(request, "Last-Event-Id");
    const int first = last.empty() ? 1 : std::stoi(last) + 1;
    const std::string head = headOf("200 OK", headerOf(request, "Attempt-Id"), kind != AnswerKind::Unsealed)
        + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
    return head + streamFrom(first, kind == AnswerKind::TornEvent);
}

std::string plainAnswer(const StandinHttp::Request& request, AnswerKind kind)
{
    const std::string id = headerOf(request, "Attempt-Id");
    const std::string body = "body of " + id;
    std::string whole = withLength(headOf("200 OK", id, true), body);
    switch (kind) {
    case AnswerKind::Failure:
        return withLength(headOf("500 Internal Server Error", id, true), "failed");
    case AnswerKind::NotRun:
        return withLength(headOf("503 Service Unavailable", "", false) + "Not-Executed: 1\r\n", "full");
    case AnswerKind::Unsealed:
        return withLength(headOf("200 OK", id, false), body);
    case AnswerKind::OtherId:
        return withLength(headOf("200 OK", "another", true), "body of another") + whole;
    case AnswerKind::CutShort:
        return headOf("200 OK", id, true) + "Content-Length: 100\r\n\r\n" + body;
    case AnswerKind::WithoutLength:
        return headOf("200 OK", id, true) + "Connection: close\r\n\r\n" + body;
    case AnswerKind::TrailingBytes:
        return whole + "bytes of no answer";
    default:
        return whole;
    }
}

bool endsConnection(AnswerKind kind)
{
    return kind == AnswerKind::CutShort || kind == AnswerKind::TornEvent || kind == AnswerKind::Reset
        || kind == AnswerKind::WithoutLength;
}

} // namespace

SealedUpstream::SealedUpstream()
    : http(Endpoint { "127.0.0.1", 0 })
{
}

Endpoint SealedUpstream::start()
{
    return this->http.start([this](const StandinHttp::Request& request, StandinHttp::Stream& stream) {
        return this->handle(request, stream);
    });
}

void SealedUpstream::order(std::deque<AnswerKind> kinds)
{
    const std::scoped_lock lock(this->mutex);
    this->orders = std::move(kinds);
}

AnswerKind SealedUpstream::takeOrder()
{
    const std::scoped_lock lock(this->mutex);
    if (this->orders.empty())
        return AnswerKind::Whole;
    const AnswerKind kind = this->orders.front();
    this->orders.pop_front();
    return kind;
}

std::size_t SealedUpstream::countConnectionsUsed() const
{
    const std::scoped_lock lock(this->mutex);
    return std::set<unsigned short>(this->ports.begin(), this->ports.end()).size();
}

asio::awaitable<bool> SealedUpstream::handle(const StandinHttp::Request& request, StandinHttp::Stream& stream)
{
    {
        const std::scoped_lock lock(this->mutex);
        this->ports.push_back(stream.socket().remote_endpoint().port());
    }
    const AnswerKind kind = this->takeOrder();
    if (kind == AnswerKind::Silence)
        co_return true;
    if (kind == AnswerKind::Reset)
        co_return false;
    const auto target = request.target();
    const bool isStream = std::string_view(target.data(), target.size()).starts_with("/stream/");
    const bool isStreamKind
        = kind == AnswerKind::Whole || kind == AnswerKind::TornEvent || kind == AnswerKind::Unsealed;
    const std::string text = isStream && isStreamKind ? streamAnswer(request, kind) : plainAnswer(request, kind);
    co_await asio::async_write(stream, asio::buffer(text), standinResult);
    co_return !endsConnection(kind);
}

} // namespace papayashelf
