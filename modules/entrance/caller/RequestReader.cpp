#include "entrance/caller/RequestReader.h"

#include "entrance/request/ForwardedHead.h"
#include "foundation/http/MessageFraming.h"
#include <algorithm>
#include <array>
#include <boost/beast/core/string.hpp>
#include <openssl/crypto.h>

namespace papayashelf {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::beast::iequals;

namespace {

constexpr std::size_t maximumIdempotencyKeyBytes = 255;

TimePoint after(Milliseconds limit)
{
    return std::chrono::steady_clock::now() + std::chrono::milliseconds(limit.count());
}

EntranceFault faultOf(const boost::system::error_code& error)
{
    if (error == http::error::header_limit)
        return EntranceFault::HeaderTooLarge;
    if (error == http::error::body_limit)
        return EntranceFault::BodyTooLarge;
    if (error == http::error::bad_version)
        return EntranceFault::UnsupportedVersion;
    return EntranceFault::MalformedRequest;
}

bool isServedMethod(std::string_view method)
{
    static constexpr std::array<std::string_view, 7> served { "GET", "HEAD", "POST", "PUT", "PATCH", "DELETE",
        "OPTIONS" };
    return std::find(served.begin(), served.end(), method) != served.end();
}

/** The target without scheme and authority, which a client may send to a proxy. */
std::string_view withoutAuthority(std::string_view target)
{
    for (const std::string_view scheme : { "http://", "https://" }) {
        if (!iequals(target.substr(0, scheme.size()), scheme))
            continue;
        const std::size_t slash = target.find('/', scheme.size());
        return slash == std::string_view::npos ? std::string_view("/") : target.substr(slash);
    }
    return target;
}

} // namespace

RequestReader::RequestReader(CallerInput& input, const EntranceSettings& settings)
    : input(input)
    , settings(settings)
{
    this->parser.eager(false);
    this->parser.header_limit(static_cast<std::uint32_t>(settings.maximumHeaderBytes));
    this->parser.body_limit(settings.maximumBodyBytes);
}

asio::awaitable<RequestReader::Result> RequestReader::readHead()
{
    bool hasBytes = !this->input.isEmpty();
    if (!hasBytes)
        hasBytes = co_await this->input.waitForMore(after(this->settings.idleTimeout));
    if (!hasBytes)
        co_return Result::Gone;
    const Result result = co_await this->parseUntil(false, this->settings.headTimeout, EntranceFault::HeadTimeout);
    co_return result == Result::Read ? this->interpretHead() : result;
}

asio::awaitable<RequestReader::Result> RequestReader::readBody()
{
    this->parser.eager(true);
    const Result result = co_await this->parseUntil(true, this->settings.bodyTimeout, EntranceFault::BodyTimeout);
    if (result != Result::Read)
        co_return result;
    if (this->head.key.isIn(this->parser.get().body()))
        co_return this->fail({ EntranceFault::KeyInRequest, {} });
    this->head.key = CallerKey();
    co_return Result::Read;
}

asio::awaitable<RequestReader::Result> RequestReader::parseUntil(
    bool isWholeRequest, Milliseconds limit, EntranceFault late)
{
    const TimePoint until = after(limit);
    while (isWholeRequest ? !this->parser.is_done() : !this->parser.is_header_done()) {
        boost::system::error_code error = http::error::need_more;
        if (!this->input.isEmpty())
            this->input.consume(this->parser.put(this->input.getBytes(), error));
        if (!error)
            continue;
        if (error != http::error::need_more)
            co_return this->fail({ faultOf(error), error.message() });
        if (co_await this->input.waitForMore(until))
            continue;
        if (this->input.isGone())
            co_return Result::Gone;
        co_return this->fail({ late, {} });
    }
    co_return Result::Read;
}

RequestReader::Result RequestReader::interpretHead()
{
    if (auto found = this->checkHead())
        return this->fail(std::move(*found));
    const auto& message = this->parser.get();
    RequestHead received;
    received.method = std::string(message.method_string());
    for (const auto& field : message.base())
        received.headers.emplace_back(std::string(field.name_string()), std::string(field.value()));
    this->takeKey();
    if (auto found = this->splitTarget(received))
        return this->fail(std::move(*found));
    this->head.forwarded = makeForwardedHead(received, this->head.key);
    for (auto& [name, value] : received.headers)
        OPENSSL_cleanse(value.data(), value.size());
    this->head.idempotencyKey = std::string(message["Idempotency-Key"]);
    this->head.keepAlive = message.keep_alive();
    this->head.expectsContinue = !message[http::field::expect].empty();
    this->head.hasBody = this->parser.chunked() || this->parser.content_length().value_or(0) > 0;
    this->head.hasCodedBody = !message[http::field::content_encoding].empty();
    this->wipeCredentials();
    return Result::Read;
}

std::optional<ReadFault> RequestReader::checkHead() const
{
    const auto& message = this->parser.get();
    if (message.version() != 11)
        return ReadFault { EntranceFault::UnsupportedVersion, {} };
    if (!isServedMethod(message.method_string()))
        return ReadFault { EntranceFault::MethodNotAllowed, {} };
    if (message.count(http::field::host) != 1)
        return ReadFault { EntranceFault::MalformedRequest, "exactly one Host field is needed" };
    if (message.count(http::field::authorization) > 1)
        return ReadFault { EntranceFault::MalformedRequest, "more than one Authorization field" };
    if (const std::string_view fault = findFramingFault(message); !fault.empty())
        return ReadFault { EntranceFault::MalformedRequest, std::string(fault) };
    const auto expectation = message[http::field::expect];
    if (!expectation.empty() && !iequals(expectation, "100-continue"))
        return ReadFault { EntranceFault::UnsupportedExpectation, {} };
    if (message["Idempotency-Key"].size() > maximumIdempotencyKeyBytes)
        return ReadFault { EntranceFault::MalformedRequest, "the Idempotency-Key is longer than 255 bytes" };
    return std::nullopt;
}

std::optional<ReadFault> RequestReader::splitTarget(RequestHead& received)
{
    const std::string target(withoutAuthority(this->parser.get().target()));
    const std::size_t mark = target.find('?');
    this->head.path = target.substr(0, mark);
    this->head.query = mark == std::string::npos ? std::string() : target.substr(mark + 1);
    if (!isPlainPath(this->head.path))
        return ReadFault { EntranceFault::MalformedPath, {} };
    if (this->head.key.isIn(this->head.path))
        return ReadFault { EntranceFault::KeyInRequest, {} };
    received.target = target;
    return std::nullopt;
}

void RequestReader::takeKey()
{
    this->head.key = CallerKey::fromAuthorization(this->parser.get()[http::field::authorization]);
    this->head.digest = this->head.key.getDigest();
}

void RequestReader::wipeCredentials()
{
    // The parser's own copy is of no use any more and lives as long as the request.
    const auto value = this->parser.get()[http::field::authorization];
    OPENSSL_cleanse(const_cast<char*>(value.data()), value.size());
}

RequestReader::Result RequestReader::fail(ReadFault found)
{
    this->fault = std::move(found);
    return Result::Fault;
}

} // namespace papayashelf
