#include "gateway/quarantine/PromptParts.h"

#include <algorithm>

namespace papayashelf {

PromptParts parsePromptParts(std::string_view text)
{
    PromptParts parts;
    while (!text.empty()) {
        const std::string_view part = text.substr(0, text.find(','));
        text.remove_prefix(std::min(text.size(), part.size() + 1));
        std::string_view id = part.substr(0, part.find(':'));
        id.remove_prefix(std::min(id.size(), id.find_first_not_of(' ')));
        if (!id.empty() && id.size() <= maximumPartIdBytes)
            parts.emplace_back(std::string(id));
    }
    if (parts.size() > maximumPromptParts)
        parts.erase(parts.begin(), parts.end() - static_cast<std::ptrdiff_t>(maximumPromptParts));
    std::sort(parts.begin(), parts.end());
    parts.erase(std::unique(parts.begin(), parts.end()), parts.end());
    return parts;
}

bool containsAll(std::span<const PromptPartId> parts, std::span<const PromptPartId> needed)
{
    return std::includes(parts.begin(), parts.end(), needed.begin(), needed.end());
}

} // namespace papayashelf
