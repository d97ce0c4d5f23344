#include "settings/reading/ConfigNode.h"

#include <algorithm>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <limits>

namespace papayashelf {

namespace {

ConfigNode convert(const boost::json::value& value)
{
    ConfigNode node;
    if (const auto* object = value.if_object()) {
        ConfigNode::Table members;
        for (const auto& member : *object)
            members.push_back({ std::string(member.key()), {}, convert(member.value()) });
        node.value = std::move(members);
    } else if (const auto* array = value.if_array()) {
        ConfigNode::List elements;
        for (const auto& element : *array)
            elements.push_back(convert(element));
        node.value = std::move(elements);
    } else if (const auto* text = value.if_string()) {
        node.value = std::string(*text);
    } else if (const auto* integer = value.if_int64()) {
        node.value = *integer;
    } else if (const auto* number = value.if_double()) {
        node.value = *number;
    } else if (const auto* boolean = value.if_bool()) {
        node.value = *boolean;
    }
    return node;
}

boost::json::value toJson(const ConfigNode& node);

struct WriteJson {
    boost::json::value operator()(std::monostate) const { return nullptr; }
    boost::json::value operator()(bool value) const { return value; }
    boost::json::value operator()(std::int64_t value) const { return value; }
    boost::json::value operator()(double value) const { return value; }
    boost::json::value operator()(const std::string& value) const { return boost::json::string(value); }
    boost::json::value operator()(const ConfigNode::List& value) const
    {
        boost::json::array array;
        for (const ConfigNode& element : value)
            array.push_back(toJson(element));
        return array;
    }
    boost::json::value operator()(const ConfigNode::Table& value) const
    {
        std::vector<const ConfigMember*> members;
        for (const ConfigMember& member : value)
            members.push_back(&member);
        std::sort(members.begin(), members.end(),
            [](const ConfigMember* left, const ConfigMember* right) { return left->name < right->name; });
        boost::json::object object;
        for (const ConfigMember* member : members)
            object[member->name] = toJson(member->value);
        return object;
    }
};

boost::json::value toJson(const ConfigNode& node)
{
    return std::visit(WriteJson(), node.value);
}

} // namespace

Outcome<ConfigNode> parseJson(std::string_view text)
{
    boost::json::error_code code;
    const boost::json::value value = boost::json::parse(boost::json::string_view(text.data(), text.size()), code);
    if (code)
        return Error { ErrorCode::Damaged, "not JSON: " + code.message() };
    return convert(value);
}

std::string canonicalJson(const ConfigNode& node)
{
    return boost::json::serialize(toJson(node));
}

} // namespace papayashelf
