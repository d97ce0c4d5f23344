#pragma once

#include "foundation/logging/JsonLog.h"
#include "foundation/time/Clock.h"
#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>

namespace papayashelf {

/** How much a line matters when the log has more to say than it may. */
enum class LogWeight {
    Routine, /**< A success: thinned first. */
    Notable, /**< A refusal, a failure or a change of what the process believes. */
};

/**
    Writes one JSON object a line to a descriptor, such as standard output, without ever waiting for its reader.

    Lines are collected and written in one piece by flush(). Routine lines beyond a number a second are left out, and
    lines that find no room are dropped; both are counted and told in a line of their own.
    Thread safety: none; owned by one thread.
*/
class DecisionLog {
public:
    /** @param descriptor  open for writing; it is set not to block. Must outlive the log. */
    explicit DecisionLog(int descriptor);

    DecisionLog(const DecisionLog&) = delete;
    DecisionLog& operator=(const DecisionLog&) = delete;

    /** Writes what is left, without waiting. */
    ~DecisionLog() { this->flush(); }

    /** Adds fields that every later line carries, such as the VM's name. */
    void setCommon(std::initializer_list<LogField> fields);

    /**
        Adds one line.

        Never pass a key, a prompt or an answer.
        @param event  what happened, in lower_snake_case
    */
    void write(Milliseconds now, LogWeight weight, std::string_view event, std::initializer_list<LogField> fields);

    /** Writes what was collected, as far as the descriptor takes it. */
    void flush();

    /** Lines left out or dropped since the start. */
    std::uint64_t countDropped() const { return this->dropped; }

private:
    bool mayWriteRoutine(Milliseconds now);

    int descriptor;
    std::string common; /**< Serialized members, with a leading comma each. */
    std::string waiting;
    std::uint64_t dropped = 0;
    std::uint64_t told = 0; /**< Of the dropped ones, those a line has told of. */
    Milliseconds secondBegan;
    int routineThisSecond = 0;
};

} // namespace papayashelf
