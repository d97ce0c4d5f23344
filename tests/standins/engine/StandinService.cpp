#include "standins/engine/StandinService.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <chrono>

namespace papayashelf {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

constexpr std::chrono::seconds slowAnswer { 2 };

std::string executionId(const std::string& body)
{
    boost::system::error_code error;
    const json::value parsed = json::parse(body, error);
    const json::object* const fields = error ? nullptr : parsed.if_object();
    const json::value* const id = fields ? fields->if_contains("id") : nullptr;
    return id && id->is_string() ? std::string(id->get_string()) : body;
}

} // namespace

StandinService::StandinService(const Endpoint& listen)
    : http(listen)
{
}

Endpoint StandinService::start()
{
    return this->http.start([this](const StandinHttp::Request& request, StandinHttp::Stream& stream) {
        return this->handle(request, stream);
    });
}

void StandinService::stop()
{
    this->http.stop();
}

int StandinService::getExecutions(const std::string& id) const
{
    const std::lock_guard lock(this->mutex);
    const auto found = this->executions.find(id);
    return found == this->executions.end() ? 0 : found->second;
}

asio::awaitable<bool> StandinService::handle(const StandinHttp::Request& request, StandinHttp::Stream& stream)
{
    if (request.target() == "/fault") {
        const bool isKnown = this->http.setFault(request.body());
        co_return co_await StandinHttp::answer(stream, request, isKnown ? 200 : 400, "{}");
    }
    if (request.target() == "/records") {
        std::string records = this->describeRecords();
        co_return co_await StandinHttp::answer(stream, request, 200, std::move(records));
    }
    const StandinFaultOrder fault = this->http.takeFault();
    if (fault.fault == StandinFault::RefuseBusy)
        co_return co_await StandinHttp::answer(stream, request, 503, "{}", true);
    asio::steady_timer timer(stream.get_executor());
    if (fault.fault == StandinFault::Slow) {
        timer.expires_after(slowAnswer);
        co_await timer.async_wait(standinResult);
    }
    this->execute(request);
    if (fault.fault == StandinFault::LoseAnswer)
        co_return false;
    if (fault.fault == StandinFault::Die)
        co_return co_await this->answerHalf(stream);
    if (fault.fault == StandinFault::GoSilent) {
        timer.expires_at(std::chrono::steady_clock::time_point::max());
        co_await timer.async_wait(standinResult);
    }
    std::string body = this->describe(request);
    co_return co_await StandinHttp::answer(stream, request, 200, std::move(body));
}

asio::awaitable<bool> StandinService::answerHalf(StandinHttp::Stream& stream)
{
    const std::string half = "HTTP/1.1 200 OK\r\ncontent-type: text/plain\r\ncontent-length: 100\r\n\r\nhalf of it";
    co_await asio::async_write(stream, asio::buffer(half), standinResult);
    co_return false;
}

void StandinService::execute(const StandinHttp::Request& request)
{
    if (request.method() != boost::beast::http::verb::post)
        return;
    {
        const std::lock_guard lock(this->mutex);
        ++this->executions[executionId(request.body())];
    }
    this->http.count("executed");
}

std::string StandinService::describe(const StandinHttp::Request& request) const
{
    json::object headers;
    for (const auto& field : request.base())
        headers[std::string(field.name_string())] = std::string_view(field.value());
    json::object answer;
    answer["method"] = std::string_view(request.method_string());
    answer["target"] = std::string_view(request.target());
    answer["headers"] = std::move(headers);
    answer["body"] = request.body();
    answer["executions"] = this->getExecutions(executionId(request.body()));
    return json::serialize(answer);
}

std::string StandinService::describeRecords() const
{
    const std::lock_guard lock(this->mutex);
    json::object records;
    for (const auto& [id, number] : this->executions)
        records[id] = number;
    return json::serialize(records);
}

} // namespace papayashelf
