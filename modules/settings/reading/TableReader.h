#pragma once

#include "settings/reading/ConfigNode.h"
#include "settings/reading/FieldRules.h"
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace papayashelf {

/**
    Reads the fields of one table by rules and notes every fault, so that one pass finds all of them.

    Name each field once, by a literal, then call finish(), which reports the names that no field has. A field that is
   missing or faulty leaves its target as it was.

    Thread safety: none. The node and the faults must outlive the reader.
*/
class TableReader {
public:
    /**
        @param file   the name that faults carry
        @param path   the table's name within the file, such as "limits"; empty for the top level
        @param faults receives what is wrong
    */
    TableReader(const ConfigNode& node, std::string file, std::string path, Faults& faults);

    /** Reads a field that must be there. */
    template <typename Value, typename Rule>
    requires FieldRule<Rule, Value>
    void required(std::string_view name, Value& target, const Rule& rule)
    {
        if (!this->read(name, target, rule))
            this->reportMissing(name, rule.allowed());
    }

    /** Reads a field that may be left out. */
    template <typename Value, typename Rule>
    requires FieldRule<Rule, Value>
    void optional(std::string_view name, Value& target, const Rule& rule) { this->read(name, target, rule); }

    /** Reads a list that may be left out; each element by the rule. */
    template <typename Value, typename Rule>
    requires FieldRule<Rule, Value>
    void list(std::string_view name, std::vector<Value>& target, const Rule& rule)
    {
        const ConfigNode::List* elements = this->listOf(name);
        if (!elements)
            return;
        for (const ConfigNode& element : *elements) {
            if (const auto value = rule.accept(element))
                target.push_back(*value);
            else
                this->reportValue(name, element, rule.allowed());
        }
    }

    /** Reads a table of like values that may be left out, as pairs of name and value in the order of names. */
    template <typename Value, typename Rule>
    requires FieldRule<Rule, Value>
    void map(std::string_view name, std::vector<std::pair<std::string, Value>>& target, const Rule& rule)
    {
        for (const ConfigMember* member : this->members(name)) {
            if (const auto value = rule.accept(member->value))
                target.emplace_back(member->name, *value);
            else
                this->reportValue(std::string(name) + "." + member->name, member->value, rule.allowed());
        }
    }

    /** A reader of a table within this one; if it is missing, one that finds nothing in it. */
    TableReader table(std::string_view name);

    /** Readers of a list of tables that may be left out; a single table counts as a list of one. */
    std::vector<TableReader> tables(std::string_view name);

    /** True if the table has a field of that name. */
    bool has(std::string_view name) const { return this->node->member(name) != nullptr; }

    /** Where the field's value stands, or the table itself if there is none. */
    Position positionOf(std::string_view name) const;

    /** Where the value of each field stands; empty for a document without places. */
    std::map<std::string, Position, std::less<>> positions() const;

    /** Notes a fault that only the caller can see. */
    void report(Position position, std::string found, std::string allowed);

    /** Reports every name that no field has. */
    void finish();

private:
    template <typename Value, typename Rule> bool read(std::string_view name, Value& target, const Rule& rule)
    {
        const ConfigMember* member = this->take(name);
        if (!member)
            return false;
        if (const auto value = rule.accept(member->value))
            target = *value;
        else
            this->reportValue(name, member->value, rule.allowed());
        return true;
    }

    const ConfigMember* take(std::string_view name);
    const ConfigNode::List* listOf(std::string_view name);
    std::vector<const ConfigMember*> members(std::string_view name);
    void reportMissing(std::string_view name, const std::string& allowed);
    void reportValue(std::string_view name, const ConfigNode& value, const std::string& allowed);
    std::string qualified(std::string_view name) const;
    std::string knownNames() const;

    const ConfigNode* node = nullptr;
    std::string file;
    std::string path;
    Faults* faults = nullptr;
    std::set<std::string_view> known;
};

} // namespace papayashelf
