#include "serving/request/ServingMetrics.h"

#include <array>

namespace papayashelf {

namespace {

/** Upper bounds of the buckets in milliseconds; the last bucket also counts longer times. */
constexpr std::array<std::int64_t, 12> bucketUpperBounds { 5, 10, 25, 50, 100, 250, 500, 1000, 2500, 5000, 10000,
    60000 };

std::string formatCounter(
    std::string_view name, std::string_view label, const std::map<std::string, std::uint64_t>& counts)
{
    std::string text = "# TYPE " + std::string(name) + " counter\n";
    for (const auto& [value, count] : counts) {
        text += std::string(name) + '{' + std::string(label) + "=\"" + value + "\"} " + std::to_string(count) + '\n';
    }
    return text;
}

} // namespace

void ServingMetrics::Histogram::note(Milliseconds time)
{
    std::size_t index = 0;
    while (index + 1 < bucketUpperBounds.size() && time.count() > bucketUpperBounds[index])
        ++index;
    ++this->buckets[bucketUpperBounds[index]];
    ++this->count;
    this->sum += time.count();
}

std::string ServingMetrics::format(std::string_view name, const Histogram& histogram)
{
    const std::string prefix(name);
    std::string text = "# TYPE " + prefix + " histogram\n";
    std::uint64_t cumulativeCount = 0;
    for (const std::int64_t bound : bucketUpperBounds) {
        const auto found = histogram.buckets.find(bound);
        cumulativeCount += found == histogram.buckets.end() ? 0 : found->second;
        text += prefix + "_bucket{le=\"" + std::to_string(bound) + "\"} " + std::to_string(cumulativeCount) + '\n';
    }
    text += prefix + "_bucket{le=\"+Inf\"} " + std::to_string(histogram.count) + '\n';
    text += prefix + "_sum " + std::to_string(histogram.sum) + '\n';
    text += prefix + "_count " + std::to_string(histogram.count) + '\n';
    return text;
}

std::string ServingMetrics::formatText() const
{
    std::string text = formatCounter("papayashelf_requests_total", "outcome", this->requests);
    text += formatCounter("papayashelf_attempts_total", "end", this->attempts);
    text += formatCounter("papayashelf_upstream_connections_lost_total", "answer", this->lostConnections);
    text += formatCounter("papayashelf_answers_dropped_total", "kind", this->droppedAnswers);
    text += format("papayashelf_first_byte_milliseconds", this->firstByte);
    text += format("papayashelf_answer_milliseconds", this->completeAnswer);
    text += "# TYPE papayashelf_open_requests gauge\npapayashelf_open_requests " + std::to_string(this->openRequests)
        + '\n';
    return text;
}

} // namespace papayashelf
