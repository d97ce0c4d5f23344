#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace papayashelf {

/** One parsed line of a decision log. */
struct LoggedDecision {
    std::int64_t timeMilliseconds = 0; /**< Wall-clock time on the VM that wrote the line. */
    std::string vm;
    std::string event;
    std::string request; /**< Request id; empty if the line records a change of the VM's state. */
    std::string cause;
    std::string upstream; /**< The upstream concerned, or the last one tried; empty if there is none. */
    std::string line; /**< The JSON object as it was written. */

    bool operator==(const LoggedDecision&) const = default;
};

/** Parses a line; returns nothing if it is not a line of a decision log. */
std::optional<LoggedDecision> parseDecision(std::string_view line);

/**
    Collects the log lines of one request, and the state changes around them, from the logs of several processes.

    Lines may be added in any order.

    Thread safety: none; owned by one thread.
*/
class RequestTrace {
public:
    /** @param request  the request id that the caller sent; must not be empty */
    explicit RequestTrace(std::string request);

    /** Adds one line of a log. Malformed lines and lines about other requests are ignored. */
    void add(std::string_view line);

    /** Returns the request's lines sorted by time; among lines of the same time, the end of the request comes last. */
    std::vector<LoggedDecision> getSteps() const;

    /** Returns the step that decided how the request ended: its first failure, or its end if nothing failed. */
    std::optional<LoggedDecision> findDecisiveStep() const;

    /**
        Returns the state changes that may explain the decisive step, sorted by time.

        Only changes on the same VM count, from 15 s before the step until 5 s after it: starts of the process and
        losses or recoveries of the store, unless the step is a failed attempt; and changes of the list entry of the
        upstream concerned.
    */
    std::vector<LoggedDecision> findRelatedChanges() const;

private:
    std::string request;
    std::vector<LoggedDecision> steps;
    std::vector<LoggedDecision> changes;
};

} // namespace papayashelf
