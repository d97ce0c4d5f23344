#pragma once

#include "entrance/server/Sizes.h"
#include "serving/http/MemoryBudget.h"

namespace papayashelf {

/**
    The memory for the bodies of requests. Small ones have a part of their own, so that they need not wait for large
    ones.

    Thread safety: none; owned by one I/O thread.
*/
class RequestMemory {
public:
    /** Bytes of the longest body that counts as small. */
    static constexpr std::size_t maximumSmallBytes = 64 * kibibyte;

    /** @param smallLimit, largeLimit  bytes of all small and of all large bodies together */
    RequestMemory(std::size_t smallLimit, std::size_t largeLimit)
        : small(smallLimit)
        , large(largeLimit)
        , largeLimit(largeLimit)
    {
    }

    /** Returns an empty reservation for a body of at most the given bytes. This object must outlive it. */
    MemoryBudget::Reservation makeReservation(std::size_t bytes)
    {
        return MemoryBudget::Reservation(bytes <= maximumSmallBytes ? this->small : this->large);
    }

    /** Returns the bytes of the longest body that can be held, if nothing else is. */
    std::size_t getLongestBody() const { return this->largeLimit; }

private:
    MemoryBudget small;
    MemoryBudget large;
    std::size_t largeLimit;
};

} // namespace papayashelf
