#include "settings/reading/TableReader.h"

namespace papayashelf {

namespace {

const ConfigNode& emptyTable()
{
    static const ConfigNode node { {}, ConfigNode::Table() };
    return node;
}

} // namespace

TableReader::TableReader(const ConfigNode& node, std::string file, std::string path, Faults& faults)
    : node(&node)
    , file(std::move(file))
    , path(std::move(path))
    , faults(&faults)
{
    if (!std::holds_alternative<ConfigNode::Table>(node.value)) {
        this->report(node.position, this->path + " is " + node.description(), "a table");
        this->node = &emptyTable();
    }
}

TableReader TableReader::table(std::string_view name)
{
    const ConfigMember* member = this->take(name);
    if (member)
        return { member->value, this->file, this->qualified(name), *this->faults };
    return { emptyTable(), this->file, this->qualified(name), *this->faults };
}

std::vector<TableReader> TableReader::tables(std::string_view name)
{
    std::vector<TableReader> readers;
    const ConfigMember* member = this->take(name);
    if (!member)
        return readers;
    const auto* list = std::get_if<ConfigNode::List>(&member->value.value);
    if (!list) {
        readers.emplace_back(member->value, this->file, this->qualified(name), *this->faults);
        return readers;
    }
    for (const ConfigNode& element : *list)
        readers.emplace_back(element, this->file, this->qualified(name), *this->faults);
    return readers;
}

Position TableReader::positionOf(std::string_view name) const
{
    const ConfigMember* member = this->node->member(name);
    return member ? member->value.position : this->node->position;
}

std::map<std::string, Position, std::less<>> TableReader::positions() const
{
    std::map<std::string, Position, std::less<>> places;
    // Stored documents have no places.
    if (this->node->position == Position())
        return places;
    for (const ConfigMember& member : std::get<ConfigNode::Table>(this->node->value))
        places.emplace(member.name, member.value.position);
    return places;
}

void TableReader::report(Position position, std::string found, std::string allowed)
{
    this->faults->push_back({ this->file, position, std::move(found), std::move(allowed) });
}

void TableReader::finish()
{
    for (const ConfigMember& member : std::get<ConfigNode::Table>(this->node->value)) {
        if (!this->known.contains(member.name))
            this->report(member.position, "unknown key " + this->qualified(member.name), this->knownNames());
    }
}

std::string TableReader::knownNames() const
{
    std::string names;
    for (const std::string_view name : this->known)
        names.append(names.empty() ? "" : ", ").append(name);
    return names;
}

const ConfigMember* TableReader::take(std::string_view name)
{
    this->known.emplace(name);
    return this->node->member(name);
}

const ConfigNode::List* TableReader::listOf(std::string_view name)
{
    const ConfigMember* member = this->take(name);
    if (!member)
        return nullptr;
    const auto* list = std::get_if<ConfigNode::List>(&member->value.value);
    if (!list)
        this->reportValue(name, member->value, "a list");
    return list;
}

std::vector<const ConfigMember*> TableReader::members(std::string_view name)
{
    std::vector<const ConfigMember*> result;
    const ConfigMember* member = this->take(name);
    if (!member)
        return result;
    const auto* table = std::get_if<ConfigNode::Table>(&member->value.value);
    if (!table) {
        this->reportValue(name, member->value, "a table");
        return result;
    }
    for (const ConfigMember& element : *table)
        result.push_back(&element);
    return result;
}

void TableReader::reportMissing(std::string_view name, const std::string& allowed)
{
    this->report(this->node->position, this->qualified(name) + " is missing", allowed);
}

void TableReader::reportValue(std::string_view name, const ConfigNode& value, const std::string& allowed)
{
    this->report(value.position, this->qualified(name) + " is " + value.description(), allowed);
}

std::string TableReader::qualified(std::string_view name) const
{
    return this->path.empty() ? std::string(name) : this->path + "." + std::string(name);
}

} // namespace papayashelf
