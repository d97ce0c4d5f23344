#include "settings/reading/FieldRules.h"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <charconv>
#include <cmath>

namespace papayashelf {

namespace {

constexpr std::size_t longestText = 4096;
constexpr std::size_t longestName = 128;
constexpr std::size_t digestDigits = 64;

bool isNameCharacter(char character, bool isModel)
{
    const bool isAlphanumeric = (character >= 'a' && character <= 'z') || (character >= 'A' && character <= 'Z')
        || (character >= '0' && character <= '9');
    if (isAlphanumeric || character == '.' || character == '_' || character == '-')
        return true;
    return isModel && (character == '/' || character == ':');
}

std::string shortNumber(double value)
{
    std::array<char, 32> buffer {};
    const auto result = std::to_chars(buffer.data(), buffer.data() + buffer.size(), value);
    return { buffer.data(), result.ptr };
}

} // namespace

std::optional<std::int64_t> IntegerRule::accept(const ConfigNode& node) const
{
    const auto* value = std::get_if<std::int64_t>(&node.value);
    if (!value || *value < this->minimum || *value > this->maximum)
        return std::nullopt;
    return *value;
}

std::string IntegerRule::allowed() const
{
    const std::string range = std::to_string(this->minimum) + " to " + std::to_string(this->maximum);
    return "a whole number from " + range + (this->unit.empty() ? "" : " " + this->unit);
}

std::optional<Milliseconds> DurationRule::accept(const ConfigNode& node) const
{
    const auto count = IntegerRule { this->minimum.count(), this->maximum.count(), {} }.accept(node);
    return count ? std::optional(Milliseconds(*count)) : std::nullopt;
}

std::string DurationRule::allowed() const
{
    return IntegerRule { this->minimum.count(), this->maximum.count(), "milliseconds" }.allowed();
}

std::optional<double> NumberRule::accept(const ConfigNode& node) const
{
    std::optional<double> value;
    if (const auto* number = std::get_if<double>(&node.value))
        value = *number;
    else if (const auto* integer = std::get_if<std::int64_t>(&node.value))
        value = static_cast<double>(*integer);
    if (!value || !std::isfinite(*value) || *value < this->minimum || *value > this->maximum)
        return std::nullopt;
    return value;
}

std::string NumberRule::allowed() const
{
    return "a number from " + shortNumber(this->minimum) + " to " + shortNumber(this->maximum);
}

std::optional<bool> SwitchRule::accept(const ConfigNode& node) const
{
    const bool* value = std::get_if<bool>(&node.value);
    return value ? std::optional(*value) : std::nullopt;
}

std::optional<std::string> TextRule::accept(const ConfigNode& node) const
{
    const auto* text = std::get_if<std::string>(&node.value);
    if (!text || text->empty() || text->size() > longestText)
        return std::nullopt;
    const auto isControl = [](char character) { return static_cast<unsigned char>(character) < 0x20; };
    if (std::any_of(text->begin(), text->end(), isControl))
        return std::nullopt;
    return *text;
}

std::optional<std::string> NameRule::accept(const ConfigNode& node) const
{
    const auto* text = std::get_if<std::string>(&node.value);
    if (!text || text->empty() || text->size() > longestName)
        return std::nullopt;
    const auto isAllowed = [this](char character) { return isNameCharacter(character, this->isModel); };
    if (!std::all_of(text->begin(), text->end(), isAllowed))
        return std::nullopt;
    return *text;
}

std::string NameRule::allowed() const
{
    const std::string extra = this->isModel ? ", '/', ':'" : "";
    return "a name of 1 to 128 letters, digits, '.', '_', '-'" + extra;
}

std::optional<KeyDigest> DigestRule::accept(const ConfigNode& node) const
{
    const auto* text = std::get_if<std::string>(&node.value);
    if (!text || text->size() != digestDigits)
        return std::nullopt;
    if (text->find_first_not_of("0123456789abcdef") != std::string::npos)
        return std::nullopt;
    return KeyDigest(*text);
}

std::optional<Endpoint> EndpointRule::accept(const ConfigNode& node) const
{
    const auto* text = std::get_if<std::string>(&node.value);
    return text ? parseEndpoint(*text) : std::nullopt;
}

bool isIpNumber(const std::string& text)
{
    std::array<unsigned char, sizeof(in6_addr)> number {};
    return inet_pton(AF_INET, text.c_str(), number.data()) == 1
        || inet_pton(AF_INET6, text.c_str(), number.data()) == 1;
}

std::optional<Endpoint> parseEndpoint(const std::string& text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string::npos || text.find('\0') != std::string::npos)
        return std::nullopt;
    std::string address = text.substr(0, colon);
    const bool isBracketed = address.size() > 2 && address.front() == '[' && address.back() == ']';
    if (isBracketed)
        address = address.substr(1, address.size() - 2);
    const bool isSix = address.find(':') != std::string::npos;
    if (isSix != isBracketed || !isIpNumber(address))
        return std::nullopt;

    std::uint16_t port = 0;
    const char* end = text.data() + text.size();
    const auto result = std::from_chars(text.data() + colon + 1, end, port);
    if (result.ec != std::errc() || result.ptr != end || port == 0)
        return std::nullopt;
    return Endpoint { address, port };
}

} // namespace papayashelf
