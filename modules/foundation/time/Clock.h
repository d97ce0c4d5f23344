#pragma once

#include <algorithm>
#include <cmath>
#include <compare>
#include <cstdint>
#include <limits>
#include <time.h>

namespace papayashelf {

/**
    A point on one process's monotonic clock, or a length of time, in whole milliseconds.

    Points are never compared between VMs: clocks there need not agree.
*/
class Milliseconds {
public:
    constexpr Milliseconds() = default;
    constexpr explicit Milliseconds(std::int64_t value)
        : value(value)
    {
    }

    static constexpr Milliseconds fromSeconds(std::int64_t seconds) { return Milliseconds(seconds * 1000); }

    /**
        Returns the shortest length that is not below the given one, and never() for one that is too long to be counted.
        What the conversion of such a number to an integer yields differs between architectures.
    */
    static Milliseconds roundUp(double milliseconds)
    {
        const auto longest = static_cast<double>(never().count());
        const double rounded = std::ceil(milliseconds);
        if (!(rounded < longest)) // Also if it is no number.
            return never();
        return Milliseconds(static_cast<std::int64_t>(std::max(rounded, -longest)));
    }

    /** A point later than every other. */
    static constexpr Milliseconds never() { return Milliseconds(std::numeric_limits<std::int64_t>::max() / 4); }

    /** The count of milliseconds. */
    constexpr std::int64_t count() const { return this->value; }

    /** The same length in seconds, with its fraction. */
    constexpr double seconds() const { return static_cast<double>(this->value) / 1000.0; }

    constexpr auto operator<=>(const Milliseconds&) const = default;
    constexpr Milliseconds operator+(Milliseconds other) const { return Milliseconds(this->value + other.value); }
    constexpr Milliseconds operator-(Milliseconds other) const { return Milliseconds(this->value - other.value); }
    constexpr Milliseconds operator*(std::int64_t factor) const { return Milliseconds(this->value * factor); }
    constexpr Milliseconds operator/(std::int64_t divisor) const { return Milliseconds(this->value / divisor); }

    constexpr Milliseconds& operator+=(Milliseconds other)
    {
        this->value += other.value;
        return *this;
    }

private:
    std::int64_t value = 0;
};

/**
    Reads this process's monotonic clock, which counts the time that the VM is suspended: ages of leases and of views
    rest on it.

    Only the runtime owns a Clock; decision code is handed the time with each event.
    Thread safety: any thread may call now().
*/
class Clock {
public:
    /** The time since an arbitrary start that never moves back. */
    Milliseconds now() const
    {
        timespec elapsed {};
        ::clock_gettime(CLOCK_BOOTTIME, &elapsed);
        return Milliseconds(std::int64_t { elapsed.tv_sec } * 1000 + elapsed.tv_nsec / 1'000'000);
    }
};

} // namespace papayashelf
