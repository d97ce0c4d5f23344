#pragma once

#include "foundation/outcomes/Outcome.h"
#include <string>
#include <vector>

namespace papayashelf {

/** A place in a text, both counted from 1; 0 when the place is not known. */
struct Position {
    int line = 0;
    int column = 0;

    bool operator==(const Position&) const = default;
};

/** One thing that is wrong with a file, for the person who wrote it. */
struct Fault {
    std::string file;
    Position position;
    std::string found; /**< What stands there, or what is missing. */
    std::string allowed; /**< What would be accepted. */

    bool operator==(const Fault&) const = default;

    /** "file:line:column: found; allowed: ..." */
    std::string string() const;
};

/** Every fault of one or several files, in the order of their places. */
using Faults = std::vector<Fault>;

/** Sorts by file, line and column; faults of one place keep their order. */
void sortByPlace(Faults& faults);

/** A checked value, or every fault that kept it from being one. */
template <typename Value>
using Checked = boost::outcome_v2::basic_result<Value, Faults, boost::outcome_v2::policy::all_narrow>;

} // namespace papayashelf
