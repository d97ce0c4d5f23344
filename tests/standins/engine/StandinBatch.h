#pragma once

#include "foundation/time/Clock.h"
#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <deque>
#include <list>
#include <memory>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

namespace papayashelf {

/** How fast a stand-in engine is, and what it remembers and tells. */
struct StandinBatchSettings {
    std::size_t slots = 8; /**< Requests generated at once. */
    std::int64_t stepMicroseconds = 0; /**< A step of an empty batch. */
    std::int64_t stepMicrosecondsPerRequest = 0; /**< On top for each request in the batch. */
    std::int64_t stepMicrosecondsPerThousandContextTokens = 0; /**< On top for all their context together. */
    std::int64_t prefillMicrosecondsPerToken = 0; /**< For each prompt token that is not in the cache. */
    std::size_t cacheBlocks = 1024; /**< Prefix blocks that the cache holds. */
    Milliseconds reportLag { 0 }; /**< Age of what a load report says. */
    double eventLossShare = 0; /**< Share of cache events that are never told, 0 to 1. */
    std::uint64_t seed = 1;

    bool operator==(const StandinBatchSettings&) const = default;
};

/** One answer in the making. */
struct StandinGeneration {
    explicit StandinGeneration(const boost::asio::any_io_executor& executor)
        : changed(executor)
    {
        this->changed.expires_at(boost::asio::steady_timer::time_point::max());
    }

    std::int64_t promptTokens = 0;
    std::int64_t produced = 0; /**< Index of the newest token; starts at the token resumed from. */
    std::int64_t maximum = 0;
    int priority = 0;
    std::vector<std::uint64_t> prefixes;
    bool isCancelled = false;
    bool isHalted = false; /**< Makes no more tokens, but is not over. */
    boost::asio::steady_timer changed; /**< Cancelled whenever something changed. */

    bool isDone() const { return this->produced >= this->maximum || this->isCancelled; }
};

/** What an engine says about itself. */
struct StandinLoad {
    std::size_t running = 0;
    std::size_t waiting = 0;
    double cacheUse = 0;
    std::vector<std::uint64_t> added;
    std::vector<std::uint64_t> evicted;
};

/**
    Continuous batching: after each step every request in the batch has one token more, and free slots are filled by
    priority. A step takes longer with more requests and longer contexts. Prefix blocks are kept by least recent use.

    Thread safety: none; owned by the engine's thread.
*/
class StandinBatch {
public:
    StandinBatch(const boost::asio::any_io_executor& executor, StandinBatchSettings settings);

    /** Queues an answer. */
    void add(std::shared_ptr<StandinGeneration> generation);

    /** Generates for ever. Run once. */
    boost::asio::awaitable<void> run();

    /** The load as it was a lag ago, with the cache events known by then. */
    StandinLoad report();

private:
    struct Snapshot {
        std::chrono::steady_clock::time_point at;
        std::size_t running = 0;
        std::size_t waiting = 0;
    };

    struct CacheEvent {
        std::chrono::steady_clock::time_point at;
        std::uint64_t prefix = 0;
        bool isEviction = false;
    };

    void fillSlots();
    std::int64_t admit(const StandinGeneration& generation);
    std::int64_t stepMicroseconds() const;
    void produce();
    void remember(std::uint64_t prefix);
    void tell(std::uint64_t prefix, bool isEviction);
    void takeSnapshot();

    StandinBatchSettings settings;
    std::deque<std::shared_ptr<StandinGeneration>> waiting;
    std::vector<std::shared_ptr<StandinGeneration>> running;
    std::list<std::uint64_t> recency; /**< Used last stands first. */
    std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> cache;
    std::deque<Snapshot> snapshots;
    std::deque<CacheEvent> events;
    std::mt19937_64 random;
    std::int64_t prefillMicroseconds = 0;
    boost::asio::steady_timer timer;
    bool isIdle = false;
};

} // namespace papayashelf
