#pragma once

#include "foundation/outcomes/Outcome.h"
#include <boost/json/object.hpp>
#include <cstdint>
#include <string>
#include <string_view>

namespace papayashelf {

/**
    Reads a stored JSON object and checks its schema_version before anything else in it is looked at.

    Errors: Damaged, UnknownSchemaVersion. Thread safety: any thread.
*/
Outcome<boost::json::object> readStoredObject(std::string_view value, std::int64_t schemaVersion);

/** A member that must be text. Errors: Damaged. Thread safety: any thread. */
Outcome<std::string> readText(const boost::json::object& object, std::string_view name);

/** A member that must be a number from 0. Errors: Damaged. Thread safety: any thread. */
Outcome<std::uint64_t> readNumber(const boost::json::object& object, std::string_view name);

} // namespace papayashelf
