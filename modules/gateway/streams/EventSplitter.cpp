#include "gateway/streams/EventSplitter.h"

#include <algorithm>
#include <charconv>

namespace papayashelf {

namespace {

/** Bytes of the longest end of an event but one, which may have arrived in part. */
constexpr std::size_t longestPartialEnd = 2;

/** Returns the position after the first event that ends after the given offset, or npos. Lines end with LF or CRLF. */
std::size_t findEventEnd(std::string_view bytes, std::size_t from)
{
    for (std::size_t lineFeed = bytes.find('\n', from); lineFeed != std::string_view::npos;
         lineFeed = bytes.find('\n', lineFeed + 1)) {
        const std::string_view rest = bytes.substr(lineFeed + 1);
        if (rest.starts_with('\n'))
            return lineFeed + 2;
        if (rest.starts_with("\r\n"))
            return lineFeed + 3;
    }
    return std::string_view::npos;
}

/** Returns the numeric id of an event, if it has one. */
std::optional<std::uint64_t> findEventId(std::string_view event)
{
    constexpr std::string_view field = "id:";
    while (!event.empty()) {
        const std::size_t lineFeed = event.find('\n');
        std::string_view line = event.substr(0, lineFeed);
        if (line.starts_with(field)) {
            line.remove_prefix(field.size());
            while (line.starts_with(' '))
                line.remove_prefix(1);
            std::uint64_t id = 0;
            const auto [end, error] = std::from_chars(line.data(), line.data() + line.size(), id);
            return error == std::errc() ? std::optional(id) : std::nullopt;
        }
        if (lineFeed == std::string_view::npos)
            break;
        event.remove_prefix(lineFeed + 1);
    }
    return std::nullopt;
}

bool hasData(std::string_view event)
{
    constexpr std::string_view field = "data:";
    return event.starts_with(field) || event.find("\ndata:") != std::string_view::npos;
}

} // namespace

std::string EventSplitter::push(std::string_view bytes)
{
    this->pending.append(bytes);
    std::string completeEvents;
    std::size_t consumed = 0;
    while (true) {
        const std::string_view rest = std::string_view(this->pending).substr(consumed);
        const std::size_t end = findEventEnd(rest, consumed == 0 ? this->searchedBytes : 0);
        if (end == std::string_view::npos)
            break;
        if (this->acceptEvent(rest.substr(0, end)))
            completeEvents.append(rest.substr(0, end));
        consumed += end;
    }
    this->pending.erase(0, consumed);
    this->searchedBytes = this->pending.size() - std::min(this->pending.size(), longestPartialEnd);
    if (this->pending.size() > maximumEventBytes) {
        this->discardPartialEvent();
        this->overlong = true;
    }
    return completeEvents;
}

void EventSplitter::discardPartialEvent()
{
    this->pending.clear();
    this->searchedBytes = 0;
    this->overlong = false;
}

bool EventSplitter::acceptEvent(std::string_view event)
{
    ++this->receivedEvents;
    const std::optional<std::uint64_t> id = findEventId(event);
    if (id && this->lastId && *id <= *this->lastId)
        return false;
    const bool isContent = id || hasData(event);
    if (id)
        this->lastId = id;
    else if (isContent)
        this->deliveredContentWithoutId = true;
    ++this->deliveredEvents;
    this->eventsWithContent += isContent ? 1 : 0;
    return true;
}

} // namespace papayashelf
