#pragma once

#include "foundation/identity/Identifier.h"
#include "foundation/time/Clock.h"
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace papayashelf {

/** An event that happened on one VM. */
struct TimelineEvent {
    std::uint64_t logicalTime = 0; /**< Lamport time; larger than that of every possible cause. */
    VmId vm;
    Incarnation incarnation = 0;
    std::uint64_t sequence = 0; /**< Number of the event within its incarnation, from 1. */
    Milliseconds at; /**< Time of the event on the VM's monotonic clock. */
    std::string kind; /**< Type of the event, in lower_snake_case. */
    std::vector<std::pair<std::string, std::string>> details; /**< Never contain a key, a prompt or an answer. */

    bool operator==(const TimelineEvent&) const = default;
};

/** The details of an event, in display order. */
using TimelineDetails = std::vector<std::pair<std::string, std::string>>;

} // namespace papayashelf
