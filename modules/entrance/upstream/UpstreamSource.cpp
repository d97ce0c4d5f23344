#include "entrance/upstream/UpstreamSource.h"

#include "entrance/request/ForwardedHead.h"
#include "entrance/upstream/AnswerBounds.h"
#include "foundation/http/MessageFraming.h"
#include <algorithm>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/error.hpp>
#include <utility>

namespace papayashelf {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

constexpr std::uint32_t maximumAnswerHeaderBytes = 64 * kibibyte;

bool saysNotRun(const http::response_header<>& head)
{
    const unsigned status = head.result_int();
    return (status == 429 || status == 503) && boost::beast::iequals(head["ran"], "no");
}

} // namespace

UpstreamSource::UpstreamSource(
    UpstreamPool& pool, const EntranceSettings& settings, UpstreamRequest request, AttemptLimits limits)
    : pool(pool)
    , settings(settings)
    , request(std::move(request))
    , limits(limits)
    , deadline(std::chrono::steady_clock::now() + std::chrono::milliseconds(limits.remaining.count()))
{
}

asio::awaitable<SourceHead> UpstreamSource::open()
{
    SourceHead failed;
    failed.result = co_await this->connect();
    if (failed.result == AttemptResult::Completed)
        failed.result = co_await this->send();
    if (failed.result == AttemptResult::Completed)
        failed.result = co_await this->receiveHead();
    if (failed.result != AttemptResult::Completed)
        co_return failed;
    SourceHead head = this->describeHead();
    const AnswerOwner owner = this->connection->noteAnswer({});
    if (saysNotRun(this->parser->get().base())) {
        head.mayHaveRun = owner == AnswerOwner::Uncertain;
        head.result = this->fail(AttemptResult::RejectedBusy);
    }
    co_return head;
}

asio::awaitable<SourcePiece> UpstreamSource::read(Milliseconds limit)
{
    SourcePiece read;
    if (this->cancelled) {
        read.result = AttemptResult::Cancelled;
        co_return read;
    }
    if (this->parser->is_done()) {
        read.isEnd = true;
        co_return read;
    }
    if (!this->piece)
        this->piece = std::make_unique<std::array<char, pieceBytes>>();
    this->limitNext(limit);
    while (read.bytes.empty() && !this->parser->is_done()) {
        read.bytes = this->parsePiece(read.result);
        if (read.result != AttemptResult::Completed)
            co_return read;
        if (!read.bytes.empty() || this->parser->is_done())
            break;
        read.result = co_await this->receive(AttemptResult::Truncated);
        if (read.result != AttemptResult::Completed)
            co_return read;
    }
    read.isEnd = this->parser->is_done();
    // A caller that takes its time over this piece is no silence of the upstream.
    this->connection->deadline.set(this->deadline);
    co_return read;
}

std::string_view UpstreamSource::parsePiece(AttemptResult& result)
{
    auto& body = this->parser->get().body();
    body.data = this->piece->data();
    body.size = this->piece->size();
    body.more = true;
    boost::system::error_code error;
    while (this->connection->buffer.size() > 0 && !this->parser->is_done() && !error)
        this->connection->buffer.consume(this->parser->put(this->connection->buffer.cdata(), error));
    if (error && error != http::error::need_buffer && error != http::error::need_more)
        result = this->fail(AttemptResult::Truncated);
    return std::string_view(this->piece->data(), this->piece->size() - body.size);
}

asio::awaitable<AttemptResult> UpstreamSource::receive(AttemptResult otherwise)
{
    auto& connection = *this->connection;
    if (connection.buffer.size() > answerbounds::maximumUnparsedBytes)
        co_return this->fail(otherwise);
    const auto space = connection.buffer.prepare(receiveBytes);
    const auto [error, count] = co_await connection.receive(space);
    connection.buffer.commit(count);
    this->isSilent = false;
    if (!error && !this->cancelled)
        co_return AttemptResult::Completed;
    boost::system::error_code endError = error;
    if (connection.end.isOrderly() && !this->cancelled && this->parser->got_some()) {
        endError = {};
        this->parser->put_eof(endError);
        if (!endError && this->parser->is_done())
            co_return AttemptResult::Completed;
    }
    co_return this->fail(this->resultOf(otherwise));
}

void UpstreamSource::cancel()
{
    this->cancelled = true;
    if (this->connection)
        this->closeConnection();
}

void UpstreamSource::release()
{
    const bool isWhole = this->connection && this->parser && this->parser->is_done() && !this->cancelled;
    if (this->connection)
        this->connection->deadline.setExtension({});
    if (isWhole && this->parser->keep_alive())
        this->pool.giveBack(std::move(this->connection));
    this->connection.reset();
}

bool UpstreamSource::isSelfDelimited() const
{
    return this->parser && !this->parser->need_eof();
}

