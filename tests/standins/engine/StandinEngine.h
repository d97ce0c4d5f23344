#pragma once

#include "foundation/time/Clock.h"
#include "standins/engine/StandinBatch.h"
#include "standins/engine/StandinHttp.h"
#include <cstdint>
#include <memory>
#include <mutex>
#include <set>
#include <string>

namespace papayashelf {

/** How a stand-in engine behaves. */
struct StandinEngineSettings {
    Endpoint listen { "127.0.0.1", 0 }; /**< Port 0 takes a free one. */
    StandinBatchSettings batch;
    std::set<std::string> models; /**< Models loaded at the start; empty serves any model. */
    bool checksFencing = true; /**< Whether it refuses an order with a fencing number below the highest seen. */
};

/** What orders have made of an engine. */
struct StandinOrderState {
    std::set<std::string> models;
    std::string role = "both";
    std::int64_t highestFence = 0;

    bool operator==(const StandinOrderState&) const = default;
};

/**
    A model engine: POST /v1/chat/completions, GET /v1/models, GET /load, POST and GET /orders, POST /fault.

    A streamed event holds "token", counted from 1; the last event holds the usage, and [DONE] ends the stream. The
    text of a token follows from the prompt and the index alone. x-resume-from: N goes on after token N, x-priority
    orders the queue, and closing the connection cancels.

    Thread safety: start() and stop() belong to the owner, everything else to any thread.
*/
class StandinEngine {
public:
    explicit StandinEngine(StandinEngineSettings settings = {});
    ~StandinEngine();
    StandinEngine(const StandinEngine&) = delete;
    StandinEngine& operator=(const StandinEngine&) = delete;

    Endpoint start();
    void stop();

    /** The HTTP side: faults, requests received, counts of events ("completed", "cancelled", "token"). */
    StandinHttp& getHttp() { return this->http; }

    StandinOrderState getOrderState() const;

    /** The text of one token of the answer to a prompt; the same for every engine. */
    static std::string tokenText(const std::string& prompt, std::int64_t index);

private:
    using Request = StandinHttp::Request;
    using Stream = StandinHttp::Stream;

    struct Chat;

    boost::asio::awaitable<bool> handle(const Request& request, Stream& stream);
    boost::asio::awaitable<bool> handleChat(const Request& request, Stream& stream);
    boost::asio::awaitable<bool> stream(const Chat& chat, Stream& stream);
    boost::asio::awaitable<bool> answerWhole(const Request& request, const Chat& chat, Stream& stream);
    boost::asio::awaitable<void> watch(std::shared_ptr<StandinGeneration> generation, Stream& stream);
    boost::asio::awaitable<bool> handleOrder(const Request& request, Stream& stream);
    std::string describeOrders() const;
    std::string describeModels() const;
    bool hasModel(const std::string& model) const;

    const StandinEngineSettings settings;
    mutable std::mutex mutex;
    StandinOrderState orders;
    StandinHttp http;
    StandinBatch batch;
};

} // namespace papayashelf
