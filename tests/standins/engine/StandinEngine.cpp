#include "standins/engine/StandinEngine.h"

#include "foundation/hashing/StableHash.h"
#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/write.hpp>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <charconv>

namespace papayashelf {

namespace asio = boost::asio;
namespace json = boost::json;
namespace http = boost::beast::http;

namespace {

constexpr std::int64_t defaultMaximumTokens = 16;
constexpr std::int64_t bytesPerPromptToken = 4;
constexpr std::chrono::seconds slowStep { 1 };
constexpr std::string_view streamHead = "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n"
                                        "transfer-encoding: chunked\r\n\r\n";
constexpr std::string_view lastChunk = "0\r\n\r\n";

std::int64_t readHeaderNumber(const StandinHttp::Request& request, std::string_view name)
{
    const auto text = request[boost::beast::string_view(name.data(), name.size())];
    std::int64_t number = 0;
    std::from_chars(text.data(), text.data() + text.size(), number);
    return number;
}

std::vector<std::uint64_t> readPrefixes(const StandinHttp::Request& request)
{
    std::vector<std::uint64_t> prefixes;
    const std::string text(request["x-prefix-hashes"]);
    const char* position = text.data();
    const char* const end = position + text.size();
    while (position < end) {
        std::uint64_t prefix = 0;
        position = std::from_chars(position, end, prefix).ptr + 1;
        prefixes.push_back(prefix);
    }
    return prefixes;
}

std::string chunk(const std::string& data)
{
    std::array<char, 16> digits {};
    const auto end = std::to_chars(digits.data(), digits.data() + digits.size(), data.size(), 16).ptr;
    return std::string(digits.data(), end) + "\r\n" + data + "\r\n";
}

std::string event(const std::string& data)
{
    return chunk("data: " + data + "\n\n");
}

json::object usage(const StandinGeneration& generation)
{
    json::object counts;
    counts["prompt_tokens"] = generation.promptTokens;
    counts["completion_tokens"] = generation.produced;
    counts["total_tokens"] = generation.promptTokens + generation.produced;
    return counts;
}

std::string tokenEvent(const std::string& prompt, std::int64_t index)
{
    json::object delta;
    delta["content"] = StandinEngine::tokenText(prompt, index);
    json::object choice;
    choice["index"] = 0;
    choice["delta"] = std::move(delta);
    json::object fields;
    fields["object"] = "chat.completion.chunk";
    fields["token"] = index;
    fields["choices"] = json::array { std::move(choice) };
    return event(json::serialize(fields));
}

std::string usageEvent(const StandinGeneration& generation)
{
    json::object fields;
    fields["object"] = "chat.completion.chunk";
    fields["choices"] = json::array();
    fields["usage"] = usage(generation);
    return event(json::serialize(fields));
}

json::array toStrings(const std::vector<std::uint64_t>& hashes)
{
    json::array texts;
    for (const std::uint64_t hash : hashes)
        texts.push_back(json::value(std::to_string(hash)));
    return texts;
}

std::string describeLoad(const StandinLoad& load)
{
    json::object fields;
    fields["running"] = load.running;
    fields["waiting"] = load.waiting;
    fields["cache_use"] = load.cacheUse;
    fields["prefixes_added"] = toStrings(load.added);
    fields["prefixes_evicted"] = toStrings(load.evicted);
    return json::serialize(fields);
}

} // namespace

/** One chat request as the engine understands it. */
struct StandinEngine::Chat {
    std::string model;
    std::string prompt;
    bool isStreamed = false;
    StandinFaultOrder fault;
    std::int64_t resumedFrom = 0;
    std::shared_ptr<StandinGeneration> generation;
};

StandinEngine::StandinEngine(StandinEngineSettings settings)
    : settings(std::move(settings))
    , http(this->settings.listen)
    , batch(this->http.getExecutor(), this->settings.batch)
{
    this->orders.models = this->settings.models;
}

StandinEngine::~StandinEngine()
{
    this->stop();
}

Endpoint StandinEngine::start()
{
    asio::co_spawn(this->http.getExecutor(), this->batch.run(), asio::detached);
    return this->http.start([this](const Request& request, Stream& stream) { return this->handle(request, stream); });
}

void StandinEngine::stop()
{
    this->http.stop();
}

StandinOrderState StandinEngine::getOrderState() const
{
    const std::lock_guard lock(this->mutex);
    return this->orders;
}

std::string StandinEngine::tokenText(const std::string& prompt, std::int64_t index)
{
    static constexpr std::array<std::string_view, 16> words { "dog", "heat", "gate", "pen", "shed", "drive", "fetch",
        "course", "mirror", "glass", "shelf", "pallet", "left", "right", "wing", "arm" };
    return std::string(words[stableHash(prompt, static_cast<std::uint64_t>(index)) % words.size()]) + " ";
}

asio::awaitable<bool> StandinEngine::handle(const Request& request, Stream& stream)
{
    const std::string target(request.target());
    if (target == "/v1/chat/completions")
        co_return co_await this->handleChat(request, stream);
    if (target == "/orders" && request.method() == http::verb::post)
        co_return co_await this->handleOrder(request, stream);
    unsigned status = 200;
    std::string body = "{}";
    if (target == "/load")
        body = describeLoad(this->batch.report());
    else if (target == "/orders")
        body = this->describeOrders();
    else if (target == "/v1/models")
        body = this->describeModels();
    else if (target != "/fault" || !this->http.setFault(request.body()))
        status = 404;
    co_return co_await StandinHttp::answer(stream, request, status, std::move(body));
}

asio::awaitable<bool> StandinEngine::handleChat(const Request& request, Stream& connection)
{
    boost::system::error_code error;
    const json::value parsed = json::parse(request.body(), error);
    const json::object* const fields = error ? nullptr : parsed.if_object();
    if (!fields || !fields->contains("messages"))
        co_return co_await StandinHttp::answer(connection, request, 400, "{}");
    Chat chat;
    if (const json::value* const model = fields->if_contains("model"); model && model->is_string())
        chat.model = std::string(model->get_string());
    if (!this->hasModel(chat.model))
        co_return co_await StandinHttp::answer(connection, request, 404, "{}", true);
    chat.fault = this->http.takeFault();
    if (chat.fault.fault == StandinFault::RefuseBusy)
        co_return co_await StandinHttp::answer(connection, request, 503, "{}", true);
    chat.prompt = json::serialize(fields->at("messages"));
    const json::value* const isStreamed = fields->if_contains("stream");
    chat.isStreamed = isStreamed && isStreamed->is_bool() && isStreamed->get_bool();
    chat.resumedFrom = readHeaderNumber(request, "x-resume-from");
    chat.generation = std::make_shared<StandinGeneration>(this->http.getExecutor());
    chat.generation->promptTokens = static_cast<std::int64_t>(chat.prompt.size()) / bytesPerPromptToken + 1;
    chat.generation->produced = chat.resumedFrom;
    const json::value* const maximum = fields->if_contains("max_tokens");
    chat.generation->maximum = maximum && maximum->is_int64() ? maximum->get_int64() : defaultMaximumTokens;
    chat.generation->priority = static_cast<int>(readHeaderNumber(request, "x-priority"));
    chat.generation->prefixes = readPrefixes(request);
    this->batch.add(chat.generation);
    asio::co_spawn(this->http.getExecutor(), this->watch(chat.generation, connection), asio::detached);
    bool isWhole = false;
    if (chat.isStreamed)
        isWhole = co_await this->stream(chat, connection);
    else
        isWhole = co_await this->answerWhole(request, chat, connection);
    this->http.count(isWhole ? "completed" : "cancelled");
    chat.generation->isCancelled = true;
    connection.socket().cancel();
    co_return isWhole&& request.keep_alive();
}

asio::awaitable<bool> StandinEngine::stream(const Chat& chat, Stream& connection)
{
    StandinGeneration& generation = *chat.generation;
    const StandinFault fault = chat.fault.fault;
    asio::steady_timer pause(this->http.getExecutor());
    std::int64_t sent = chat.resumedFrom;
    std::string pending(streamHead);
    while (true) {
        while (sent < generation.produced) {
            ++sent;
            const bool isStruck = sent > chat.resumedFrom + chat.fault.afterTokens;
            if (isStruck && fault == StandinFault::GoSilent)
                generation.isHalted = true;
            if (isStruck && (fault == StandinFault::Die || fault == StandinFault::LoseAnswer))
                generation.isCancelled = true;
            const bool isLeftOut = isStruck && (generation.isCancelled || fault == StandinFault::GoSilent);
            const bool isSkipped
                = fault == StandinFault::SkipToken && sent == chat.resumedFrom + chat.fault.afterTokens + 1;
            if (!isLeftOut && !isSkipped)
                pending += tokenEvent(chat.prompt, sent);
            if (fault == StandinFault::RepeatTokens)
                pending += tokenEvent(chat.prompt, sent);
        }
        const bool isDone = generation.isHalted ? generation.isCancelled : generation.isDone();
        if (isDone && !generation.isCancelled) {
            pending += usageEvent(generation);
            pending
                += (fault == StandinFault::EndWithoutMark ? std::string() : event("[DONE]")) + std::string(lastChunk);
        }
        if (pending.size() > streamHead.size() || isDone) {
            const auto [error, count] = co_await asio::async_write(connection, asio::buffer(pending), standinResult);
            pending.clear();
            if (error)
                co_return false;
            this->http.count("written");
        }
        if (isDone)
            co_return !generation.isCancelled;
        if (fault == StandinFault::Slow) {
            pause.expires_after(slowStep);
            co_await pause.async_wait(standinResult);
        }
        if (sent == generation.produced)
            co_await generation.changed.async_wait(standinResult);
    }
}

asio::awaitable<bool> StandinEngine::answerWhole(const Request& request, const Chat& chat, Stream& connection)
{
    StandinGeneration& generation = *chat.generation;
    while (!generation.isDone())
        co_await generation.changed.async_wait(standinResult);
    if (chat.fault.fault == StandinFault::LoseAnswer || generation.isCancelled)
        co_return false;
    while (chat.fault.fault == StandinFault::GoSilent && !generation.isCancelled)
        co_await generation.changed.async_wait(standinResult);
    std::string text;
    for (std::int64_t index = 1; index <= generation.produced; ++index)
        text += tokenText(chat.prompt, index);
    json::object message;
    message["role"] = "assistant";
    message["content"] = text;
    json::object choice;
    choice["index"] = 0;
    choice["message"] = std::move(message);
    choice["finish_reason"] = "length";
    json::object fields;
    fields["object"] = "chat.completion";
    fields["model"] = chat.model;
    fields["choices"] = json::array { std::move(choice) };
    fields["usage"] = usage(generation);
    std::string body = json::serialize(fields);
    if (chat.fault.fault == StandinFault::Die) {
        const std::string half = "HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ncontent-length: "
            + std::to_string(body.size()) + "\r\n\r\n" + body.substr(0, body.size() / 2);
        co_await asio::async_write(connection, asio::buffer(half), standinResult);
        co_return false;
    }
    co_await StandinHttp::answer(connection, request, 200, std::move(body));
    co_return true;
}

asio::awaitable<void> StandinEngine::watch(std::shared_ptr<StandinGeneration> generation, Stream& connection)
{
    auto& socket = connection.socket();
    const auto [error] = co_await socket.async_wait(asio::ip::tcp::socket::wait_read, standinResult);
    if (error || generation->isCancelled)
        co_return;
    char byte = 0;
    boost::system::error_code readError;
    socket.receive(asio::buffer(&byte, 1), asio::socket_base::message_peek, readError);
    if (!readError)
        co_return;
    generation->isCancelled = true;
    generation->changed.cancel();
}

asio::awaitable<bool> StandinEngine::handleOrder(const Request& request, Stream& connection)
{
    boost::system::error_code error;
    const json::value parsed = json::parse(request.body(), error);
    const json::object* const fields = error ? nullptr : parsed.if_object();
    const auto text = [fields](std::string_view name) {
        const json::value* const value = fields ? fields->if_contains(name) : nullptr;
        return value && value->is_string() ? std::string(value->get_string()) : std::string();
    };
    const json::value* const fence = fields ? fields->if_contains("fence") : nullptr;
    if (!fence || !fence->is_int64())
        co_return co_await StandinHttp::answer(connection, request, 400, "{}");
    unsigned status = 200;
    {
        const std::lock_guard lock(this->mutex);
        if (this->settings.checksFencing && fence->get_int64() < this->orders.highestFence)
            status = 409;
        else if (text("action") == "load")
            this->orders.models.insert(text("model"));
        else if (text("action") == "unload")
            this->orders.models.erase(text("model"));
        else if (text("action") == "role")
            this->orders.role = text("role");
        else
            status = 400;
        if (status == 200)
            this->orders.highestFence = std::max(this->orders.highestFence, fence->get_int64());
    }
    std::string state = this->describeOrders();
    co_return co_await StandinHttp::answer(connection, request, status, std::move(state));
}

std::string StandinEngine::describeOrders() const
{
    const StandinOrderState state = this->getOrderState();
    json::array models;
    for (const std::string& model : state.models)
        models.push_back(json::value(std::string_view(model)));
    json::object fields;
    fields["models"] = std::move(models);
    fields["role"] = state.role;
    fields["fence"] = state.highestFence;
    return json::serialize(fields);
}

std::string StandinEngine::describeModels() const
{
    json::array models;
    for (const std::string& model : this->getOrderState().models) {
        json::object one;
        one["id"] = model;
        one["object"] = "model";
        models.push_back(std::move(one));
    }
    json::object fields;
    fields["object"] = "list";
    fields["data"] = std::move(models);
    return json::serialize(fields);
}

bool StandinEngine::hasModel(const std::string& model) const
{
    if (this->settings.models.empty())
        return true;
    const std::lock_guard lock(this->mutex);
    return this->orders.models.contains(model);
}

} // namespace papayashelf
