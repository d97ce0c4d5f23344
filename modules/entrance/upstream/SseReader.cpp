#include "entrance/upstream/SseReader.h"

#include <algorithm>

namespace papayashelf {

namespace {

/** Where a blank line ends, or npos. A blank line follows the line end of the line before it. */
struct BlankLine {
    std::size_t begin = std::string::npos; /**< The end of the event's last line. */
    std::size_t end = std::string::npos; /**< The first byte after the blank line. */
};

BlankLine findBlankLine(const std::string& text, std::size_t from)
{
    for (std::size_t index = text.find('\n', from); index != std::string::npos; index = text.find('\n', index + 1)) {
        if (index + 1 < text.size() && text[index + 1] == '\n')
            return { index, index + 2 };
        if (index + 2 < text.size() && text[index + 1] == '\r' && text[index + 2] == '\n')
            return { index, index + 3 };
    }
    return {};
}

std::string joinDataLines(std::string_view event)
{
    constexpr std::string_view field = "data:";
    std::string data;
    bool isFirst = true;
    while (!event.empty()) {
        const std::size_t end = event.find('\n');
        std::string_view line = event.substr(0, end);
        event.remove_prefix(end == std::string_view::npos ? event.size() : end + 1);
        if (!line.empty() && line.back() == '\r')
            line.remove_suffix(1);
        if (line.substr(0, field.size()) != field)
            continue;
        line.remove_prefix(field.size());
        if (!line.empty() && line.front() == ' ')
            line.remove_prefix(1);
        if (!isFirst)
            data += '\n';
        data += line;
        isFirst = false;
    }
    return data;
}

} // namespace

void SseReader::append(std::string_view bytes)
{
    if (this->position == this->buffer.size()) {
        this->buffer.clear();
        this->position = 0;
        this->scanned = 0;
    }
    this->buffer += bytes;
}

std::optional<std::string> SseReader::next()
{
    constexpr std::size_t longestLineEnd = 3;
    while (true) {
        const BlankLine blank = findBlankLine(this->buffer, std::max(this->position, this->scanned));
        if (blank.end == std::string::npos) {
            this->buffer.erase(0, this->position);
            this->position = 0;
            this->scanned = this->buffer.size() - std::min(this->buffer.size(), longestLineEnd);
            this->failed |= this->buffer.size() > this->maximumEventBytes;
            return std::nullopt;
        }
        const std::string_view event
            = std::string_view(this->buffer).substr(this->position, blank.begin - this->position);
        std::string data = joinDataLines(event);
        this->position = blank.end;
        this->scanned = blank.end;
        ++this->events;
        if (!data.empty())
            return data;
    }
}

} // namespace papayashelf
