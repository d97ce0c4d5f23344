#pragma once

#include "foundation/identity/Identifier.h"
#include "foundation/outcomes/Outcome.h"
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace papayashelf {

/** What the gateway needs to know of a chat-completions request, and the body that goes on to the engine. */
struct ChatRequest {
    ModelId model;
    std::int64_t promptTokens = 0;
    std::int64_t maximumTokens = 0;
    bool isStreamed = false;
    std::vector<std::uint64_t> prefixHashes;
    std::string body; /**< Written anew from what was read, so that the engine cannot read it differently. */

    bool operator==(const ChatRequest&) const = default;
};

/**
    Reads the body of a chat-completions request.

    @param body                  JSON; UTF-8
    @param salt                  mixed into the prefix hashes, so that no two workspaces share any
    @param defaultMaximumTokens  asked of the engine when the caller names no maximum
    @returns InvalidArgument, with a sentence for the caller, for anything that is not a valid request
*/
Outcome<ChatRequest> parseChatRequest(std::string_view body, std::string_view salt, std::int64_t defaultMaximumTokens);

/**
    Estimates how many tokens an engine will count in a text, on the high side: a run of ASCII letters counts a token
    for each three begun, a single space goes with the word after it, and every other byte counts one.
*/
std::int64_t estimateTokens(std::string_view text);

/** Hashes each growing prefix of whole blocks of a prompt, shortest first. */
std::vector<std::uint64_t> hashPrefixes(std::string_view prompt, std::string_view salt);

} // namespace papayashelf
