#pragma once

#include "foundation/identity/Identifier.h"
#include "foundation/time/Clock.h"
#include <algorithm>
#include <cstdint>
#include <deque>
#include <list>
#include <unordered_map>
#include <vector>

namespace papayashelf::measure {

constexpr std::int64_t blockTokens = 64;
constexpr std::int64_t prefillTokensPerStep = 512;
constexpr double stepMilliseconds = 15;
constexpr double stepMillisecondsPerRequest = 0.6;
constexpr double stepMillisecondsPerPrefillToken = 0.15;
constexpr double plainCallMilliseconds = 40;
constexpr std::size_t cachedBlocks = 2000;

/** One attempt at an engine. */
struct Job {
    std::size_t vm = 0;
    RequestId request = 0;
    std::uint32_t attempt = 0;
    std::size_t call = 0; /**< Index in the trace. */
    std::int64_t prefillLeft = 0;
    std::int64_t produced = 0;
    std::int64_t wanted = 0;
    bool hasBegun = false;
};

/** The prompt blocks that an engine holds, least recently used out first. */
class BlockCache {
public:
    /** How many leading blocks are held; the prompt's blocks are held afterwards. */
    std::size_t use(const std::vector<std::uint64_t>& blocks, std::vector<std::uint64_t>& added,
        std::vector<std::uint64_t>& evicted)
    {
        std::size_t matched = 0;
        bool isMatching = true;
        for (const std::uint64_t block : blocks) {
            const auto held = this->places.find(block);
            isMatching = isMatching && held != this->places.end();
            matched += isMatching ? 1 : 0;
            if (held != this->places.end())
                this->order.erase(held->second);
            else
                added.push_back(block);
            this->order.push_front(block);
            this->places[block] = this->order.begin();
        }
        while (this->order.size() > cachedBlocks) {
            evicted.push_back(this->order.back());
            this->places.erase(this->order.back());
            this->order.pop_back();
        }
        return matched;
    }

    void clear()
    {
        this->order.clear();
        this->places.clear();
    }

    double use() const { return static_cast<double>(this->order.size()) / cachedBlocks; }

private:
    std::list<std::uint64_t> order;
    std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> places;
};

/** A model engine, or a plain service, that batches continuously; its steps grow with batch and prefill. */
struct Engine {
    UpstreamId id;
    std::size_t region = 0;
    std::size_t slots = 16;
    bool isPlain = false;
    bool isUp = true;
    bool isStepping = false;
    double busySeconds = 0;
    std::uint64_t life = 0; /**< Raised when it dies, so that its old steps are void. */
    std::vector<Job> running;
    std::deque<Job> waiting;
    BlockCache cache;
    std::vector<std::uint64_t> added;
    std::vector<std::uint64_t> evicted;

    void accept(Job job, const std::vector<std::uint64_t>& blocks, std::int64_t promptTokens)
    {
        if (!this->isPlain) {
            const auto matched = static_cast<std::int64_t>(this->cache.use(blocks, this->added, this->evicted));
            job.prefillLeft = std::max<std::int64_t>(1, promptTokens - matched * blockTokens);
        }
        this->waiting.push_back(job);
    }

    void fillBatch()
    {
        while (this->running.size() < this->slots && !this->waiting.empty()) {
            this->running.push_back(this->waiting.front());
            this->waiting.pop_front();
        }
    }

    /** Does one step's work and returns how long it takes. */
    double step()
    {
        if (this->isPlain)
            return plainCallMilliseconds;
        std::int64_t prefill = 0;
        for (Job& job : this->running) {
            const std::int64_t part = std::min(job.prefillLeft, prefillTokensPerStep - prefill);
            job.prefillLeft -= part;
            prefill += part;
        }
        return stepMilliseconds + stepMillisecondsPerRequest * static_cast<double>(this->running.size())
            + stepMillisecondsPerPrefillToken * static_cast<double>(prefill);
    }
};

} // namespace papayashelf::measure
