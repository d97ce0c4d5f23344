#include "standins/engine/StandinHttp.h"

#include <algorithm>
#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <boost/json/parse.hpp>
#include <chrono>

namespace papayashelf {

namespace asio = boost::asio;
namespace http = boost::beast::http;
namespace json = boost::json;

namespace {

constexpr std::chrono::seconds implausibleWait { 20 };
constexpr std::size_t maximumBodyBytes = 64UL * 1024 * 1024;

constexpr std::array<std::pair<std::string_view, StandinFault>, 9> faultNames { {
    { "none", StandinFault::None },
    { "die", StandinFault::Die },
    { "go_silent", StandinFault::GoSilent },
    { "slow", StandinFault::Slow },
    { "lose_answer", StandinFault::LoseAnswer },
    { "refuse_busy", StandinFault::RefuseBusy },
    { "skip_token", StandinFault::SkipToken },
    { "repeat_tokens", StandinFault::RepeatTokens },
    { "end_without_mark", StandinFault::EndWithoutMark },
} };

int readNumber(const json::object& fields, std::string_view name, int otherwise)
{
    const json::value* const value = fields.if_contains(name);
    return value && value->is_int64() ? static_cast<int>(value->get_int64()) : otherwise;
}

bool isControl(std::string_view target)
{
    return target == "/fault" || target == "/load" || target == "/received";
}

} // namespace

std::string StandinRequest::header(std::string_view name) const
{
    for (const auto& [field, value] : this->headers) {
        if (boost::beast::iequals(field, name))
            return value;
    }
    return {};
}

bool StandinRequest::contains(std::string_view text) const
{
    const auto holds = [text](const std::string& part) { return part.find(text) != std::string::npos; };
    return holds(this->target) || holds(this->body)
        || std::any_of(this->headers.begin(), this->headers.end(),
            [&](const auto& field) { return holds(field.first) || holds(field.second); });
}

StandinHttp::StandinHttp(Endpoint endpoint)
    : acceptor(this->context)
    , listen(std::move(endpoint))
{
}

StandinHttp::~StandinHttp()
{
    this->stop();
}

Endpoint StandinHttp::start(Handler newHandler)
{
    this->handler = std::move(newHandler);
    const asio::ip::tcp::endpoint endpoint(asio::ip::make_address(this->listen.address), this->listen.port);
    this->acceptor.open(endpoint.protocol());
    this->acceptor.set_option(asio::socket_base::reuse_address(true));
    this->acceptor.bind(endpoint);
    this->acceptor.listen();
    Endpoint bound { this->listen.address, this->acceptor.local_endpoint().port() };
    asio::co_spawn(this->context, this->acceptLoop(), asio::detached);
    this->thread = std::thread([this] { this->context.run(); });
    return bound;
}

void StandinHttp::stop()
{
    if (!this->thread.joinable())
        return;
    this->context.stop();
    this->thread.join();
}

void StandinHttp::stopListening()
{
    boost::system::error_code ignored;
    this->acceptor.close(ignored);
}

void StandinHttp::setFault(StandinFaultOrder order)
{
    const std::lock_guard lock(this->mutex);
    this->fault = order;
}

bool StandinHttp::setFault(const std::string& text)
{
    boost::system::error_code error;
    const json::value parsed = json::parse(text, error);
    const json::object* const fields = error ? nullptr : parsed.if_object();
    const json::value* const name = fields ? fields->if_contains("fault") : nullptr;
    if (!name || !name->is_string())
        return false;
    const auto found = std::find_if(faultNames.begin(), faultNames.end(),
        [name](const auto& entry) { return entry.first == std::string_view(name->get_string()); });
    if (found == faultNames.end())
        return false;
    this->setFault({ found->second, readNumber(*fields, "after_tokens", 0), readNumber(*fields, "times", 1) });
    return true;
}

StandinFaultOrder StandinHttp::takeFault()
{
    const std::lock_guard lock(this->mutex);
    if (this->fault.times <= 0)
        return {};
    --this->fault.times;
    return this->fault;
}

void StandinHttp::setRecording(bool enabled)
{
    const std::lock_guard lock(this->mutex);
    this->isRecording = enabled;
}

std::vector<StandinRequest> StandinHttp::getRequests() const
{
    const std::lock_guard lock(this->mutex);
    return this->requests;
}

bool StandinHttp::waitForRequests(std::size_t count) const
{
    std::unique_lock lock(this->mutex);
    return this->changed.wait_for(lock, implausibleWait, [&] { return this->requests.size() >= count; });
}

void StandinHttp::count(const std::string& event)
{
    const std::lock_guard lock(this->mutex);
    const auto found = std::find_if(
        this->counts.begin(), this->counts.end(), [&event](const auto& entry) { return entry.first == event; });
    if (found == this->counts.end())
        this->counts.emplace_back(event, 1);
    else
        ++found->second;
    this->changed.notify_all();
}

bool StandinHttp::waitForCount(const std::string& event, int count) const
{
    std::unique_lock lock(this->mutex);
    return this->changed.wait_for(lock, implausibleWait, [&] {
        return std::any_of(this->counts.begin(), this->counts.end(),
            [&](const auto& entry) { return entry.first == event && entry.second >= count; });
    });
}

int StandinHttp::getCount(const std::string& event) const
{
    const std::lock_guard lock(this->mutex);
    for (const auto& [name, number] : this->counts) {
        if (name == event)
            return number;
    }
    return 0;
}

asio::awaitable<bool> StandinHttp::answer(
    Stream& stream, const Request& request, unsigned status, std::string body, bool saysNotRun)
{
    http::response<http::string_body> response(http::int_to_status(status), 11);
    response.set(http::field::content_type, "application/json");
    if (saysNotRun)
        response.set("ran", "no");
    response.keep_alive(request.keep_alive());
    response.body() = std::move(body);
    response.prepare_payload();
    if (request.method() == http::verb::head)
        response.body().clear();
    const auto [error, written] = co_await http::async_write(stream, response, standinResult);
    co_return !error && request.keep_alive();
}

asio::awaitable<void> StandinHttp::acceptLoop()
{
    while (true) {
        auto [error, socket] = co_await this->acceptor.async_accept(standinResult);
        if (error)
            co_return;
        boost::system::error_code ignored;
        socket.set_option(asio::ip::tcp::no_delay(true), ignored);
        this->count("connection");
        asio::co_spawn(this->context, this->serve(std::move(socket)), asio::detached);
    }
}

asio::awaitable<void> StandinHttp::serve(asio::ip::tcp::socket socket)
{
    Stream stream(std::move(socket));
    boost::beast::flat_buffer buffer;
    while (true) {
        http::request_parser<http::string_body> parser;
        parser.body_limit(maximumBodyBytes);
        const auto [error, count] = co_await http::async_read(stream, buffer, parser, standinResult);
        if (error)
            co_return;
        const Request request = parser.release();
        this->record(request);
        if (!co_await this->handler(request, stream))
            co_return;
    }
}

StandinRequest StandinHttp::makeRecord(const Request& request)
{
    StandinRequest record;
    record.method = std::string(request.method_string());
    record.target = std::string(request.target());
    for (const auto& field : request.base())
        record.headers.emplace_back(std::string(field.name_string()), std::string(field.value()));
    record.body = request.body();
    return record;
}

void StandinHttp::record(const Request& request)
{
    const std::lock_guard lock(this->mutex);
    if (!this->isRecording || isControl(request.target()))
        return;
    this->requests.push_back(makeRecord(request));
    this->changed.notify_all();
}

} // namespace papayashelf
