#pragma once

#include "foundation/identity/Identifier.h"
#include <compare>
#include <span>
#include <string_view>
#include <vector>

namespace papayashelf {

/** Name of one part of a prompt; the same name stands for the same text. */
using PromptPartId = Identifier<struct PromptPartTag>;

/** Parts of a prompt that other prompts may share, sorted and without repeats. */
using PromptParts = std::vector<PromptPartId>;

/** Parts that a prompt of a service has. A part may do harm on one service's engines and none on another's. */
struct PromptSignature {
    ServiceId service;
    PromptParts parts; /**< Sorted, without repeats. */

    auto operator<=>(const PromptSignature&) const = default;
    bool operator==(const PromptSignature&) const = default;
};

/**
    Parses the shared parts of a prompt.

    @param text  parts in order, each as ID:TOKENS, separated by commas; without the last part of the prompt
    @returns the last maximumPromptParts of them; ids longer than maximumPartIdBytes are left out
*/
PromptParts parsePromptParts(std::string_view text);

/** Returns true if all the needed parts are among the parts. Both are sorted; any thread. */
bool containsAll(std::span<const PromptPartId> parts, std::span<const PromptPartId> needed);

constexpr std::size_t maximumPromptParts = 16; /**< Bounds the work and memory that one request can cause. */
constexpr std::size_t maximumPartIdBytes = 64; /**< Ids are hashes of at most so many hexadecimal digits. */

} // namespace papayashelf
