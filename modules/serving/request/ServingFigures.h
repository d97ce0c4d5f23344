#pragma once

#include "foundation/time/Clock.h"
#include "metrics/metrics.h"
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace papayashelf {

/**
    Counts what one process has done, for operators.

    Labels come from fixed sets of names, so that their number is bounded. Thread safety: none; owned by one thread.
*/
class ServingFigures {
public:
    /** A request ended. @param outcome  a stable name: "answered", or why not */
    void noteRequest(std::string_view outcome) { ++this->requests[std::string(outcome)]; }

    /** An attempt at an upstream or another VM ended. */
    void noteAttempt(std::string_view end) { ++this->attempts[std::string(end)]; }

    /** From a request's arrival to its first event, or its whole answer. */
    void noteFirstByte(Milliseconds time) { this->firstByte.note(time); }
    void noteWhole(Milliseconds time) { this->whole.note(time); }

    /** Requests under way. */
    void noteBegan() { ++this->open; }
    void noteEnded() { --this->open; }
    std::int64_t countOpen() const { return this->open; }

    /** The figures in the Prometheus text format. */
    std::string formatText() const;

private:
    /** Counts in fixed buckets. */
    struct Histogram {
        void note(Milliseconds time);

        std::map<std::int64_t, std::uint64_t> buckets; /**< By upper bound in milliseconds; not cumulative. */
        std::uint64_t count = 0;
        std::int64_t sum = 0;
    };

    static std::string format(std::string_view name, const Histogram& histogram);

    std::map<std::string, std::uint64_t> requests;
    std::map<std::string, std::uint64_t> attempts;
    Histogram firstByte;
    Histogram whole;
    std::int64_t open = 0;
};

} // namespace papayashelf
