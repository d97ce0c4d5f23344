#include "entrance/request/ChatRequest.h"

#include "foundation/hashing/StableHash.h"
#include <algorithm>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <optional>

namespace papayashelf {

namespace json = boost::json;

namespace {

constexpr std::size_t prefixBlockBytes = 256;
constexpr std::size_t maximumPrefixBlocks = 32;
constexpr std::int64_t tokensPerMessageFrame = 8;
constexpr std::int64_t maximumTokensLimit = 10'000'000;

Error invalid(std::string detail)
{
    return Error { ErrorCode::InvalidArgument, std::move(detail) };
}

bool isLetter(char character)
{
    const char lower = static_cast<char>(character | 0x20);
    return lower >= 'a' && lower <= 'z';
}

/** A message's text: its content as it stands, or as JSON where it is more than a string. */
std::string contentText(const json::value& content)
{
    if (const auto* const text = content.if_string())
        return std::string(*text);
    return json::serialize(content);
}

Outcome<std::string> promptText(const json::object& request)
{
    const json::value* const messages = request.if_contains("messages");
    if (!messages || !messages->is_array() || messages->get_array().empty())
        return invalid("\"messages\" must be an array with at least one message");
    std::string prompt;
    for (const json::value& message : messages->get_array()) {
        const json::object* const fields = message.if_object();
        const json::value* const role = fields ? fields->if_contains("role") : nullptr;
        if (!role || !role->is_string())
            return invalid("each message must be an object with a string \"role\"");
        prompt += role->get_string();
        prompt += '\n';
        if (const json::value* const content = fields->if_contains("content"))
            prompt += contentText(*content);
        prompt += '\n';
    }
    return prompt;
}

/** Reads a whole positive number; absent or null leaves it unset. */
Outcome<std::optional<std::int64_t>> readCount(const json::object& request, std::string_view name)
{
    const json::value* const value = request.if_contains(name);
    if (!value || value->is_null())
        return std::optional<std::int64_t>();
    boost::system::error_code error;
    const auto count = value->to_number<std::int64_t>(error);
    if (error || count < 1 || count > maximumTokensLimit)
        return invalid("\"" + std::string(name) + "\" must be a whole number from 1 to 10000000");
    return std::optional<std::int64_t>(count);
}

Outcome<bool> readFlag(const json::object& request, std::string_view name)
{
    const json::value* const value = request.if_contains(name);
    if (!value || value->is_null())
        return false;
    if (!value->is_bool())
        return invalid("\"" + std::string(name) + "\" must be true or false");
    return value->get_bool();
}

Outcome<std::int64_t> settleMaximumTokens(json::object& request, std::int64_t defaultMaximumTokens)
{
    BOOST_OUTCOME_TRY(const auto older, readCount(request, "max_tokens"));
    BOOST_OUTCOME_TRY(const auto newer, readCount(request, "max_completion_tokens"));
    if (older && newer && *older != *newer)
        return invalid("\"max_tokens\" and \"max_completion_tokens\" differ");
    const std::int64_t maximum = newer ? *newer : older.value_or(defaultMaximumTokens);
    request["max_tokens"] = maximum;
    return maximum;
}

} // namespace

Outcome<ChatRequest> parseChatRequest(std::string_view body, std::string_view salt, std::int64_t defaultMaximumTokens)
{
    boost::system::error_code error;
    json::value parsed = json::parse(body, error);
    if (error)
        return invalid("the body is not valid JSON in UTF-8: " + error.message());
    if (!parsed.is_object())
        return invalid("the body must be a JSON object");
    json::object& request = parsed.get_object();
    const json::value* const model = request.if_contains("model");
    if (!model || !model->is_string() || model->get_string().empty())
        return invalid("\"model\" must be a string");
    BOOST_OUTCOME_TRY(const auto choices, readCount(request, "n"));
    if (choices.value_or(1) != 1)
        return invalid("\"n\" must be 1: ask again for another answer");

    ChatRequest chat;
    chat.model = ModelId(std::string(model->get_string()));
    BOOST_OUTCOME_TRY(chat.isStreamed, readFlag(request, "stream"));
    BOOST_OUTCOME_TRY(const std::string prompt, promptText(request));
    BOOST_OUTCOME_TRY(chat.maximumTokens, settleMaximumTokens(request, defaultMaximumTokens));
    // Tools and schemas reach the model as text too, so what stands beside the messages is counted with them.
    chat.body = json::serialize(request);
    const auto messageCount = static_cast<std::int64_t>(request["messages"].get_array().size());
    chat.promptTokens = estimateTokens(prompt) + messageCount * tokensPerMessageFrame;
    for (const std::string_view name : { "tools", "functions", "response_format" }) {
        if (const json::value* const extra = request.if_contains(name))
            chat.promptTokens += estimateTokens(json::serialize(*extra));
    }
    chat.prefixHashes = hashPrefixes(prompt, salt);
    return chat;
}

std::int64_t estimateTokens(std::string_view text)
{
    constexpr std::int64_t lettersPerToken = 3;
    std::int64_t tokens = 0;
    std::int64_t run = 0;
    char previous = 'x';
    for (const char character : text) {
        if (isLetter(character)) {
            tokens += run++ % lettersPerToken == 0 ? 1 : 0;
        } else {
            const bool isSingleSpace = character == ' ' && previous != ' ';
            tokens += isSingleSpace ? 0 : 1;
            run = 0;
        }
        previous = character;
    }
    return tokens;
}

std::vector<std::uint64_t> hashPrefixes(std::string_view prompt, std::string_view salt)
{
    const std::size_t blocks = std::min(prompt.size() / prefixBlockBytes, maximumPrefixBlocks);
    std::vector<std::uint64_t> hashes;
    hashes.reserve(blocks);
    std::uint64_t hash = stableHash(salt);
    for (std::size_t block = 0; block < blocks; ++block) {
        hash = stableHash(prompt.substr(block * prefixBlockBytes, prefixBlockBytes), hash);
        hashes.push_back(hash);
    }
    return hashes;
}

} // namespace papayashelf
