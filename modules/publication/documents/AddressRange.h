#pragma once

#include "foundation/identity/Identifier.h"
#include "settings/reading/ConfigNode.h"
#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <utility>

namespace papayashelf {

/** A network of IP numbers and a range of ports: "10.1.0.0/16", "127.0.0.1:21000-21999", "[fd00::]/8". */
class AddressRange {
public:
    /** Reads the text form; nothing if it has none of the shapes above or a bit is set behind the prefix. */
    static std::optional<AddressRange> parse(const std::string& text);

    /** True if the endpoint's address is in the network and its port in the range. */
    bool contains(const Endpoint& endpoint) const;

    /** True if the range has every port. */
    bool hasEveryPort() const { return this->lowestPort == 0; }

    bool operator==(const AddressRange&) const = default;

private:
    using Number = std::array<std::uint8_t, 16>;

    static std::optional<std::pair<Number, int>> parseNumber(const std::string& text);
    bool parsePorts(const std::string& text);
    bool parsePrefix(const std::string& text);
    bool matches(const Number& other) const;

    Number number {};
    int width = 0; /**< Bits of an address: 32 or 128. */
    int prefix = 0; /**< Bits that count. */
    std::uint16_t lowestPort = 0;
    std::uint16_t highestPort = 65535;
};

/** Accepts an AddressRange. */
struct AddressRangeRule {
    std::optional<AddressRange> accept(const ConfigNode& node) const;
    std::string allowed() const
    {
        return "a network such as \"10.1.0.0/16\" or an address with ports \"127.0.0.1:21000-21999\"";
    }
};

/** Accepts the text of a network without ports. */
struct NetworkRule {
    std::optional<std::string> accept(const ConfigNode& node) const;
    std::string allowed() const
    {
        return "a network such as \"10.1.0.0/16\" or \"[fd00::]/8\", no bit set behind the prefix";
    }
};

} // namespace papayashelf
