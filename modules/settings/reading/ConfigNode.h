#pragma once

#include "settings/reading/Fault.h"
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace papayashelf {

struct ConfigMember;

/** One value of a settings file or of a stored document, with its place in the text. */
struct ConfigNode {
    using List = std::vector<ConfigNode>;
    using Table = std::vector<ConfigMember>;

    Position position;
    /** Empty for a kind of value that no setting has, such as a date. */
    std::variant<std::monostate, bool, std::int64_t, double, std::string, List, Table> value;

    /** The value as text for a fault, cut short if it is long. */
    std::string description() const;

    /** The member of that name, or null if this is no table or has none. */
    const ConfigMember* member(std::string_view name) const;
};

/** A named value of a table. */
struct ConfigMember {
    std::string name;
    Position position; /**< Of the name. */
    ConfigNode value;
};

/** What came of parsing a TOML text. */
struct ParsedToml {
    ConfigNode root; /**< The top-level table. */
    bool isWhole = true; /**< False after a fault of syntax: the root is then empty. */
};

/**
    Parses TOML. A key that stands twice is reported and its second value left out, so that the rest can still be
    checked; any other fault of syntax ends the parsing.

    @param file    the name that faults carry
    @param faults  receives what is wrong
*/
ParsedToml parseToml(const std::string& file, std::string_view text, Faults& faults);

/** Parses JSON into the same tree, without places. Error: Damaged. */
Outcome<ConfigNode> parseJson(std::string_view text);

/** Writes a tree as JSON with sorted names and no white space: equal trees give equal bytes. */
std::string canonicalJson(const ConfigNode& node);

} // namespace papayashelf
