#include "publication/documents/AddressRange.h"

#include <algorithm>
#include <arpa/inet.h>
#include <charconv>
#include <string_view>
#include <tuple>

namespace papayashelf {

namespace {

constexpr int bitsOfFour = 32;
constexpr int bitsOfSix = 128;
constexpr int bitsOfByte = 8;

template <typename Integer> std::optional<Integer> parseInteger(std::string_view text)
{
    Integer value = 0;
    const auto result = std::from_chars(text.data(), text.data() + text.size(), value);
    if (text.empty() || result.ec != std::errc() || result.ptr != text.data() + text.size())
        return std::nullopt;
    return value;
}

} // namespace

std::optional<std::pair<AddressRange::Number, int>> AddressRange::parseNumber(const std::string& text)
{
    Number number {};
    const bool isBracketed = text.size() > 2 && text.front() == '[' && text.back() == ']';
    if (isBracketed && inet_pton(AF_INET6, text.substr(1, text.size() - 2).c_str(), number.data()) == 1)
        return std::pair(number, bitsOfSix);
    if (!isBracketed && inet_pton(AF_INET, text.c_str(), number.data()) == 1)
        return std::pair(number, bitsOfFour);
    return std::nullopt;
}

std::optional<AddressRange> AddressRange::parse(const std::string& text)
{
    if (text.find('\0') != std::string::npos)
        return std::nullopt;
    const std::size_t afterBracket = text.find(']');
    const std::size_t searchFrom = afterBracket == std::string::npos ? 0 : afterBracket;
    const std::size_t colon = text.find(':', searchFrom);
    const std::size_t slash = text.find('/', searchFrom);
    const std::size_t end = std::min(colon, slash);

    AddressRange range;
    const auto number = parseNumber(text.substr(0, end));
    if (!number)
        return std::nullopt;
    std::tie(range.number, range.width) = *number;
    range.prefix = range.width;
    if (slash != std::string::npos && (colon == std::string::npos || slash < colon)) {
        const std::size_t length = colon == std::string::npos ? std::string::npos : colon - slash - 1;
        if (!range.parsePrefix(text.substr(slash + 1, length)))
            return std::nullopt;
    }
    if (colon != std::string::npos && !range.parsePorts(text.substr(colon + 1)))
        return std::nullopt;
    return range;
}

bool AddressRange::parsePrefix(const std::string& text)
{
    const auto bits = parseInteger<int>(text);
    if (!bits || *bits < 0 || *bits > this->width)
        return false;
    this->prefix = *bits;
    for (int bit = this->prefix; bit < this->width; ++bit) {
        const int mask = 0x80 >> (bit % bitsOfByte);
        if (this->number[static_cast<std::size_t>(bit / bitsOfByte)] & mask)
            return false;
    }
    return true;
}

bool AddressRange::parsePorts(const std::string& text)
{
    const std::size_t dash = text.find('-');
    const auto lowest = parseInteger<std::uint16_t>(text.substr(0, dash));
    const auto highest = dash == std::string::npos ? lowest : parseInteger<std::uint16_t>(text.substr(dash + 1));
    if (!lowest || !highest || *lowest == 0 || *lowest > *highest)
        return false;
    this->lowestPort = *lowest;
    this->highestPort = *highest;
    return true;
}

bool AddressRange::matches(const Number& other) const
{
    for (int bit = 0; bit < this->prefix; ++bit) {
        const auto byte = static_cast<std::size_t>(bit / bitsOfByte);
        const int mask = 0x80 >> (bit % bitsOfByte);
        if ((this->number[byte] & mask) != (other[byte] & mask))
            return false;
    }
    return true;
}

bool AddressRange::contains(const Endpoint& endpoint) const
{
    const bool isSix = endpoint.address.find(':') != std::string::npos;
    const auto other = parseNumber(isSix ? "[" + endpoint.address + "]" : endpoint.address);
    if (!other || other->second != this->width || !this->matches(other->first))
        return false;
    return endpoint.port >= this->lowestPort && endpoint.port <= this->highestPort;
}

std::optional<AddressRange> AddressRangeRule::accept(const ConfigNode& node) const
{
    const auto* text = std::get_if<std::string>(&node.value);
    return text ? AddressRange::parse(*text) : std::nullopt;
}

std::optional<std::string> NetworkRule::accept(const ConfigNode& node) const
{
    const auto* text = std::get_if<std::string>(&node.value);
    const auto range = text ? AddressRange::parse(*text) : std::nullopt;
    if (!range || !range->hasEveryPort())
        return std::nullopt;
    return *text;
}

} // namespace papayashelf
