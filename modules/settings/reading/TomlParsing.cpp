#include "settings/reading/ConfigNode.h"

#include <toml++/toml.h>

namespace papayashelf {

namespace {

constexpr int mostRepeatedKeys = 50;

Position positionOf(const toml::source_region& region)
{
    return { static_cast<int>(region.begin.line), static_cast<int>(region.begin.column) };
}

ConfigNode convert(const toml::node& node);

ConfigNode::Table convertTable(const toml::table& table)
{
    ConfigNode::Table members;
    for (const auto& [key, value] : table)
        members.push_back({ std::string(key.str()), positionOf(key.source()), convert(value) });
    return members;
}

ConfigNode::List convertList(const toml::array& array)
{
    ConfigNode::List elements;
    for (const toml::node& element : array)
        elements.push_back(convert(element));
    return elements;
}

ConfigNode convert(const toml::node& node)
{
    ConfigNode result;
    result.position = positionOf(node.source());
    if (const auto* table = node.as_table())
        result.value = convertTable(*table);
    else if (const auto* array = node.as_array())
        result.value = convertList(*array);
    else if (const auto* text = node.as_string())
        result.value = text->get();
    else if (const auto* integer = node.as_integer())
        result.value = integer->get();
    else if (const auto* number = node.as_floating_point())
        result.value = number->get();
    else if (const auto* boolean = node.as_boolean())
        result.value = boolean->get();
    return result;
}

/** The line's first byte and the byte after its last. */
std::pair<std::size_t, std::size_t> lineBounds(std::string_view text, int line)
{
    std::size_t begin = 0;
    for (int current = 1; current < line && begin < text.size(); ++current) {
        const std::size_t end = text.find('\n', begin);
        begin = end == std::string_view::npos ? text.size() : end + 1;
    }
    const std::size_t end = text.find('\n', begin);
    return { begin, end == std::string_view::npos ? text.size() : end };
}

/** True for the parser's complaint about a "key = value" line whose key the table already has. */
bool isRepeatedKey(const toml::parse_error& error, std::string_view line)
{
    const std::size_t first = line.find_first_not_of(" \t");
    const bool isHeader = first == std::string_view::npos || line[first] == '[';
    return !isHeader && error.description().find("cannot redefine existing") != std::string_view::npos;
}

} // namespace

ParsedToml parseToml(const std::string& file, std::string_view text, Faults& faults)
{
    std::string remaining(text);
    for (int repeats = 0;; ++repeats) {
        try {
            const toml::table table = toml::parse(std::string_view(remaining));
            return { { { 1, 1 }, convertTable(table) }, true };
        } catch (const toml::parse_error& error) {
            const Position position = positionOf(error.source());
            const auto [begin, end] = lineBounds(remaining, position.line);
            const std::string_view line = std::string_view(remaining).substr(begin, end - begin);
            const bool isRepeat = isRepeatedKey(error, line) && repeats < mostRepeatedKeys;
            faults.push_back({ file, position, std::string(error.description()),
                isRepeat ? "each key once in a table" : "TOML 1.0 in UTF-8" });
            if (!isRepeat)
                return { { { 1, 1 }, ConfigNode::Table() }, false };
            remaining.replace(begin, end - begin, std::string(end - begin, ' '));
        }
    }
}

} // namespace papayashelf
