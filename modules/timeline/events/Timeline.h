#pragma once

#include "timeline/events/TimelineEvent.h"
#include <boost/circular_buffer.hpp>

namespace papayashelf {

/**
    Keeps the latest events of this process and its Lamport clock.

    Every message to another VM carries getLogicalTime(), and witness() is called with what arrives, so that merged
    time lines show causes before effects although the VMs' clocks differ.
    Thread safety: none; owned by one thread.
*/
class Timeline {
public:
    /** @param capacity  how many events are kept; older ones are dropped */
    Timeline(VmId vm, Incarnation incarnation, std::size_t capacity);

    //==================================================================================================================
    /** Appends an event that happened now. */
    void record(Milliseconds now, std::string kind, TimelineDetails details = {});

    /** The time to send with a message. */
    std::uint64_t getLogicalTime() const { return this->logicalTime; }

    /** Moves the logical clock past that of a received message. */
    void witness(std::uint64_t received);

    //==================================================================================================================
    /** The kept events with a sequence number above the given one, oldest first. */
    std::vector<TimelineEvent> getEventsAfter(std::uint64_t sequence) const;

    /** How many events were recorded in all, dropped ones included. */
    std::uint64_t getLastSequence() const { return this->lastSequence; }

private:
    VmId vm;
    Incarnation incarnation;
    std::uint64_t logicalTime = 0;
    std::uint64_t lastSequence = 0;
    boost::circular_buffer<TimelineEvent> events;
};

} // namespace papayashelf
