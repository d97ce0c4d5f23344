#pragma once

#include <boost/json/object.hpp>
#include <boost/json/value_to.hpp>
#include <string>
#include <string_view>

namespace papayashelf {

/** The text of a member. Throws what Boost.JSON throws if there is none, or if it is no text. */
inline std::string textAt(const boost::json::object& object, std::string_view name)
{
    return boost::json::value_to<std::string>(object.at(name));
}

} // namespace papayashelf
