#pragma once

#include "foundation/time/Clock.h"
#include "metrics/metrics.h"
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace papayashelf {

/**
    Collects the request metrics of one process.

    Label values come from fixed sets of names, so that the number of time series is bounded. Thread safety: none; owned
    by one thread.
*/
class ServingMetrics {
public:
    /** Counts a request that ended. @param outcome  a stable name: "answered", or the cause of the failure */
    void noteRequest(std::string_view outcome) { ++this->requests[std::string(outcome)]; }

    /** Counts an attempt at an upstream or another VM that ended. @param end  the stable name of its end */
    void noteAttempt(std::string_view end) { ++this->attempts[std::string(end)]; }

    /** Counts an upstream's connection that ended within a request. @param progress  stable name of what had arrived */
    void noteConnectionLost(std::string_view progress) { ++this->lostConnections[std::string(progress)]; }

    /** Counts an answer that belongs to no request under way. @param kind  a stable name of what it is */
    void noteDroppedAnswer(std::string_view kind) { ++this->droppedAnswers[std::string(kind)]; }

    /** Records the time from the arrival of a request to the first event of its answer. */
    void noteFirstByteTime(Milliseconds time) { this->firstByte.note(time); }

    /** Records the time from the arrival of a request to the end of its answer. */
    void noteCompleteAnswer(Milliseconds time) { this->completeAnswer.note(time); }

    /** Counts a request as open. */
    void noteBegan() { ++this->openRequests; }

    /** Counts an open request as ended. */
    void noteEnded() { --this->openRequests; }

    /** Returns the number of requests in progress. */
    std::int64_t countOpenRequests() const { return this->openRequests; }

    /** Formats all metrics in the Prometheus text format. */
    std::string formatText() const;

private:
    /** Histogram of durations with fixed buckets. */
    struct Histogram {
        void note(Milliseconds time);

        std::map<std::int64_t, std::uint64_t> buckets; /**< Counts by upper bound in milliseconds; not cumulative. */
        std::uint64_t count = 0;
        std::int64_t sum = 0;
    };

    static std::string format(std::string_view name, const Histogram& histogram);

    std::map<std::string, std::uint64_t> requests;
    std::map<std::string, std::uint64_t> attempts;
    std::map<std::string, std::uint64_t> lostConnections; /**< By how much of the answer had arrived. */
    std::map<std::string, std::uint64_t> droppedAnswers; /**< By kind. */
    Histogram firstByte;
    Histogram completeAnswer;
    std::int64_t openRequests = 0;
};

} // namespace papayashelf
