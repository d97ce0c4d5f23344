#include "publication/publishing/PublicationStamp.h"

#include "settings/reading/ConfigNode.h"
#include <array>
#include <ctime>

namespace papayashelf {

namespace {

constexpr std::string_view authorField = "author";
constexpr std::string_view publishedAtField = "published_at_ms";
constexpr std::string_view previousDigestField = "previous_digest";

template <typename Value> Value fieldOf(const ConfigNode& node, std::string_view name)
{
    const ConfigMember* member = node.member(name);
    const Value* value = member ? std::get_if<Value>(&member->value.value) : nullptr;
    return value ? *value : Value();
}

} // namespace

std::string PublicationStamp::string() const
{
    constexpr std::int64_t millisecondsPerSecond = 1000;
    const auto seconds = static_cast<std::time_t>(this->publishedAt / millisecondsPerSecond);
    std::tm parts {};
    std::array<char, 64> text {};
    if (!gmtime_r(&seconds, &parts) || !std::strftime(text.data(), text.size(), "%Y-%m-%d %H:%M:%S UTC", &parts))
        return this->author;
    return this->author + " at " + text.data();
}

std::string stampManifest(std::string_view manifest, const PublicationStamp& stamp)
{
    ConfigNode root = parseJson(manifest).value();
    auto& members = std::get<ConfigNode::Table>(root.value);
    members.push_back({ std::string(authorField), {}, { {}, stamp.author } });
    members.push_back({ std::string(publishedAtField), {}, { {}, stamp.publishedAt } });
    members.push_back({ std::string(previousDigestField), {}, { {}, stamp.previousDigest } });
    return canonicalJson(root);
}

Outcome<PublicationStamp> readStamp(std::string_view manifest)
{
    BOOST_OUTCOME_TRY(const ConfigNode root, parseJson(manifest));
    return PublicationStamp { fieldOf<std::string>(root, authorField), fieldOf<std::int64_t>(root, publishedAtField),
        fieldOf<std::string>(root, previousDigestField) };
}

} // namespace papayashelf
