#include "entrance/request/ForwardedHead.h"

#include <algorithm>
#include <array>
#include <boost/beast/core/string.hpp>

namespace papayashelf {

namespace {

using boost::beast::iequals;

template <std::size_t Count> bool isOneOf(std::string_view name, const std::array<std::string_view, Count>& names)
{
    return std::any_of(names.begin(), names.end(), [name](std::string_view other) { return iequals(name, other); });
}

bool startsWith(std::string_view name, std::string_view prefix)
{
    return name.size() >= prefix.size() && iequals(name.substr(0, prefix.size()), prefix);
}

std::string_view trim(std::string_view text)
{
    while (!text.empty() && (text.front() == ' ' || text.front() == '\t'))
        text.remove_prefix(1);
    while (!text.empty() && (text.back() == ' ' || text.back() == '\t'))
        text.remove_suffix(1);
    return text;
}

template <typename Visitor> void forEachPart(std::string_view text, char separator, Visitor visit)
{
    while (true) {
        const std::size_t end = text.find(separator);
        visit(text.substr(0, end));
        if (end == std::string_view::npos)
            return;
        text.remove_prefix(end + 1);
    }
}

std::vector<std::string> fieldsNamedByConnection(const std::vector<HeaderField>& headers)
{
    std::vector<std::string> names;
    for (const auto& [name, value] : headers) {
        if (iequals(name, "connection"))
            forEachPart(value, ',', [&names](std::string_view part) { names.emplace_back(trim(part)); });
    }
    return names;
}

bool isSetByGatewayOnly(std::string_view name)
{
    static constexpr std::array<std::string_view, 5> names { "host", "expect", "x-resume-from", "x-priority",
        "x-prefix-hashes" };
    return isOneOf(name, names) || startsWith(name, "papayashelf-");
}

bool isCredential(std::string_view name)
{
    static constexpr std::array<std::string_view, 2> names { "authorization", "x-api-key" };
    return isOneOf(name, names);
}

bool isKeyParameter(std::string_view parameter, const CallerKey& key)
{
    const std::string name = decodePercent(parameter.substr(0, parameter.find('=')));
    return iequals(name, "key") || iequals(name, "api_key") || key.isIn(parameter);
}

std::string withoutKeyParameters(std::string_view target, const CallerKey& key)
{
    const std::size_t mark = target.find('?');
    if (mark == std::string_view::npos)
        return std::string(target);
    std::string kept;
    forEachPart(target.substr(mark + 1), '&', [&](std::string_view parameter) {
        if (isKeyParameter(parameter, key))
            return;
        kept += kept.empty() ? '?' : '&';
        kept += parameter;
    });
    return std::string(target.substr(0, mark)) + kept;
}

bool isDotSegment(std::string_view segment)
{
    const std::string_view name = segment.substr(0, segment.find(';'));
    return name == "." || name == "..";
}

} // namespace

bool isHopByHop(std::string_view name)
{
    static constexpr std::array<std::string_view, 7> names { "connection", "keep-alive", "te", "trailer",
        "transfer-encoding", "upgrade", "http2-settings" };
    return isOneOf(name, names) || startsWith(name, "proxy-");
}

std::vector<HeaderField> withoutHopByHop(const std::vector<HeaderField>& headers)
{
    const auto named = fieldsNamedByConnection(headers);
    std::vector<HeaderField> kept;
    for (const auto& field : headers) {
        const bool isNamed = std::any_of(
            named.begin(), named.end(), [&field](const std::string& name) { return iequals(name, field.first); });
        if (!isNamed && !isHopByHop(field.first) && !iequals(field.first, "content-length"))
            kept.push_back(field);
    }
    return kept;
}

RequestHead makeForwardedHead(const RequestHead& received, const CallerKey& key)
{
    RequestHead head;
    head.method = received.method;
    head.target = withoutKeyParameters(received.target, key);
    for (auto& field : withoutHopByHop(received.headers)) {
        const bool holdsKey = key.isIn(field.second) || key.isIn(field.first);
        if (!isSetByGatewayOnly(field.first) && !isCredential(field.first) && !holdsKey)
            head.headers.push_back(std::move(field));
    }
    return head;
}

bool isPlainPath(std::string_view path)
{
    if (path.empty() || path.front() != '/')
        return false;
    const std::string decoded = decodePercent(path);
    const bool hasOddCharacter = std::any_of(decoded.begin(), decoded.end(), [](char character) {
        return static_cast<unsigned char>(character) < 0x20 || character == 0x7f || character == '\\';
    });
    if (hasOddCharacter || path.find('#') != std::string_view::npos)
        return false;
    if (std::count(decoded.begin(), decoded.end(), '/') != std::count(path.begin(), path.end(), '/'))
        return false;
    bool hasDots = false;
    forEachPart(decoded, '/', [&hasDots](std::string_view segment) { hasDots |= isDotSegment(segment); });
    return !hasDots && decodePercent(decoded) == decoded;
}

} // namespace papayashelf
