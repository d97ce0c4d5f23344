#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace papayashelf {

/** One line of a decision log. */
struct LoggedDecision {
    std::int64_t timeMilliseconds = 0; /**< By the wall clock of the VM that wrote it. */
    std::string vm;
    std::string event;
    std::string request; /**< Empty for a change of what the VM believes. */
    std::string cause;
    std::string upstream; /**< That it was about, or the last one tried; empty for none. */
    std::string line; /**< As it was written. */

    bool operator==(const LoggedDecision&) const = default;
};

/** Reads a line; nothing if it is none of a decision log. */
std::optional<LoggedDecision> readDecision(std::string_view line);

/**
    What became of one request, collected from the logs of several processes in any order.

    Thread safety: none; owned by one thread.
*/
class RequestTrace {
public:
    /** @param request  the id that the caller sent; not empty */
    explicit RequestTrace(std::string request);

    /** Takes one line of a log. Lines that are of no use here are passed over. */
    void add(std::string_view line);

    /** The request's own lines, by time; on one VM its end stands last. */
    std::vector<LoggedDecision> getSteps() const;

    /** The step that decided how the request ended: the first failure behind it, or else its end. */
    std::optional<LoggedDecision> findDecisiveStep() const;

    /**
        Changes of what VMs believed that explain the decisive step: the store of a VM that refused as stale, the
        list's entry of an upstream that broke off; from 15 s before until 5 s after it, by time.
    */
    std::vector<LoggedDecision> findRelatedChanges() const;

private:
    std::string request;
    std::vector<LoggedDecision> steps;
    std::vector<LoggedDecision> changes;
};

} // namespace papayashelf
