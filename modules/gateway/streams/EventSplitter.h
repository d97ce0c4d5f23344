#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace papayashelf {

/**
    Splits the bytes of an event stream into complete events, so that a stream that is interrupted within an event can
   be continued by another upstream without a partial or duplicate event.

    Thread safety: none; owned by one request.
*/
class EventSplitter {
public:
    /** Creates a splitter. @param lastId  id of the last event that the caller has; events up to this id are dropped */
    explicit EventSplitter(std::optional<std::uint64_t> lastId)
        : lastId(lastId)
    {
    }

    static constexpr std::size_t maximumEventBytes = 262'144; /**< A longer event ends the stream. */

    /**
        Appends bytes. Returns the events that they complete, unchanged, without those that the caller already has. Once
        an event exceeds maximumEventBytes, its bytes are discarded and isOverlong() returns true.
    */
    std::string push(std::string_view bytes);

    /** Discards an incomplete event, so that another stream can continue after the last complete one. */
    void discardPartialEvent();

    /** Returns true if an event is incomplete. */
    bool hasPartialEvent() const { return !this->pending.empty(); }

    /** Returns true if the current event exceeded maximumEventBytes, so that the stream cannot be used any further. */
    bool isOverlong() const { return this->overlong; }

    /** Returns the bytes held of an incomplete event. */
    std::size_t countPendingBytes() const { return this->pending.size(); }

    /** Returns the id of the last delivered event, or the id passed to the constructor. */
    std::optional<std::uint64_t> getLastId() const { return this->lastId; }

    /** Returns true if data without an id was delivered, so that no other upstream can continue the stream. */
    bool hasContentWithoutId() const { return this->deliveredContentWithoutId; }

    /** Returns the number of delivered events that have an id or data, and are more than comments. */
    std::size_t countEventsWithContent() const { return this->eventsWithContent; }

    /** Returns the number of complete events so far, with those that the caller already had. */
    std::size_t countReceivedEvents() const { return this->receivedEvents; }

    /** Returns the number of delivered events. */
    std::size_t countEvents() const { return this->deliveredEvents; }

private:
    bool acceptEvent(std::string_view event);

    std::string pending;
    std::size_t searchedBytes = 0; /**< Bytes of the incomplete event that contain no end of it. */
    bool overlong = false;
    std::optional<std::uint64_t> lastId;
    std::size_t receivedEvents = 0;
    std::size_t deliveredEvents = 0;
    std::size_t eventsWithContent = 0;
    bool deliveredContentWithoutId = false;
};

} // namespace papayashelf
