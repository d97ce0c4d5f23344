#pragma once

#include "settings/reading/Fault.h"
#include <cstddef>
#include <iosfwd>

namespace papayashelf {

/** Prints each fault on a line and returns how many there are. */
std::size_t printFaults(const Faults& faults, std::ostream& errors);

} // namespace papayashelf