asio::awaitable<AttemptResult> UpstreamSource::connect()
{
    if (this->cancelled)
        co_return AttemptResult::Cancelled;
    if (!this->request.needsFreshConnection)
        this->connection = this->pool.takeIdle(this->request.endpoint, {});
    if (this->connection)
        co_return AttemptResult::Completed;
    boost::system::error_code error;
    const auto address = asio::ip::make_address(this->request.endpoint.address, error);
    if (error)
        co_return AttemptResult::NotSent;
    this->connection = this->pool.makeConnection(this->request.endpoint);
    this->limitNext(Milliseconds(std::min(this->settings.connectTimeout.count(), this->limits.firstByte.count())));
    auto& socket = this->connection->socket;
    socket.open(address.is_v6() ? asio::ip::tcp::v6() : asio::ip::tcp::v4(), error);
    socket.set_option(asio::socket_base::receive_buffer_size(socketBufferBytes), error);
    const asio::ip::tcp::endpoint endpoint(address, this->request.endpoint.port);
    const auto [connectError] = co_await socket.async_connect(endpoint, useResult);
    if (this->cancelled)
        co_return AttemptResult::Cancelled;
    if (connectError)
        co_return this->fail(AttemptResult::NotSent);
    socket.set_option(asio::ip::tcp::no_delay(true), error);
    socket.non_blocking(true, error);
    co_return AttemptResult::Completed;
}

asio::awaitable<AttemptResult> UpstreamSource::send()
{
    this->connection->deadline.setExtension([this] { return this->extendWait(); });
    const std::string head = this->formatHead();
    const std::array<asio::const_buffer, 2> pieces { asio::buffer(head), asio::buffer(*this->request.body) };
    this->limitNext(this->limits.firstByte);
    const auto [error, count] = co_await this->connection->send({}, pieces);
    if (!error && !this->cancelled)
        co_return AttemptResult::Completed;
    const bool isCertain = count == 0 && !this->cancelled;
    co_return this->fail(this->resultOf(isCertain ? AttemptResult::NotSent : AttemptResult::NoAnswer));
}

asio::awaitable<AttemptResult> UpstreamSource::receiveHead()
{
    this->limitNext(this->limits.firstByte);
    int answers = 0;
    do {
        if (++answers > answerbounds::maximumInterimAnswers + 1)
            co_return this->fail(AttemptResult::NoAnswer);
        this->parser.emplace();
        this->parser->header_limit(maximumAnswerHeaderBytes);
        this->parser->body_limit(boost::none);
        this->parser->skip(this->request.head->method == "HEAD");
        while (!this->parser->is_header_done()) {
            boost::system::error_code error = http::error::need_more;
            if (this->connection->buffer.size() > 0)
                this->connection->buffer.consume(this->parser->put(this->connection->buffer.cdata(), error));
            if (error && error != http::error::need_more)
                co_return this->fail(AttemptResult::NoAnswer);
            if (!error)
                continue;
            const AttemptResult received = co_await this->receive(AttemptResult::NoAnswer);
            if (received != AttemptResult::Completed)
                co_return received;
        }
        if (!findFramingFault(this->parser->get()).empty())
            co_return this->fail(AttemptResult::NoAnswer);
    } while (this->parser->get().result_int() < 200);
    co_return AttemptResult::Completed;
}

SourceHead UpstreamSource::describeHead() const
{
    SourceHead head;
    head.result = AttemptResult::Completed;
    head.status = static_cast<int>(this->parser->get().result_int());
    std::vector<HeaderField> headers;
    for (const auto& field : this->parser->get().base())
        headers.emplace_back(std::string(field.name_string()), std::string(field.value()));
    head.headers = withoutHopByHop(headers);
    std::erase_if(head.headers, [](const HeaderField& field) { return field.first.starts_with("papayashelf-"); });
    if (const auto length = this->parser->content_length())
        head.length = *length;
    return head;
}

std::string UpstreamSource::formatHead() const
{
    const RequestHead& head = *this->request.head;
    std::string text
        = head.method + " " + head.target + " HTTP/1.1\r\nhost: " + this->request.endpoint.string() + "\r\n";
    const auto append = [&text](const HeaderField& field) { text += field.first + ": " + field.second + "\r\n"; };
    std::for_each(head.headers.begin(), head.headers.end(), append);
    std::for_each(this->request.extraHeaders.begin(), this->request.extraHeaders.end(), append);
    const bool mayHaveBody = head.method != "GET" && head.method != "HEAD";
    if (mayHaveBody || !this->request.body->empty())
        append({ "content-length", std::to_string(this->request.body->size()) });
    return text + "\r\n";
}

void UpstreamSource::limitNext(Milliseconds limit)
{
    const TimePoint until = std::chrono::steady_clock::now() + std::chrono::milliseconds(limit.count());
    this->connection->deadline.set(std::min(until, this->deadline));
}

std::optional<TimePoint> UpstreamSource::extendWait()
{
    const TimePoint now = std::chrono::steady_clock::now();
    if (!this->onSilence || this->cancelled || now >= this->deadline)
        return std::nullopt;
    // Other connections to a silent upstream may be dead too.
    if (!std::exchange(this->isSilent, true))
        this->pool.forget(this->request.endpoint);
    this->onSilence();
    return std::min(this->deadline, now + silenceReportInterval);
}

AttemptResult UpstreamSource::resultOf(AttemptResult otherwise) const
{
    if (this->cancelled)
        return AttemptResult::Cancelled;
    return this->connection->deadline.hasPassed() ? AttemptResult::TimedOut : otherwise;
}

void UpstreamSource::closeConnection()
{
    boost::system::error_code ignored;
    this->connection->socket.close(ignored);
}

AttemptResult UpstreamSource::fail(AttemptResult result)
{
    // A connection that died without a word says that others to the same place may be dead too.
    if (result == AttemptResult::TimedOut || result == AttemptResult::NoAnswer)
        this->pool.forget(this->request.endpoint);
    if (this->connection)
        this->closeConnection();
    return result;
}

} // namespace papayashelf
