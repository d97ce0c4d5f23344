#pragma once

#include "foundation/outcomes/Outcome.h"
#include <boost/json/object.hpp>
#include <cstdint>
#include <string>
#include <string_view>

namespace papayashelf {

/**
    Parses a stored JSON object and checks its schema_version before any other member is read.

    Errors: Damaged, UnknownSchemaVersion. Thread safety: any thread.
*/
Outcome<boost::json::object> readStoredObject(std::string_view value, std::int64_t schemaVersion);

/** Reads a string member. Errors: Damaged. Thread safety: any thread. */
Outcome<std::string> readText(const boost::json::object& object, std::string_view name);

/** Reads a member that is a non-negative integer. Errors: Damaged. Thread safety: any thread. */
Outcome<std::uint64_t> readNumber(const boost::json::object& object, std::string_view name);

} // namespace papayashelf
