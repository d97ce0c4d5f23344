#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace papayashelf {

/**
    Cuts the bytes of an event stream into whole events, so that a stream that breaks off in the middle of an event can
    be continued elsewhere without a torn or repeated one.

    Thread safety: none; owned by one request.
*/
class EventSplitter {
public:
    /** @param lastId  id of the last event that the caller has; events up to it are left out */
    explicit EventSplitter(std::optional<std::uint64_t> lastId)
        : lastId(lastId)
    {
    }

    /** Adds bytes. Returns the whole events that they complete, unchanged, without those the caller has. */
    std::string push(std::string_view bytes);

    /** Forgets an event that has begun but not ended: another stream goes on from the last whole one. */
    void discardPartialEvent() { this->pending.clear(); }

    /** True if an event has begun and not ended. */
    bool hasPartialEvent() const { return !this->pending.empty(); }

    /** Id of the last event handed out, or the one given at the start. */
    std::optional<std::uint64_t> getLastId() const { return this->lastId; }

    /** True if an event without an id was handed out: the stream cannot be continued elsewhere. */
    bool hasEventWithoutId() const { return this->deliveredEventWithoutId; }

    /** Whole events handed out. */
    std::size_t countEvents() const { return this->deliveredEvents; }

private:
    bool acceptEvent(std::string_view event);

    std::string pending;
    std::optional<std::uint64_t> lastId;
    std::size_t deliveredEvents = 0;
    bool deliveredEventWithoutId = false;
};

} // namespace papayashelf
