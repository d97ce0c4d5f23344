#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

namespace papayashelf {

/**
    Remembers which requests a connection has carried, in bounded memory.

    It keeps digests, so that it may take a request for one that was carried although it was not, and never the other
    way round. Thread safety: none; owned by one I/O thread.
*/
class SentRequests {
public:
    /** Requests that are remembered; a connection that has carried as many is used no more. 8 bytes each. */
    static constexpr std::size_t capacity = 1024;

    /** Returns true if the request has been added. An empty id names no request and is never found. */
    bool contains(std::string_view requestId) const;

    /** Adds a request. Precondition: not isFull(). */
    void add(std::string_view requestId);

    /** Returns true if no further request can be remembered. */
    bool isFull() const { return this->digests.size() >= capacity; }

    /** Returns the number of requests added. */
    std::size_t count() const { return this->digests.size(); }

private:
    std::vector<std::uint64_t> digests;
};

} // namespace papayashelf
