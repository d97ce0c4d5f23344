#pragma once

#include "timeline/events/TimelineEvent.h"
#include <boost/circular_buffer.hpp>

namespace papayashelf {

/**
    Stores the latest events of this process and maintains its Lamport clock.

    Every message to another VM carries getLogicalTime(), and the receiver passes it to observeLogicalTime(). This
    makes merged timelines show causes before effects even if the clocks of the VMs differ.
    Thread safety: none; owned by one thread.
*/
class Timeline {
public:
    /**
        Creates an empty timeline.

        @param capacity  maximum number of events kept; the oldest are dropped
    */
    Timeline(VmId vm, Incarnation incarnation, std::size_t capacity);

    //==================================================================================================================
    /** Appends an event and advances the logical clock. */
    void record(Milliseconds now, std::string kind, TimelineDetails details = {});

    /** Returns the logical time to send with a message. */
    std::uint64_t getLogicalTime() const { return this->logicalTime; }

    /** Advances the logical clock past the logical time of a received message. */
    void observeLogicalTime(std::uint64_t receivedTime);

    //==================================================================================================================
    /** Returns the stored events with a sequence number above the given one, oldest first. */
    std::vector<TimelineEvent> getEventsAfter(std::uint64_t sequence) const;

    /** Returns the number of recorded events, including dropped ones. */
    std::uint64_t getLastSequence() const { return this->lastSequence; }

private:
    VmId vm;
    Incarnation incarnation;
    std::uint64_t logicalTime = 0;
    std::uint64_t lastSequence = 0;
    boost::circular_buffer<TimelineEvent> events;
};

} // namespace papayashelf
