#include "standins/engine/StandinBatch.h"

#include "standins/engine/StandinHttp.h"
#include <algorithm>
#include <boost/asio/post.hpp>

namespace papayashelf {

namespace asio = boost::asio;

namespace {

constexpr std::size_t keptEvents = 1024;
constexpr std::size_t keptSnapshots = 4096;
constexpr std::int64_t tokensPerBlock = 64;
constexpr std::int64_t contextUnitTokens = 1000;

} // namespace

StandinBatch::StandinBatch(const asio::any_io_executor& executor, StandinBatchSettings settings)
    : settings(settings)
    , random(settings.seed)
    , timer(executor)
{
}

void StandinBatch::add(std::shared_ptr<StandinGeneration> generation)
{
    const auto place = std::find_if(this->waiting.begin(), this->waiting.end(),
        [&generation](const auto& other) { return other->priority < generation->priority; });
    this->waiting.insert(place, std::move(generation));
    if (this->isIdle)
        this->timer.cancel();
}

asio::awaitable<void> StandinBatch::run()
{
    while (true) {
        this->fillSlots();
        this->takeSnapshot();
        this->isIdle = this->running.empty();
        const std::int64_t step = this->stepMicroseconds();
        if (this->isIdle)
            this->timer.expires_at(asio::steady_timer::time_point::max());
        else
            this->timer.expires_after(std::chrono::microseconds(step));
        if (this->isIdle || step > 0)
            co_await this->timer.async_wait(standinResult);
        else
            co_await asio::post(asio::use_awaitable);
        this->prefillMicroseconds = 0;
        this->produce();
    }
}

StandinLoad StandinBatch::report()
{
    const auto until = std::chrono::steady_clock::now() - std::chrono::milliseconds(this->settings.reportLag.count());
    StandinLoad load;
    for (const Snapshot& snapshot : this->snapshots) {
        if (snapshot.at > until)
            break;
        load.running = snapshot.running;
        load.waiting = snapshot.waiting;
    }
    for (const CacheEvent& event : this->events) {
        if (event.at <= until)
            (event.isEviction ? load.evicted : load.added).push_back(event.prefix);
    }
    load.cacheUse = static_cast<double>(this->cache.size()) / static_cast<double>(this->settings.cacheBlocks);
    return load;
}

void StandinBatch::fillSlots()
{
    std::erase_if(this->waiting, [](const auto& generation) { return generation->isCancelled; });
    while (this->running.size() < this->settings.slots && !this->waiting.empty()) {
        this->prefillMicroseconds += this->admit(*this->waiting.front());
        this->running.push_back(std::move(this->waiting.front()));
        this->waiting.pop_front();
    }
}

std::int64_t StandinBatch::admit(const StandinGeneration& generation)
{
    const auto isCached = [this](std::uint64_t prefix) { return this->cache.contains(prefix); };
    const auto firstMiss = std::find_if_not(generation.prefixes.begin(), generation.prefixes.end(), isCached)
        - generation.prefixes.begin();
    for (const std::uint64_t prefix : generation.prefixes)
        this->remember(prefix);
    const std::int64_t context = generation.promptTokens + generation.produced;
    return std::max<std::int64_t>(0, context - firstMiss * tokensPerBlock) * this->settings.prefillMicrosecondsPerToken;
}

std::int64_t StandinBatch::stepMicroseconds() const
{
    std::int64_t context = 0;
    for (const auto& generation : this->running)
        context += generation->promptTokens + generation->produced;
    const auto requests = static_cast<std::int64_t>(this->running.size());
    return this->settings.stepMicroseconds + requests * this->settings.stepMicrosecondsPerRequest
        + context * this->settings.stepMicrosecondsPerThousandContextTokens / contextUnitTokens
        + this->prefillMicroseconds;
}

void StandinBatch::produce()
{
    for (const auto& generation : this->running) {
        if (generation->isDone())
            continue;
        ++generation->produced;
        generation->changed.cancel();
    }
    std::erase_if(this->running, [](const auto& generation) { return generation->isDone() || generation->isHalted; });
}

void StandinBatch::remember(std::uint64_t prefix)
{
    const auto known = this->cache.find(prefix);
    if (known != this->cache.end()) {
        this->recency.splice(this->recency.begin(), this->recency, known->second);
        return;
    }
    this->recency.push_front(prefix);
    this->cache.emplace(prefix, this->recency.begin());
    this->tell(prefix, false);
    if (this->cache.size() <= this->settings.cacheBlocks)
        return;
    const std::uint64_t oldest = this->recency.back();
    this->recency.pop_back();
    this->cache.erase(oldest);
    this->tell(oldest, true);
}

void StandinBatch::tell(std::uint64_t prefix, bool isEviction)
{
    if (std::uniform_real_distribution<double>(0, 1)(this->random) < this->settings.eventLossShare)
        return;
    this->events.push_back({ std::chrono::steady_clock::now(), prefix, isEviction });
    if (this->events.size() > keptEvents)
        this->events.pop_front();
}

void StandinBatch::takeSnapshot()
{
    this->snapshots.push_back({ std::chrono::steady_clock::now(), this->running.size(), this->waiting.size() });
    if (this->snapshots.size() > keptSnapshots)
        this->snapshots.pop_front();
}

} // namespace papayashelf
