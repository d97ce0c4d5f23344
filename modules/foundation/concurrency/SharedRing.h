#pragma once

#include <boost/circular_buffer.hpp>
#include <cstddef>
#include <mutex>
#include <optional>
#include <utility>

namespace papayashelf {

/**
    A bounded queue from many threads to one.

    Thread safety: any thread may call any method; nothing waits for room.
*/
template <typename Item> class SharedRing {
public:
    /** @param capacity  how many items fit; at least 1 */
    explicit SharedRing(std::size_t capacity)
        : items(capacity)
    {
    }

    /** Appends an item, or returns false and leaves it untouched if the ring is full. */
    bool push(Item&& item)
    {
        const std::scoped_lock lock(this->mutex);
        if (this->items.full())
            return false;
        this->items.push_back(std::move(item));
        return true;
    }

    /** Takes the oldest item, or nothing if the ring is empty. */
    std::optional<Item> pop()
    {
        const std::scoped_lock lock(this->mutex);
        if (this->items.empty())
            return std::nullopt;
        std::optional<Item> item(std::move(this->items.front()));
        this->items.pop_front();
        return item;
    }

private:
    std::mutex mutex;
    boost::circular_buffer<Item> items;
};

} // namespace papayashelf
