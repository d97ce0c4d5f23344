#pragma once

#include <string>

namespace papayashelf {

/** The value of one parameter of a query; empty when it is not there. Thread safety: any thread. */
std::string findParameter(const std::string& query, const std::string& name);

} // namespace papayashelf
