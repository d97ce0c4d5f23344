#pragma once

#include "foundation/identity/Identifier.h"
#include "foundation/time/Clock.h"
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace papayashelf {

/** One thing that happened on one VM. */
struct TimelineEvent {
    std::uint64_t logicalTime
        = 0; /**< Lamport time: larger than that of every event that could have caused this one. */
    VmId vm;
    Incarnation incarnation = 0;
    std::uint64_t sequence = 0; /**< Counts the events of this incarnation, from 1. */
    Milliseconds at; /**< The VM's own monotonic clock. */
    std::string kind; /**< lower_snake_case. */
    std::vector<std::pair<std::string, std::string>> details; /**< Never a key, a prompt or an answer. */

    bool operator==(const TimelineEvent&) const = default;
};

/** The details of an event, in the order in which they are shown. */
using TimelineDetails = std::vector<std::pair<std::string, std::string>>;

} // namespace papayashelf
