#include "settings/reading/ConfigNode.h"

namespace papayashelf {

namespace {

constexpr std::size_t longestDescription = 60;

std::string shortened(const std::string& text)
{
    if (text.size() <= longestDescription)
        return text;
    std::size_t end = longestDescription;
    // Do not cut a UTF-8 sequence in two.
    while (end > 0 && (static_cast<unsigned char>(text[end]) & 0xC0) == 0x80)
        --end;
    return text.substr(0, end) + "...";
}

struct Describe {
    std::string operator()(std::monostate) const { return "a value of a kind that is not used here"; }
    std::string operator()(bool value) const { return value ? "true" : "false"; }
    std::string operator()(std::int64_t value) const { return std::to_string(value); }
    std::string operator()(double value) const { return std::to_string(value); }
    std::string operator()(const std::string& value) const { return "\"" + shortened(value) + "\""; }
    std::string operator()(const ConfigNode::List& value) const { return "a list of " + std::to_string(value.size()); }
    std::string operator()(const ConfigNode::Table&) const { return "a table"; }
};

} // namespace

std::string ConfigNode::description() const
{
    return std::visit(Describe(), this->value);
}

const ConfigMember* ConfigNode::member(std::string_view name) const
{
    const Table* table = std::get_if<Table>(&this->value);
    if (!table)
        return nullptr;
    for (const ConfigMember& candidate : *table) {
        if (candidate.name == name)
            return &candidate;
    }
    return nullptr;
}

} // namespace papayashelf
