#pragma once

#include <boost/json/object.hpp>
#include <boost/json/value_to.hpp>
#include <cstdint>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>

namespace papayashelf {

/** The text of a member. Throws what Boost.JSON throws if there is none, or if it is no text. */
inline std::string textAt(const boost::json::object& object, std::string_view name)
{
    return boost::json::value_to<std::string>(object.at(name));
}

/** Returns the value if it is a whole number that fits; one with a point or an exponent must be exact in a double. */
inline std::optional<std::int64_t> readWholeNumber(const boost::json::value& value)
{
    constexpr double largestExactNumber = 9'007'199'254'740'992.0;
    if (const std::int64_t* number = value.if_int64())
        return *number;
    const double* number = value.if_double();
    if (!number || *number < -largestExactNumber || *number > largestExactNumber)
        return std::nullopt;
    const auto whole = static_cast<std::int64_t>(*number);
    return static_cast<double>(whole) == *number ? std::optional(whole) : std::nullopt;
}

/**
    The whole number of a member. Throws what Boost.JSON throws if there is none, and std::out_of_range if it is no
   whole number or not from lowest to highest.
*/
inline std::int64_t wholeNumberAt(
    const boost::json::object& object, std::string_view name, std::int64_t lowest, std::int64_t highest)
{
    const std::optional<std::int64_t> number = readWholeNumber(object.at(name));
    if (!number || *number < lowest || *number > highest)
        throw std::out_of_range(std::string(name) + " is no whole number in its range");
    return *number;
}

} // namespace papayashelf
