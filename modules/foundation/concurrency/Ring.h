#pragma once

#include <boost/lockfree/spsc_queue.hpp>
#include <cstddef>
#include <optional>
#include <utility>

namespace papayashelf {

/**
    A bounded queue from one thread to one other.

    Thread safety: one thread pushes, one other pops; neither ever blocks.
*/
template <typename Item> class Ring {
public:
    /** @param capacity  how many items fit; at least 1 */
    explicit Ring(std::size_t capacity)
        : queue(capacity)
    {
    }

    /** Appends an item, or returns false and leaves it untouched if the ring is full. */
    bool push(Item&& item) { return this->queue.push(std::move(item)); }

    /** Takes the oldest item, or nothing if the ring is empty. */
    std::optional<Item> pop()
    {
        if (!this->queue.read_available())
            return std::nullopt;
        std::optional<Item> item(std::move(this->queue.front()));
        this->queue.pop();
        return item;
    }

    /** True when there is nothing to pop; exact on the popping thread. */
    bool isEmpty() const { return this->queue.read_available() == 0; }

private:
    boost::lockfree::spsc_queue<Item> queue;
};

} // namespace papayashelf
