#include "scenario/world/VirtualUpstream.h"

#include <algorithm>

namespace papayashelf {

namespace {

constexpr Milliseconds linkDelay { 1 };
constexpr Milliseconds baseFirstToken { 40 };
constexpr std::int64_t promptTokensPerMillisecond = 8;
constexpr std::int64_t baseTokenMilliseconds = 15;
constexpr Milliseconds plainServiceTime { 30 };

} // namespace

VirtualUpstream::VirtualUpstream(const Upstream& described, ServiceKind serviceKind, EventQueue& events)
    : upstream(described)
    , kind(serviceKind)
    , queue(events)
{
}

std::uint64_t VirtualUpstream::start(UpstreamJob job)
{
    const std::uint64_t number = ++this->lastNumber;
    if (this->isDead) {
        this->queue.after(
            linkDelay, [ended = job.onEnded, from = job.resumeFrom] { ended(AttemptResult::NotSent, from, 0); });
        return number;
    }
    this->waiting.emplace(number, std::move(job));
    this->queue.after(linkDelay, [this] { this->beginNext(); });
    return number;
}

void VirtualUpstream::beginNext()
{
    while (!this->waiting.empty() && static_cast<int>(this->running.size()) < this->upstream.slots) {
        auto next = this->waiting.extract(this->waiting.begin());
        this->running.emplace(next.key(), Running { std::move(next.mapped()), false, {}, {} });
        this->begin(next.key());
    }
}

void VirtualUpstream::begin(std::uint64_t number)
{
    Running& started = this->running.at(number);
    started.job.onExecution();
    if (this->kind == ServiceKind::PlainService) {
        this->queue.after(plainServiceTime, [this, number] { this->complete(number); });
        return;
    }
    const auto batch = static_cast<std::int64_t>(this->running.size());
    started.firstTokenAt
        = this->queue.now() + baseFirstToken + Milliseconds(started.job.promptTokens / promptTokensPerMillisecond);
    started.tokenTime = Milliseconds(baseTokenMilliseconds + batch / 2);
    this->queue.at(started.firstTokenAt, [this, number] {
        const auto found = this->running.find(number);
        if (found == this->running.end() || this->isSilent)
            return;
        found->second.hasBegun = true;
        found->second.job.onBegan();
    });
    const std::int64_t left = started.job.answerTokens - started.job.resumeFrom;
    this->queue.at(started.firstTokenAt + started.tokenTime * left, [this, number] { this->complete(number); });
}

void VirtualUpstream::complete(std::uint64_t number)
{
    const auto found = this->running.find(number);
    if (found == this->running.end() || this->isSilent)
        return;
    if (!found->second.hasBegun)
        found->second.job.onBegan();
    this->finish(number, AttemptResult::Completed);
}

void VirtualUpstream::stop(std::uint64_t number, AttemptResult result)
{
    const auto waits = this->waiting.find(number);
    if (waits != this->waiting.end()) {
        const UpstreamJob job = std::move(waits->second);
        this->waiting.erase(waits);
        this->queue.after(linkDelay, [job, result] { job.onEnded(result, job.resumeFrom, 0); });
        return;
    }
    if (this->running.count(number) > 0)
        this->finish(number, result);
}

std::int64_t VirtualUpstream::getDelivered(std::uint64_t number) const
{
    const auto found = this->running.find(number);
    return found == this->running.end() ? 0 : this->producedBy(found->second);
}

void VirtualUpstream::kill()
{
    this->isDead = true;
    while (!this->waiting.empty()) {
        auto next = this->waiting.extract(this->waiting.begin());
        const UpstreamJob job = std::move(next.mapped());
        this->queue.after(linkDelay, [job] { job.onEnded(AttemptResult::NoAnswer, job.resumeFrom, 0); });
    }
    while (!this->running.empty()) {
        const auto& [number, job] = *this->running.begin();
        this->finish(number, job.hasBegun ? AttemptResult::Truncated : AttemptResult::NoAnswer);
    }
}

void VirtualUpstream::finish(std::uint64_t number, AttemptResult result)
{
    auto ended = this->running.extract(number);
    const UpstreamJob job = std::move(ended.mapped().job);
    const bool isWhole = result == AttemptResult::Completed;
    const std::int64_t delivered = isWhole ? job.answerTokens : this->producedBy(ended.mapped());
    const std::int64_t processed = job.promptTokens + delivered - job.resumeFrom;
    this->queue.after(linkDelay, [job, result, delivered, processed] { job.onEnded(result, delivered, processed); });
    this->beginNext();
}

std::int64_t VirtualUpstream::producedBy(const Running& entry) const
{
    if (!entry.hasBegun || entry.tokenTime.count() == 0)
        return entry.job.resumeFrom;
    const Milliseconds lastToken = std::min(this->queue.now(), this->silentSince);
    if (lastToken < entry.firstTokenAt)
        return entry.job.resumeFrom;
    const std::int64_t produced = 1 + (lastToken - entry.firstTokenAt).count() / entry.tokenTime.count();
    return std::min(entry.job.resumeFrom + produced, entry.job.answerTokens);
}

LoadReport VirtualUpstream::report() const
{
    LoadReport report;
    report.upstream = this->upstream.id;
    report.running = static_cast<std::int64_t>(this->running.size());
    report.waiting = static_cast<std::int64_t>(this->waiting.size());
    return report;
}

} // namespace papayashelf
