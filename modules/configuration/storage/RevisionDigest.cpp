#include "configuration/storage/RevisionDigest.h"

#include "foundation/hashing/Sha256.h"

namespace papayashelf {

namespace {

/** Appends a field after its length, so that different sequences of fields never give the same text. */
void appendField(std::string& text, const std::string& field)
{
    text += std::to_string(field.size());
    text += ':';
    text += field;
}

} // namespace

std::string digestOf(const std::map<std::string, std::string>& documents)
{
    std::string text;
    for (const auto& [path, body] : documents) {
        appendField(text, path);
        appendField(text, body);
    }
    return sha256Hex(text);
}

} // namespace papayashelf
