#pragma once

#include "foundation/identity/Identifier.h"
#include "foundation/time/Clock.h"
#include "settings/reading/ConfigNode.h"
#include <concepts>
#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace papayashelf {

/** Says which values a field takes and turns one into its type. */
template <typename Rule, typename Value>
concept FieldRule = requires(const Rule& rule, const ConfigNode& node)
{
    {
        rule.accept(node)
        } -> std::convertible_to<std::optional<Value>>;
    {
        rule.allowed()
        } -> std::convertible_to<std::string>;
};

/** A whole number within bounds, both included. */
struct IntegerRule {
    std::int64_t minimum = 0;
    std::int64_t maximum = 0;
    std::string unit; /**< For the fault's text; may be empty. */

    std::optional<std::int64_t> accept(const ConfigNode& node) const;
    std::string allowed() const;
};

/** A length of time, written as a whole number of milliseconds. */
struct DurationRule {
    Milliseconds minimum;
    Milliseconds maximum;

    std::optional<Milliseconds> accept(const ConfigNode& node) const;
    std::string allowed() const;
};

/** A number, whole or not, within bounds, both included. */
struct NumberRule {
    double minimum = 0;
    double maximum = 0;

    std::optional<double> accept(const ConfigNode& node) const;
    std::string allowed() const;
};

/** true or false. */
struct SwitchRule {
    std::optional<bool> accept(const ConfigNode& node) const;
    std::string allowed() const { return "true or false"; }
};

/** Text that is not empty and has no control characters. */
struct TextRule {
    std::optional<std::string> accept(const ConfigNode& node) const;
    std::string allowed() const { return "text of 1 to 4096 bytes without control characters"; }
};

/** A name: letters, digits, '.', '_', '-' and, for models, '/' and ':'. */
struct NameRule {
    bool isModel = false;

    std::optional<std::string> accept(const ConfigNode& node) const;
    std::string allowed() const;
};

/** A name as an identifier of one kind. */
template <typename Id> struct IdentifierRule {
    NameRule rule;

    std::optional<Id> accept(const ConfigNode& node) const
    {
        const auto name = this->rule.accept(node);
        return name ? std::optional<Id>(Id(*name)) : std::nullopt;
    }
    std::string allowed() const { return this->rule.allowed(); }
};

/** A SHA-256 digest: 64 lower-case hexadecimal digits. */
struct DigestRule {
    std::optional<KeyDigest> accept(const ConfigNode& node) const;
    std::string allowed() const { return "a SHA-256 digest, 64 lower-case hexadecimal digits"; }
};

/** An IP number and a port, "127.0.0.1:8080" or "[::1]:8080". */
struct EndpointRule {
    std::optional<Endpoint> accept(const ConfigNode& node) const;
    std::string allowed() const { return "an IP number and a port from 1 to 65535, such as \"127.0.0.1:8080\""; }
};

/** One of a few words, each standing for a value. */
template <typename Value> struct ChoiceRule {
    std::vector<std::pair<std::string, Value>> choices;

    std::optional<Value> accept(const ConfigNode& node) const
    {
        const std::string* text = std::get_if<std::string>(&node.value);
        for (const auto& [word, value] : this->choices) {
            if (text && word == *text)
                return value;
        }
        return std::nullopt;
    }

    std::string allowed() const
    {
        std::string text;
        for (const auto& choice : this->choices)
            text += (text.empty() ? "\"" : ", \"") + choice.first + "\"";
        return "one of " + text;
    }
};

/** Reads "address:port"; the address must be an IP number. */
std::optional<Endpoint> parseEndpoint(const std::string& text);

/** True for an IPv4 or IPv6 number. */
bool isIpNumber(const std::string& text);

} // namespace papayashelf
