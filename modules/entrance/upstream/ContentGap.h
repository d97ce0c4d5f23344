#pragma once

#include "entrance/upstream/AnswerBounds.h"
#include <cstddef>
#include <string_view>

namespace papayashelf {

/**
    Limits what a stream may send between two events that bring something new, so that an upstream that sends nothing
    of use without end costs the VM little work.

    Thread safety: none; owned by one attempt.
*/
class ContentGap {
public:
    /** Counts received bytes, with their framing. */
    void addBytes(std::size_t count) { this->bytes += count; }

    /** Counts received events that bring nothing new: empty ones, comments, repeated ones. */
    void addEvents(std::size_t count) { this->events += count; }

    /** Starts anew, after an event that brings something new. */
    void reset() { *this = {}; }

    /** Returns the name of the exceeded bound of answerbounds, or an empty text. */
    std::string_view findExceededBound() const
    {
        if (this->bytes > answerbounds::maximumBytesBetweenEvents)
            return "maximum_bytes_between_events";
        if (this->events > answerbounds::maximumEmptyEvents)
            return "maximum_empty_events";
        return {};
    }

private:
    std::size_t bytes = 0;
    std::size_t events = 0;
};

} // namespace papayashelf
