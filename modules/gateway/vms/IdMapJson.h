#pragma once

#include <boost/json/object.hpp>
#include <map>
#include <string>

namespace papayashelf {

/** Writes numbers by identifier as one JSON object. */
template <typename Id, typename Number> boost::json::object encodeIdMap(const std::map<Id, Number>& numbers)
{
    boost::json::object object;
    for (const auto& [id, number] : numbers)
        object[id.string()] = number;
    return object;
}

/** Reads them back. Throws what Boost.JSON throws for a value that is no number. */
template <typename Id, typename Number> std::map<Id, Number> decodeIdMap(const boost::json::object& object)
{
    std::map<Id, Number> numbers;
    for (const auto& member : object)
        numbers[Id(std::string(member.key()))] = member.value().to_number<Number>();
    return numbers;
}

} // namespace papayashelf
