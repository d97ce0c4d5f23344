#pragma once

#include <cstddef>
#include <utility>

namespace papayashelf {

/**
    Limits the memory of all bodies that one process holds at the same time, of requests or of answers, so that callers
    or upstreams that send much at once cannot use up the VM's memory together.

    Thread safety: none; owned by one I/O thread.
*/
class MemoryBudget {
public:
    /** @param limit  bytes of all bodies together */
    explicit MemoryBudget(std::size_t limit)
        : limit(limit)
    {
    }

    /** Bytes taken for one body; returned when the object is destroyed. The MemoryBudget must outlive it. */
    class Reservation {
    public:
        /** Creates an empty reservation that cannot grow. */
        Reservation() = default;
        explicit Reservation(MemoryBudget& memory)
            : memory(&memory)
        {
        }
        ~Reservation() { this->resize(0); }
        Reservation(Reservation&& other) noexcept { *this = std::move(other); }
        Reservation& operator=(Reservation&& other) noexcept
        {
            std::swap(this->memory, other.memory);
            std::swap(this->bytes, other.bytes);
            return *this;
        }
        Reservation(const Reservation&) = delete;
        Reservation& operator=(const Reservation&) = delete;

        /** Changes the number of bytes. Returns false, and changes nothing, if the limit would be exceeded. */
        bool resize(std::size_t newBytes)
        {
            if (!this->memory)
                return newBytes == 0;
            const std::size_t used = this->memory->used - this->bytes + newBytes;
            if (newBytes > this->bytes && used > this->memory->limit)
                return false;
            this->memory->used = used;
            this->bytes = newBytes;
            return true;
        }

    private:
        MemoryBudget* memory = nullptr;
        std::size_t bytes = 0;
    };

    /** Returns the bytes taken by all reservations. */
    std::size_t getUsed() const { return this->used; }

private:
    std::size_t limit;
    std::size_t used = 0;
};

} // namespace papayashelf
