#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace papayashelf {

/** Splits a stream of server-sent events, in pieces of any size, into whole events. */
class SseReader {
public:
    /** @param maximumEventBytes  a longer event is an error */
    explicit SseReader(std::size_t maximumEventBytes)
        : maximumEventBytes(maximumEventBytes)
    {
    }

    /** Adds the next bytes of the stream. */
    void append(std::string_view bytes);

    /** Takes the next whole event's data, its lines joined; comments and other fields are left out. */
    std::optional<std::string> next();

    /** Number of whole events so far, with those without data. */
    std::size_t countEvents() const { return this->events; }

    /** True once an event passed the limit; the rest of the stream is of no use. */
    bool hasFailed() const { return this->failed; }

private:
    std::size_t maximumEventBytes;
    std::string buffer;
    std::size_t position = 0; /**< Where the next event begins in the buffer. */
    std::size_t scanned = 0; /**< Up to here no end of an event was found. */
    std::size_t events = 0;
    bool failed = false;
};

} // namespace papayashelf
